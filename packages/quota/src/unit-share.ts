/**
 * How a limit over all daemons is dealt out, so that all daemons together stay within what the deployment allows, whatever is cut off, frozen or
 * killed. The limit is split evenly among the granters, one a zone. Each fills a bucket at its part of the rate and hands units out of it,
 * which lapse a while later where they have not been used.
 *
 * In a window of length W a granter hands out at most `depth + rate x (W + lifetime)` units that can be used in it: a full bucket, what
 * fills it meanwhile, and what was handed out up to a lifetime before. A granter that takes a zone over begins with an empty bucket, so
 * the bound holds over both together. Summed over the granters this must not exceed `(rate x W + burst) x (1 + overshoot) + slack`.
 * What that leaves beside `rate x W`, the headroom, is dealt between the depth of the buckets and the lifetime of what was handed out.
 */

/** A limit: of a tenant, or of a back end. */
export interface UnitLimit {
  /** Units a second. */
  readonly ratePerSecond: number;
  /** Units beyond the rate that may be used at once. */
  readonly burst: number;
}

/** What the deployment allows beyond a limit, in each window. */
export interface UnitAllowance {
  /** Length of the windows in which use is judged. */
  readonly windowMs: number;
  /** Part of the limit, for example 0.1. */
  readonly overshoot: number;
  /** Units whatever the limit. */
  readonly slack: number;
}

/** One granter's part of a limit. */
export interface UnitShare {
  /** Units that fill the bucket in a millisecond. */
  readonly ratePerMs: number;
  /** The same over all granters. */
  readonly totalRatePerMs: number;
  /** Units that the bucket holds. */
  readonly depth: number;
  /** Milliseconds for which units may be used once they were asked for. */
  readonly lifetimeMs: number;
}

/** Part of the headroom that is spent on the depth of the buckets: bursts, and subjects that are asked for in few zones. */
const DEPTH_FRACTION = 0.45;
/** Part spent on the lifetime. What is left covers requests that are on their way to a worker for a while. */
const LIFETIME_FRACTION = 0.4;
/** Longest lifetime, in milliseconds: what a daemon holds and does not use is of use to nobody meanwhile. */
const MAX_LIFETIME_MS = 2000;
const MS_PER_SECOND = 1000;

/** One granter's part. @param allocatorCount Number of zones, the same for all daemons. */
export function shareOf(limit: UnitLimit, allowance: UnitAllowance, allocatorCount: number): UnitShare {
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
