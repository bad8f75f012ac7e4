/**
 * Reserves models for refused requests that are expected to retry: the models stay resident until those
 * retries are due.
 */
import type { Clock } from '@woodbarrow/runtime';

/** Reservations of one coordinator, by model. */
export class RetryReservations {
  private readonly expiryTimes = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Reserves a model until a monotonic time; an existing longer reservation stays in effect. */
  reserve(model: string, until: number): void {
    this.expiryTimes.set(model, Math.max(this.reservedUntil(model), until));
  }

  /** Returns the monotonic time until which a model is reserved; 0 without a reservation. */
  reservedUntil(model: string): number {
    return this.expiryTimes.get(model) ?? 0;
  }

  /** Removes expired reservations. */
  removeExpired(): void {
    const now = this.clock.monotonic();
    for (const [model, until] of this.expiryTimes) {
      if (until <= now) this.expiryTimes.delete(model);
    }
  }
}
