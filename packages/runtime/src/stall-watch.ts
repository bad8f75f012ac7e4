/** Notices that this process did not run for a while: it was stopped, its machine was suspended, or it had no processor time. */
import { sleep, type Clock } from './clock.js';

/** Interval at which the process notes that it runs, in milliseconds. */
const NOTE_INTERVAL_MS = 250;
/** Time between two notes from which on the process has stood still, in milliseconds. */
const STALL_MS = 750;
/** Time after a stall in which the process still reads what arrived meanwhile, in milliseconds. */
const CATCH_UP_MS = 1000;

/** Watches one process. */
export class StallWatch {
  private isRunning = false;
  /** Elapsed time of the last note, in milliseconds. */
  private notedAt = 0;
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

  /** Whether what the process reads now may have arrived long ago, as it stood still until lately. */
  get isCatchingUp(): boolean {
    // After a stall, timers and messages run in any order.
    if (this.isRunning) this.note();
    return this.clock.elapsed() < this.catchingUpUntil;
  }

  private note(): void {
    const now = this.clock.elapsed();
    if (now - this.notedAt > STALL_MS) this.catchingUpUntil = now + CATCH_UP_MS;
    this.notedAt = now;
  }
}
