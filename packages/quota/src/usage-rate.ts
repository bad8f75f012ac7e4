/** Exponentially decaying average of the units of one limit that a daemon uses. */
import type { Clock } from '@woodbarrow/runtime';

/** Half-life of a recorded use, in milliseconds. It is about the lifetime of prefetched units. */
const HALF_LIFE_MS = 1500;
/** Divisor that converts a sum decaying by {@link HALF_LIFE_MS} into units per millisecond. */
const MEAN_AGE_MS = HALF_LIFE_MS / Math.LN2;

/** Tracks the usage rate of one subject. */
export class UsageRate {
  private sum = 0;
  private updatedAt: number;

  constructor(private readonly clock: Clock) {
    this.updatedAt = clock.monotonic();
  }

  /** Records requested units. */
  add(units: number): void {
    this.decay();
    this.sum += units;
  }

  /** Returns the current rate in units per millisecond. */
  perMs(): number {
    this.decay();
    return this.sum / MEAN_AGE_MS;
  }

  private decay(): void {
    const now = this.clock.monotonic();
    this.sum *= 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
  }
}
