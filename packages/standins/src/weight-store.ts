/** Stand-in for the weight store, with a limited bandwidth and a limited rate of new fetches. */
import { sleep, type Clock } from '@woodbarrow/runtime';

/** Options of {@link WeightStoreStandIn}. */
export interface WeightStoreOptions {
  readonly clock: Clock;
  /** Number of concurrent fetches at full speed; beyond it, all fetches slow down in proportion. */
  readonly concurrentLoads: number;
  /** Maximum number of fetches started per second; further fetches wait. */
  readonly loadsPerSecond: number;
}

const PROGRESS_STEP_MS = 250;

/** Simulates the time that engines need to fetch checkpoints. */
export class WeightStoreStandIn {
  /** Factor on the duration of fetches, to simulate a slow store. */
  slowdown = 1;
  /** Maximum number of concurrent fetches so far. */
  maximumConcurrent = 0;
  /** Number of fetches started. */
  fetches = 0;
  private active = 0;
  private nextStart = 0;

  constructor(private readonly options: WeightStoreOptions) {}

  /** Resolves when a fetch that takes `seconds` at full speed is complete, or when `signal` aborts. */
  async fetch(seconds: number, signal: AbortSignal): Promise<void> {
    const { clock, concurrentLoads, loadsPerSecond } = this.options;
    const startAt = Math.max(clock.monotonic(), this.nextStart);
    this.nextStart = startAt + 1000 / loadsPerSecond;
    await sleep(clock, startAt - clock.monotonic(), signal);
    this.fetches += 1;
    this.active += 1;
    this.maximumConcurrent = Math.max(this.maximumConcurrent, this.active);
    let remainingMs = seconds * 1000;
    while (remainingMs > 0 && !signal.aborted) {
      const step = Math.min(
        PROGRESS_STEP_MS,
        remainingMs * this.slowdown * Math.max(1, this.active / concurrentLoads),
      );
      const speed = 1 / (this.slowdown * Math.max(1, this.active / concurrentLoads));
      await sleep(clock, step, signal);
      remainingMs -= step * speed;
    }
    this.active -= 1;
  }
}
