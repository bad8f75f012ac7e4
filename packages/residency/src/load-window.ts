/** Bounds the loads from the weight store that begin in a sliding window: this zone's share of what it bears. */
import type { Clock } from '@woodbarrow/runtime';

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
  private readonly begun: number[] = [];

  constructor(
    private readonly options: LoadWindowOptions,
    private readonly clock: Clock,
  ) {}

  /** Milliseconds until another load may begin. */
  waitMs(): number {
    const now = this.clock.monotonic();
    this.dropOld(now);
    const share = Math.max(1, Math.floor(this.options.limit() / Math.max(1, this.options.sharers())));
    if (this.begun.length < share) return 0;
    const blocking = this.begun[this.begun.length - share] ?? now;
    return Math.max(0, blocking + this.options.windowMs - now);
  }

  /** Counts a load that begins now. */
  record(): void {
    this.begun.push(this.clock.monotonic());
  }

  private dropOld(now: number): void {
    while (this.begun.length > 0 && (this.begun[0] ?? 0) <= now - this.options.windowMs) this.begun.shift();
  }
}
