/** A clock that stands still until it is advanced; timers run in order of their time. */
import type { CancelTimer, Clock } from '@woodbarrow/runtime';

interface Timer {
  readonly at: number;
  readonly callback: () => void;
}

/** Clock of a unit test. */
export class SimulatedWorld implements Clock {
  private now = 0;
  private timers: Timer[] = [];

  monotonic(): number {
    return this.now;
  }

  wall(): number {
    return this.now;
  }

  schedule(delayMs: number, callback: () => void): CancelTimer {
    const timer = { at: this.now + delayMs, callback };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  }

  /** Moves time on and runs what falls due. */
  advance(durationMs: number): void {
    const end = this.now + durationMs;
    for (;;) {
      const next = this.timers.filter((timer) => timer.at <= end).sort((a, b) => a.at - b.at)[0];
      if (next === undefined) break;
      this.timers = this.timers.filter((timer) => timer !== next);
      this.now = next.at;
      next.callback();
    }
    this.now = end;
  }
}
