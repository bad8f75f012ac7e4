/** Bounds the loads from the weight store that begin in a sliding window: this zone's share of what it bears. */
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';

/** Options of {@link LoadWindow}. */
export interface LoadWindowOptions {
  readonly windowMs: number;
  /** Loads that may begin in a window over all zones; read when needed. */
  readonly limit: () => number;
  /** Number of zones that share the limit. */
  readonly zoneCount: () => number;
}

/** One zone's loads. */
export class LoadWindow {
  private readonly starts: SlidingWindow;

  constructor(
    private readonly options: LoadWindowOptions,
    clock: Clock,
  ) {
    this.starts = new SlidingWindow(options.windowMs, clock);
  }

  /** Milliseconds until another load may begin. */
  waitMs(): number {
    const { limit, zoneCount } = this.options;
    return this.starts.waitMs(Math.max(1, Math.floor(limit() / Math.max(1, zoneCount()))));
  }

  /** Counts a load that begins now. */
  record(): void {
    this.starts.add();
  }
}
