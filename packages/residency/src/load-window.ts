/** Limits this zone's share of the weight store loads that start in a sliding window. */
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';

/** Options of {@link LoadWindow}. */
export interface LoadWindowOptions {
  readonly windowMs: number;
  /** Returns the number of loads that may start in a window over all zones. */
  readonly limit: () => number;
  /** Returns the number of zones that share the limit. */
  readonly zoneCount: () => number;
}

/** Limits the load starts of one zone. */
export class LoadWindow {
  private readonly starts: SlidingWindow;

  constructor(
    private readonly options: LoadWindowOptions,
    clock: Clock,
  ) {
    this.starts = new SlidingWindow(options.windowMs, clock);
  }

  /** Returns the milliseconds until another load may start. */
  waitMs(): number {
    const { limit, zoneCount } = this.options;
    return this.starts.waitMs(Math.max(1, Math.floor(limit() / Math.max(1, zoneCount()))));
  }

  /** Records the start of a load. */
  record(): void {
    this.starts.add();
  }
}
