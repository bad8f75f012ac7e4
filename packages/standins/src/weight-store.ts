/** Stand-in of the weight store: fetches share a bounded number of streams and a bounded rate of starts. */
import { sleep, type Clock } from '@woodbarrow/runtime';

/** Limits of the store. */
export interface WeightStoreOptions {
  readonly clock: Clock;
  /** Fetches at once at full speed; beyond it all of them slow down. */
  readonly concurrentLoads: number;
  /** Fetches begun in a second; beyond it they wait. */
  readonly loadsPerSecond: number;
}

const PROGRESS_STEP_MS = 250;

/** Serves checkpoints to engines. */
export class WeightStoreStandIn {
  /** Factor by which fetches take longer, to simulate a slow store. */
  slowdown = 1;
  /** Highest number of fetches at once. */
  maximumConcurrent = 0;
  /** Fetches begun. */
  fetches = 0;
  private active = 0;
  private nextStart = 0;

  constructor(private readonly options: WeightStoreOptions) {}

  /** Resolves after the time that a fetch of `seconds` at full speed takes now, or when `signal` aborts. */
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
