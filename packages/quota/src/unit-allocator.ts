/** Allocates units of limits for one zone while this daemon holds the zone's lease. */
import type { GrantAnswer, GrantRequest } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { PriorityShares, validPriority, type ShareRequest } from './priority-shares.js';
import { shareOf, type OvershootAllowance, type UnitLimit } from './unit-share.js';
import { UnitBucket } from './unit-bucket.js';

/** Options of {@link UnitAllocator}. */
export interface UnitAllocatorOptions {
  readonly allowance: OvershootAllowance;
  /** Number of allocators that share each limit. */
  readonly allocatorCount: number;
  /** Returns the current limit of a subject, such as a tenant; undefined if it has none or is unknown. */
  readonly limitOf: (subject: string) => UnitLimit | undefined;
  /** Monotonic time from which the buckets fill. By then the previous allocator has stopped granting. */
  readonly startsAt: number;
  /** Whether the units are divided among the priorities of the requests. @default false */
  readonly hasPriorities?: boolean;
  readonly clock: Clock;
}

/** Units granted and refused for one subject. */
export interface AllocatorUsage {
  readonly granted: number;
  readonly turnedDown: number;
}

/**
 * Fraction of a bucket that is reserved for waiting requests. Prefetched units partly expire unused,
 * which would cost a subject near its limit.
 */
const RESERVED_FRACTION = 0.5;

/** Useful wait of requests of daemons that state none, in milliseconds; they retry after about this time. */
const ANONYMOUS_WAIT_MS = 500;

interface SubjectBucket {
  readonly bucket: UnitBucket;
  /** Absent if units are not divided among priorities. */
  readonly shares: PriorityShares | undefined;
  limit: UnitLimit;
  granted: number;
  turnedDown: number;
}

/** Allocator of one zone for the duration of one lease. */
export class UnitAllocator {
  private readonly subjects = new Map<string, SubjectBucket>();

  constructor(private readonly options: UnitAllocatorOptions) {}

  /** Grants units to a daemon from the subject's bucket. */
  grant(subject: string, wish: GrantRequest): GrantAnswer {
    const { needed, isLast } = wish;
    const entry = this.entryOf(subject);
    if (entry === undefined) return { granted: 0, lifetimeMs: 0, left: 0, retryAfterMs: 0 };
    const { bucket, shares } = entry;
    if (shares !== undefined) return grantByPriority(entry, shares, wish);
    const granted = unitsToGrant(bucket, wish);
    bucket.take(granted);
    entry.granted += granted;
    const { lifetimeMs } = bucket;
    const left = bucket.available();
    if (granted >= needed) return { granted, lifetimeMs, left, retryAfterMs: 0 };
    entry.turnedDown += needed - granted;
    return { granted, lifetimeMs, left, retryAfterMs: isLast ? bucket.reserveRetry(needed - granted) : 0 };
  }

  /** Drops the bucket of a removed subject. */
  forget(subject: string): void {
    this.subjects.delete(subject);
  }

  /** Returns the units granted and refused since the start, by subject. */
  usage(): ReadonlyMap<string, AllocatorUsage> {
    return new Map(
      [...this.subjects].map(([name, { granted, turnedDown }]) => [name, { granted, turnedDown }]),
    );
  }

  private entryOf(subject: string): SubjectBucket | undefined {
    const { limitOf, allowance, allocatorCount, clock, startsAt, hasPriorities = false } = this.options;
    const limit = limitOf(subject);
    if (limit === undefined) return undefined;
    const existing = this.subjects.get(subject);
    if (existing === undefined) {
      const bucket = new UnitBucket(shareOf(limit, allowance, allocatorCount), clock, startsAt);
      const shares = hasPriorities ? new PriorityShares(clock) : undefined;
      const created = { bucket, shares, limit, granted: 0, turnedDown: 0 };
      this.subjects.set(subject, created);
      return created;
    }
    if (existing.limit.ratePerSecond !== limit.ratePerSecond || existing.limit.burst !== limit.burst) {
      existing.limit = limit;
      existing.bucket.setShare(shareOf(limit, allowance, allocatorCount));
    }
    return existing;
  }
}

/**
 * Returns the units for the waiting requests, plus prefetched units from above the reserved fraction
 * of the bucket.
 */
function unitsToGrant(
  bucket: UnitBucket,
  { needed, queued, ahead, mayBePart }: Omit<GrantRequest, 'isLast'>,
): number {
  const available = bucket.available();
  if (available < needed) return mayBePart ? available : 0;
  const waiting = Math.min(available, Math.max(needed, queued));
  const free = available - waiting - bucket.depth * RESERVED_FRACTION;
  return waiting + Math.min(ahead, Math.max(0, free));
}

/**
 * Grants units as the shares of the priorities allow. Prefetched units, and parts of requests that are
 * larger than a bucket, come from units that nobody claims.
 */
function grantByPriority(entry: SubjectBucket, shares: PriorityShares, wish: GrantRequest): GrantAnswer {
  const { bucket } = entry;
  const { lifetimeMs } = bucket;
  const { needed, mayBePart, isLast, claim } = wish;
  // A claim for most of a bucket would leave no place for the claims of other priorities.
  const largest = Math.max(bucket.depth * RESERVED_FRACTION, shares.settle(bucket.available()));
  const units = mayBePart ? Math.min(needed, largest) : needed;
  if (units > bucket.depth)
    return { granted: 0, lifetimeMs, left: 0, retryAfterMs: 0, dueMs: units / bucket.ratePerMs };
  const decision = shares.decide({ ...shareRequestOf(wish), units }, bucket.available(), bucket.ratePerMs);
  if (decision.kind === 'granted') {
    const free = bucket.available() - shares.setAside() - units - bucket.depth * RESERVED_FRACTION;
    const granted = units + Math.min(wish.ahead, Math.max(0, free));
    bucket.take(granted);
    entry.granted += granted;
    return { granted, lifetimeMs, left: unclaimedUnits(bucket, shares), retryAfterMs: 0, dueMs: 0 };
  }
  const free = unclaimedUnits(bucket, shares);
  if (mayBePart && decision.kind === 'refused' && free > 0) {
    bucket.take(free);
    entry.granted += free;
    return { granted: free, lifetimeMs, left: 0, retryAfterMs: 0, dueMs: decision.dueMs };
  }
  const { dueMs } = decision;
  const common = { granted: 0, lifetimeMs, left: free, dueMs };
  if (decision.kind === 'waits') {
    const retryAfterMs = claim === undefined && !isLast ? 0 : decision.askAgainMs;
    return { ...common, retryAfterMs, isWaiting: true };
  }
  if (claim?.isProbe !== true) entry.turnedDown += needed;
  return { ...common, retryAfterMs: isLast ? decision.retryAfterMs : 0 };
}

function unclaimedUnits(bucket: UnitBucket, shares: PriorityShares): number {
  return Math.max(0, bucket.available() - shares.setAside());
}

/**
 * Returns the request of a daemon to the shares. Daemons of an older version identify no request;
 * those with requests of the same size share a claim, which goes to the first that asks once it is
 * filled.
 */
function shareRequestOf({ needed, priority, claim }: GrantRequest): ShareRequest {
  const common = { priority: validPriority(priority), units: needed };
  if (claim === undefined) {
    const claimId = `size ${String(needed)}`;
    return { ...common, claimId, usefulWaitMs: ANONYMOUS_WAIT_MS, isProbe: false, refusedUnits: 0 };
  }
  const { id, usefulWaitMs, isProbe, refusedUnits } = claim;
  return { ...common, claimId: id, usefulWaitMs, isProbe, refusedUnits };
}
