/** Counts events in a window of time that ends now. */
import type { Clock } from './clock.js';

/** Events of the last `windowMs` milliseconds. */
export class SlidingWindow {
  private readonly times: number[] = [];

  constructor(
    private readonly windowMs: number,
    private readonly clock: Clock,
  ) {}

  /** Counts an event that happens now. */
  add(): void {
    this.times.push(this.clock.monotonic());
  }

  /** Events in the window, those at its very beginning included. */
  count(): number {
    const since = this.clock.monotonic() - this.windowMs;
    while (this.times.length > 0 && (this.times[0] ?? 0) < since) this.times.shift();
    return this.times.length;
  }

  /** Milliseconds until another event keeps the count within `limit`, which is at least 1. */
  waitMs(limit: number): number {
    if (this.count() < limit) return 0;
    const now = this.clock.monotonic();
    const blocking = this.times[this.times.length - limit] ?? now;
    return Math.max(0, blocking + this.windowMs - now);
  }
}
