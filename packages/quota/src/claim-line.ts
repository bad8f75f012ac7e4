/** Requests that wait at an allocator for units, in the order in which they asked. */

/** A request that waits for units. Units already in the bucket are set aside for it. */
export interface Claim {
  readonly id: string;
  readonly units: number;
  /** Units set aside so far. */
  filled: number;
  /** Monotonic time at which the claim lapses unless its daemon asks again, in milliseconds. */
  lapsesAt: number;
}

/** Time for which the size of the largest request is remembered, in milliseconds. */
const LARGEST_MEMORY_MS = 2000;
/**
 * Maximum retry delay, in milliseconds, before it is spread at random. An overload that
 * lasts longer is not known to last, and callers with deadlines of a few seconds would not return.
 */
const MAX_RETRY_SPREAD_MS = 8000;
/** Difference below which units count as equal; sums of refills are subject to rounding. */
const ROUNDING_UNITS = 1e-6;

/** Claims that are served strictly in the order in which they were made. */
export class ClaimLine {
  private readonly claims = new Map<string, Claim>();
  private largest = { units: 0, at: -Infinity };
  private retriesUntil = 0;
  private claimedUnits = 0;
  private filledUnits = 0;
  /** Monotonic time before which no claim lapses. */
  private noLapseUntil = Infinity;

  /** Units that the claims still lack. */
  get missing(): number {
    return Math.max(0, this.claimedUnits - this.filledUnits);
  }

  /** Units in the bucket that are set aside for the claims. */
  get setAside(): number {
    return this.filledUnits;
  }

  find(id: string): Claim | undefined {
    return this.claims.get(id);
  }

  add(id: string, units: number, lapsesAt: number): void {
    this.claims.set(id, { id, units, filled: 0, lapsesAt });
    this.claimedUnits += units;
    this.noLapseUntil = Math.min(this.noLapseUntil, lapsesAt);
  }

  remove(id: string): void {
    const claim = this.claims.get(id);
    if (claim === undefined) return;
    this.claims.delete(id);
    this.claimedUnits -= claim.units;
    this.filledUnits -= claim.filled;
    if (this.claims.size > 0) return;
    // Discards the rounding errors of the sums.
    this.claimedUnits = 0;
    this.filledUnits = 0;
    this.noLapseUntil = Infinity;
  }

  /** Drops the claims whose askers have not called again. */
  dropLapsed(now: number): void {
    if (now <= this.noLapseUntil) return;
    this.noLapseUntil = Infinity;
    for (const { id, lapsesAt } of [...this.claims.values()]) {
      if (now > lapsesAt) this.remove(id);
      else this.noLapseUntil = Math.min(this.noLapseUntil, lapsesAt);
    }
  }

  /** Sets units aside for the claims, in order. The caller must not pass more than are missing. */
  fill(units: number): void {
    let left = units;
    for (const claim of this.claims.values()) {
      if (left <= 0) return;
      const lacking = claim.units - claim.filled;
      const taken = left >= lacking - ROUNDING_UNITS ? lacking : left;
      claim.filled = taken === lacking ? claim.units : claim.filled + taken;
      this.filledUnits += taken;
      left -= taken;
    }
  }

  /** Returns all units set aside to the bucket. */
  releaseAll(): void {
    for (const claim of this.claims.values()) claim.filled = 0;
    this.filledUnits = 0;
  }

  /** Returns the units that must be refilled until a claim is filled. */
  missingUntil(id: string): number {
    let sum = 0;
    for (const claim of this.claims.values()) {
      sum += claim.units - claim.filled;
      if (claim.id === id) break;
    }
    return sum;
  }

  /** Records the size of a request that could be served in time if nobody waited. */
  recordSize(units: number, now: number): void {
    if (units >= this.largest.units || now - this.largest.at > LARGEST_MEMORY_MS)
      this.largest = { units, at: now };
  }

  /**
   * Returns the size of the largest recent request. Smaller ones are admitted only where it would be;
   * otherwise they would fill the line to where there is room for small ones alone.
   */
  largestUnits(now: number): number {
    return now - this.largest.at > LARGEST_MEMORY_MS ? 0 : this.largest.units;
  }

  /**
   * Returns the milliseconds until a refused request may retry: after the claims, and after the
   * requests refused before it.
   *
   * @param waitMs Time until its units would be there after the claims.
   * @param units Units of the request and of others that its daemon has refused.
   * @param ratePerMs Units that the line receives per millisecond.
   */
  reserveRetry(waitMs: number, units: number, ratePerMs: number, now: number): number {
    const latest = now + MAX_RETRY_SPREAD_MS;
    const from = Math.min(latest, Math.max(now + waitMs, this.retriesUntil));
    this.retriesUntil = Math.min(latest, from + units / ratePerMs);
    return from - now;
  }
}
