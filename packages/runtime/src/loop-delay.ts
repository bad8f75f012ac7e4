/**
 * Measures how late the event loop of this process runs its timers: the time that anything which arrives now waits before it is
 * read. The least delay of a short span is the standing one: a burst is worked off within the span, a backlog is not.
 */
import { sleep, type Clock } from './clock.js';

/** Interval between two samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;
/** Number of samples of which the least is the standing delay. */
const SAMPLES_PER_SPAN = 3;

/** Delay of the event loop of one process, in milliseconds. */
export class LoopDelay {
  private readonly samples: number[] = [];
  private lastSampleAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Least delay within the last samples; 0 until there are enough. */
  get standingMs(): number {
    return this.samples.length < SAMPLES_PER_SPAN ? 0 : Math.min(...this.samples);
  }

  /** Delay of the last sample. */
  get latestMs(): number {
    return this.samples[this.samples.length - 1] ?? 0;
  }

  /** Time since the last sample; Infinity before the first. */
  get ageMs(): number {
    return this.clock.monotonic() - this.lastSampleAt;
  }

  /** Samples until `signal` aborts. @param onSample Called after each sample. */
  async run(signal: AbortSignal, onSample: () => void = () => undefined): Promise<void> {
    while (!signal.aborted) {
      const dueAt = this.clock.monotonic() + SAMPLE_INTERVAL_MS;
      await sleep(this.clock, SAMPLE_INTERVAL_MS, signal);
      this.record(Math.max(0, this.clock.monotonic() - dueAt));
      onSample();
    }
  }

  private record(delayMs: number): void {
    this.samples.push(delayMs);
    if (this.samples.length > SAMPLES_PER_SPAN) this.samples.shift();
    this.lastSampleAt = this.clock.monotonic();
  }
}
