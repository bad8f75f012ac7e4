/** A time-skipping environment for tests: processes on a virtual clock, each with its peer links. */
import {
  Random,
  SimulatedNetwork,
  SimulatedProcess,
  SimulatedTransportHub,
  SimulatedWorld,
} from '@woodbarrow/runtime';
import { PeerNetwork } from './peer-network.js';

/** Options of {@link SimulatedCluster}. */
export interface SimulatedClusterOptions {
  readonly seed: number;
  /** Milliseconds one way within a zone. @default 0.5 */
  readonly sameZoneMs?: number;
  /** Milliseconds one way between zones. @default 2 */
  readonly crossZoneMs?: number;
}

/** One process with its peer links, listening. */
export interface SimulatedNode {
  readonly process: SimulatedProcess;
  readonly peers: PeerNetwork;
  readonly random: Random;
}

const DEPLOYMENT = 'simulated';
const PEER_PORT = 8082;

/** Processes and the network between them. */
export class SimulatedCluster {
  readonly world = new SimulatedWorld();
  readonly network: SimulatedNetwork;
  private readonly random: Random;
  private readonly transports: SimulatedTransportHub;

  constructor(options: SimulatedClusterOptions) {
    this.random = new Random(options.seed);
    this.network = new SimulatedNetwork(this.world, this.random.fork(), {
      latency: (from, to) =>
        from.zone === to.zone ? (options.sameZoneMs ?? 0.5) : (options.crossZoneMs ?? 2),
    });
    this.transports = new SimulatedTransportHub(this.network);
  }

  /** Starts a process. A name that was used before stands for a new run at the same address. */
  async add(name: string, zone = 'alpha', region = 'region'): Promise<SimulatedNode> {
    const process = new SimulatedProcess(this.world, { name, zone, region });
    const peers = new PeerNetwork({
      transport: this.transports.transportOf(process),
      clock: process,
      address: `${name}:${String(PEER_PORT)}`,
      deployment: DEPLOYMENT,
    });
    await peers.start();
    return { process, peers, random: this.random.fork() };
  }

  /** Lets `durationMs` of virtual time pass. */
  async advance(durationMs: number): Promise<void> {
    await this.world.run(this.world.now + durationMs);
  }

  /** Lets time pass until a promise settles; rejects after `limitMs` of virtual time. */
  async settle<T>(promise: Promise<T>, limitMs = 60_000): Promise<T> {
    let settled = false;
    const tracked = promise.finally(() => {
      settled = true;
    });
    tracked.catch(() => undefined);
    await this.world.run(this.world.now + limitMs, () => settled);
    if (!settled) throw new Error(`nothing within ${String(limitMs)} virtual ms`);
    return tracked;
  }
}
