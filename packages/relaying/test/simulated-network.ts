/** Back ends, and which of them one daemon reaches, on simulated time. */
import { BackendDirectory, NO_NEARBY_COPIES, type BackEnd } from '@woodbarrow/backends';
import { silentLog } from '@woodbarrow/observability';
import { Random, SimulatedProcess, SimulatedWorld, sleep } from '@woodbarrow/runtime';
import { BackendPaths, type PathProbe } from '../src/index.js';

const PROBE_TIMEOUT_MS = 300;

export function backEnd(id: string, zone = 'zone-a'): BackEnd {
  return {
    id,
    name: id,
    service: 'models',
    address: `${id}:80`,
    zone,
    slots: 8,
    draining: false,
    models: [],
    nearby: NO_NEARBY_COPIES,
  };
}

/** One daemon and its paths. */
export class SimulatedPaths implements PathProbe {
  readonly world = new SimulatedWorld();
  readonly clock = new SimulatedProcess(this.world, { name: 'd1', zone: 'zone-a', region: 'r' });
  readonly directory = new BackendDirectory(this.clock);
  /** Ids of back ends that cannot be reached. */
  readonly unreachable = new Set<string>();
  readonly probed: string[] = [];
  readonly paths: BackendPaths;
  private now = 0;

  constructor(ids: readonly string[]) {
    for (const id of ids) this.directory.put(backEnd(id));
    this.paths = new BackendPaths({
      directory: this.directory,
      probe: this,
      clock: this.clock,
      random: new Random(1),
      log: silentLog,
    });
    this.paths.start();
  }

  async canReach({ id }: BackEnd): Promise<boolean> {
    this.probed.push(id);
    if (!this.unreachable.has(id)) return true;
    await sleep(this.clock, PROBE_TIMEOUT_MS);
    return !this.unreachable.has(id);
  }

  async advance(durationMs: number): Promise<void> {
    this.now += durationMs;
    await this.world.run(this.now);
  }
}
