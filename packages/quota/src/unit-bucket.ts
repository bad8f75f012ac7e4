/** A bucket of units that fills at a rate up to its depth. */
import type { Clock } from '@woodbarrow/runtime';
import type { UnitShare } from './unit-share.js';

/** One subject's bucket at one granter. */
export class UnitBucket {
  private level = 0;
  private filledAt: number;
  /** Monotonic time until which what fills it is spoken for by those who were told to come back. */
  private reservedUntil = 0;

  /**
   * Empty at first: a granter before may have handed everything out.
   *
   * @param startsAt Monotonic time from which it fills; by the clock that counts no time for which the machine was suspended.
   */
  constructor(
    private share: UnitShare,
    private readonly clock: Clock,
    startsAt: number,
  ) {
    this.filledAt = startsAt;
  }

  /** Takes another share into use. */
  setShare(share: UnitShare): void {
    this.fill();
    this.share = share;
    this.level = Math.min(this.level, share.depth);
  }

  get depth(): number {
    return this.share.depth;
  }

  get lifetimeMs(): number {
    return this.share.lifetimeMs;
  }

  /** Units in it now. */
  available(): number {
    this.fill();
    return this.level;
  }

  /** Takes units out; no more than are available. */
  take(units: number): void {
    this.level -= units;
  }

  /**
   * Milliseconds until units will be there that are not there now, behind those promised before; they are promised as well. Those who are
   * told to come back spread over all granters, so that what one has promised stands for its part of all; one request alone is put
   * together from what fills all buckets.
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
