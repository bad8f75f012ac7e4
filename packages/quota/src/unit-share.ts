/**
 * Divides a deployment-wide limit so that all daemons together stay within the tolerated overshoot
 * under partitions, pauses and crashes. The limit is split evenly among the allocators, one per zone.
 * Each fills a token bucket at its share of the rate and grants units that expire after a fixed
 * lifetime.
 *
 * In a window of length W, at most `depth + rate x (W + lifetime)` units granted by one allocator can
 * be used: a full bucket, its refill, and units granted up to one lifetime earlier. An allocator that
 * takes over a zone starts with an empty bucket, so the bound covers both holders. The sum over all
 * allocators must not exceed `(rate x W + burst) x (1 + overshoot) + slack`. The headroom, which is
 * that bound without `rate x W`, is split between bucket depth and unit lifetime.
 */

/** Rate limit of a tenant or a back end. */
export interface UnitLimit {
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Units beyond the rate that may be used at once. */
  readonly burst: number;
}

/** Tolerated use beyond a limit in each window. */
export interface OvershootAllowance {
  /** Length of the window in which use is measured, in milliseconds. */
  readonly windowMs: number;
  /** Tolerated fraction beyond the limit, for example 0.1. */
  readonly overshoot: number;
  /** Units tolerated in addition, whatever the limit. */
  readonly slack: number;
}

/** One allocator's share of a limit. */
export interface UnitShare {
  /** Units that refill the bucket per millisecond. */
  readonly ratePerMs: number;
  /** Refill rate of all allocators together, in units per millisecond. */
  readonly totalRatePerMs: number;
  /** Maximum number of units in the bucket. */
  readonly depth: number;
  /** Time for which granted units are valid, in milliseconds from the start of the call. */
  readonly lifetimeMs: number;
}

/** Fraction of the headroom for bucket depth, which serves bursts and subjects that are used in few zones. */
const DEPTH_FRACTION = 0.45;
/** Fraction of the headroom for unit lifetime. The remainder covers requests in transit to a worker. */
const LIFETIME_FRACTION = 0.4;
/**
 * Maximum lifetime of granted units, in milliseconds. Units that a daemon holds are unavailable to all
 * others.
 */
const MAX_LIFETIME_MS = 2000;
const MS_PER_SECOND = 1000;

/**
 * Computes one allocator's share of a limit.
 *
 * @param allocatorCount Number of allocators, which must be the same on all daemons.
 */
export function shareOf(limit: UnitLimit, allowance: OvershootAllowance, allocatorCount: number): UnitShare {
  const { ratePerSecond, burst } = limit;
  const { windowMs, overshoot, slack } = allowance;
  const ratePerMs = ratePerSecond / MS_PER_SECOND;
  const headroom = burst + overshoot * (ratePerMs * windowMs + burst) + slack;
  return {
    ratePerMs: ratePerMs / allocatorCount,
    totalRatePerMs: ratePerMs,
    depth: (headroom * DEPTH_FRACTION) / allocatorCount,
    lifetimeMs: Math.min(MAX_LIFETIME_MS, (headroom * LIFETIME_FRACTION) / ratePerMs),
  };
}
