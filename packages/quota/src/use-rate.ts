/** How many units of one limit a daemon uses, as a running average. */
import type { Clock } from '@woodbarrow/runtime';

/** Time in which a use counts for half, in milliseconds: about as long as units may be held ahead of need. */
const HALF_LIFE_MS = 1500;
/** A sum that halves in {@link HALF_LIFE_MS} holds the uses of this many milliseconds. */
const MEAN_AGE_MS = HALF_LIFE_MS / Math.LN2;

/** Rate of one subject. */
export class UseRate {
  private sum = 0;
  private at: number;

  constructor(private readonly clock: Clock) {
    this.at = clock.monotonic();
  }

  /** Units were asked for. */
  note(units: number): void {
    this.fade();
    this.sum += units;
  }

  /** Units a millisecond. */
  perMs(): number {
    this.fade();
    return this.sum / MEAN_AGE_MS;
  }

  private fade(): void {
    const now = this.clock.monotonic();
    this.sum *= 0.5 ** ((now - this.at) / HALF_LIFE_MS);
    this.at = now;
  }
}
