/** Notices that this process did not run for a while: it was stopped, its machine was suspended, or it had no processor time. */
import { sleep, type Clock } from './clock.js';

/** Interval at which the process notes that it runs, in milliseconds. */
const NOTE_INTERVAL_MS = 100;
/** Time between two notes from which on the process has stood still, in milliseconds. */
const STALL_MS = 250;
/** Time after a stall in which the process still reads what arrived meanwhile, in milliseconds. */
const CATCH_UP_MS = 1000;

/** Watches one process. */
export class StallWatch {
  private isRunning = false;
  /** Elapsed time of the last note, in milliseconds. */
  private notedAt = 0;
  /** Elapsed time at which the last stall began. */
  private stalledFrom = -Infinity;
  private catchingUpUntil = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Watches until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.notedAt = this.clock.elapsed();
    this.isRunning = true;
    while (!signal.aborted) {
      this.note();
      await sleep(this.clock, NOTE_INTERVAL_MS, signal);
    }
    this.isRunning = false;
  }

  /** Elapsed time in milliseconds before which nothing can have arrived that this process reads now. */
  get arrivedFrom(): number {
    // After a stall, timers and messages run in any order.
    if (this.isRunning) this.note();
    const now = this.clock.elapsed();
    return now < this.catchingUpUntil ? this.stalledFrom : now - STALL_MS;
  }

  private note(): void {
    const now = this.clock.elapsed();
    if (now - this.notedAt > STALL_MS) {
      // A stall during the catch-up prolongs it, and what arrived in the first one may still be unread.
      if (this.notedAt >= this.catchingUpUntil) this.stalledFrom = this.notedAt;
      this.catchingUpUntil = now + CATCH_UP_MS;
    }
    this.notedAt = now;
  }
}
