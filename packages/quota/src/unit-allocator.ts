/** Allocates units of limits for one zone while this daemon holds the zone's lease. */
import type { GrantAnswer, GrantRequest } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
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

interface SubjectBucket {
  readonly bucket: UnitBucket;
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
    const { bucket } = entry;
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
    const { limitOf, allowance, allocatorCount, clock, startsAt } = this.options;
    const limit = limitOf(subject);
    if (limit === undefined) return undefined;
    const existing = this.subjects.get(subject);
    if (existing === undefined) {
      const bucket = new UnitBucket(shareOf(limit, allowance, allocatorCount), clock, startsAt);
      const created = { bucket, limit, granted: 0, turnedDown: 0 };
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
