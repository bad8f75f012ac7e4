/** Simulated cluster for tests: processes on a virtual clock, each with its peer network. */
import {
  Random,
  SimulatedNetwork,
  SimulatedProcess,
  SimulatedTransportHub,
  SimulatedWorld,
} from '@woodbarrow/runtime';
import { PeerNetwork } from './peer-network.js';

export interface SimulatedClusterOptions {
  readonly seed: number;
  /** One-way latency within a zone in milliseconds. @default 0.5 */
  readonly sameZoneMs?: number;
  /** One-way latency between zones in milliseconds. @default 2 */
  readonly crossZoneMs?: number;
}

/** A process with its listening peer network. */
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

  /** Starts a process. A name used before denotes a new run at the same address. */
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

  /** Advances the virtual time by `durationMs`. */
  async advance(durationMs: number): Promise<void> {
    await this.world.run(this.world.now + durationMs);
  }

  /** Advances the virtual time until a promise settles; rejects after `limitMs` of virtual time. */
  async settle<T>(promise: Promise<T>, limitMs = 60_000): Promise<T> {
    let settled = false;
    const tracked = promise.finally(() => {
      settled = true;
    });
    tracked.catch(() => undefined);
    await this.world.run(this.world.now + limitMs, () => settled);
    if (!settled) throw new Error(`promise did not settle within ${String(limitMs)} virtual ms`);
    return tracked;
  }
}
