/** Bounds the loads from the weight store that begin in a sliding window: this zone's share of what it bears. */
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';

/** Options of {@link LoadWindow}. */
export interface LoadWindowOptions {
  readonly windowMs: number;
  /** Loads that may begin in a window over all zones; read when needed. */
  readonly limit: () => number;
  /** Number of zones that share the limit. */
  readonly sharers: () => number;
}

/** One zone's loads. */
export class LoadWindow {
  private readonly begun: SlidingWindow;

  constructor(
    private readonly options: LoadWindowOptions,
    clock: Clock,
  ) {
    this.begun = new SlidingWindow(options.windowMs, clock);
  }

  /** Milliseconds until another load may begin. */
  waitMs(): number {
    const { limit, sharers } = this.options;
    return this.begun.waitMs(Math.max(1, Math.floor(limit() / Math.max(1, sharers()))));
  }

  /** Counts a load that begins now. */
  record(): void {
    this.begun.add();
  }
}
