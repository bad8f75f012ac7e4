/** Sliding-window event counter. */
import type { Clock } from './clock.js';

/** Counts events of the last `windowMs` milliseconds. */
export class SlidingWindow {
  private readonly times: number[] = [];

  constructor(
    private readonly windowMs: number,
    private readonly clock: Clock,
  ) {}

  /** Records an event at the current time. */
  add(): void {
    this.times.push(this.clock.monotonic());
  }

  /** Returns the number of events in the window, including events exactly `windowMs` old. */
  count(): number {
    const since = this.clock.monotonic() - this.windowMs;
    while (this.times.length > 0 && (this.times[0] ?? 0) < since) this.times.shift();
    return this.times.length;
  }

  /** Returns the milliseconds to wait until one more event does not exceed `limit` events per window; `limit` is at least 1. */
  waitMs(limit: number): number {
    if (this.count() < limit) return 0;
    const now = this.clock.monotonic();
    const blocking = this.times[this.times.length - limit] ?? now;
    return Math.max(0, blocking + this.windowMs - now);
  }
}
