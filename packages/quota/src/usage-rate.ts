/** How many units of one limit a daemon uses, as a running average. */
import type { Clock } from '@woodbarrow/runtime';

/** Time in which a use counts for half, in milliseconds: about as long as units may be held ahead of need. */
const HALF_LIFE_MS = 1500;
/** A sum that halves in {@link HALF_LIFE_MS} holds the uses of this many milliseconds. */
const MEAN_AGE_MS = HALF_LIFE_MS / Math.LN2;

/** Rate of one subject. */
export class UsageRate {
  private sum = 0;
  private updatedAt: number;

  constructor(private readonly clock: Clock) {
    this.updatedAt = clock.monotonic();
  }

  /** Units were asked for. */
  add(units: number): void {
    this.decay();
    this.sum += units;
  }

  /** Units a millisecond. */
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
