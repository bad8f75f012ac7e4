/** Models that requests were told to come back for: they stay resident until those requests should have returned. */
import type { Clock } from '@woodbarrow/runtime';

/** Promises of one coordinator, by model. */
export class RetryReservations {
  private readonly expiryTimes = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Keeps a model until a monotonic time; an earlier promise that lasts longer stands. */
  reserve(model: string, until: number): void {
    this.expiryTimes.set(model, Math.max(this.reservedUntil(model), until));
  }

  /** Monotonic time until which a model is kept; 0 when nothing was promised. */
  reservedUntil(model: string): number {
    return this.expiryTimes.get(model) ?? 0;
  }

  /** Drops the promises whose time has passed. */
  removeExpired(): void {
    const now = this.clock.monotonic();
    for (const [model, until] of this.expiryTimes) {
      if (until <= now) this.expiryTimes.delete(model);
    }
  }
}
