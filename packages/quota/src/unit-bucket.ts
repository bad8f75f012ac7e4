/** Token bucket that fills at a fixed rate up to its depth. */
import type { Clock } from '@woodbarrow/runtime';
import type { UnitShare } from './unit-share.js';

/** Bucket of one subject in one allocator. */
export class UnitBucket {
  private level = 0;
  private filledAt: number;
  /** Monotonic time until which the refill is reserved for earlier refused requests. */
  private reservedUntil = 0;

  /**
   * Creates an empty bucket, because the previous allocator may have granted every unit.
   *
   * @param startsAt Monotonic time from which the bucket fills. The clock excludes time that the
   * machine was suspended.
   */
  constructor(
    private share: UnitShare,
    private readonly clock: Clock,
    startsAt: number,
  ) {
    this.filledAt = startsAt;
  }

  /** Changes the rate and depth of the bucket. Excess units are dropped. */
  setShare(share: UnitShare): void {
    this.fill();
    this.share = share;
    this.level = Math.min(this.level, share.depth);
  }

  get depth(): number {
    return this.share.depth;
  }

  get ratePerMs(): number {
    return this.share.ratePerMs;
  }

  get lifetimeMs(): number {
    return this.share.lifetimeMs;
  }

  /** Returns the units in the bucket. */
  available(): number {
    this.fill();
    return this.level;
  }

  /** Removes units. The caller must not take more than are available. */
  take(units: number): void {
    this.level -= units;
  }

  /**
   * Reserves the refill for a refused request, after earlier reservations, and returns the
   * milliseconds until it may retry. Retries spread over all allocators, so a reservation delays later
   * ones by this allocator's rate, but the request itself by the total rate.
   */
  reserveRetry(units: number): number {
    const now = this.clock.monotonic();
    const missing = Math.max(0, units - this.available());
    const from = Math.max(now, this.reservedUntil);
    this.reservedUntil = from + missing / this.share.ratePerMs;
    return from - now + missing / this.share.totalRatePerMs;
  }

  private fill(): void {
    const now = this.clock.monotonic();
    if (now <= this.filledAt) return;
    this.level = Math.min(this.share.depth, this.level + (now - this.filledAt) * this.share.ratePerMs);
    this.filledAt = now;
  }
}
