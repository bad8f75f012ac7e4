/** One zone's granter: hands units of limits out while its daemon holds the zone's lease. */
import type { GrantAnswer, GrantWish } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { shareOf, type UnitAllowance, type UnitLimit } from './unit-share.js';
import { UnitBucket } from './unit-bucket.js';

/** Options of {@link UnitAllocator}. */
export interface UnitAllocatorOptions {
  readonly allowance: UnitAllowance;
  /** Number of granters that share the limits. */
  readonly allocatorCount: number;
  /** The limit of a subject, such as a tenant, now; undefined when it has none, or is not known. */
  readonly limitOf: (subject: string) => UnitLimit | undefined;
  /** Monotonic time from which it may hand out what comes in: the one before it has stopped then. */
  readonly startsAt: number;
  readonly clock: Clock;
}

/** What a granter has done for one subject. */
export interface GranterUse {
  readonly granted: number;
  readonly turnedDown: number;
}

/**
 * Part of a bucket that only waiting requests may take. What is handed out ahead of need lapses unused in part, which a subject
 * near its limit would miss.
 */
const RESERVED_FRACTION = 0.5;

interface SubjectBucket {
  readonly bucket: UnitBucket;
  limit: UnitLimit;
  granted: number;
  turnedDown: number;
}

/** Granter of one zone, for as long as one lease lasts. */
export class UnitAllocator {
  private readonly subjects = new Map<string, SubjectBucket>();

  constructor(private readonly options: UnitAllocatorOptions) {}

  /** Hands units out. */
  grant(subject: string, wish: GrantWish): GrantAnswer {
    const { needed, isLast } = wish;
    const held = this.entryOf(subject);
    if (held === undefined) return { granted: 0, lifetimeMs: 0, left: 0, retryAfterMs: 0 };
    const { bucket } = held;
    const granted = unitsToGrant(bucket, wish);
    bucket.take(granted);
    held.granted += granted;
    const { lifetimeMs } = bucket;
    const left = bucket.available();
    if (granted >= needed) return { granted, lifetimeMs, left, retryAfterMs: 0 };
    held.turnedDown += needed - granted;
    return { granted, lifetimeMs, left, retryAfterMs: isLast ? bucket.reserveRetry(needed - granted) : 0 };
  }

  /** Drops the bucket of a subject that is gone for good. */
  forget(subject: string): void {
    this.subjects.delete(subject);
  }

  /** Units handed out and turned down since the start, by subject. */
  use(): ReadonlyMap<string, GranterUse> {
    return new Map(
      [...this.subjects].map(([name, { granted, turnedDown }]) => [name, { granted, turnedDown }]),
    );
  }

  private entryOf(subject: string): SubjectBucket | undefined {
    const { limitOf, allowance, allocatorCount, clock, startsAt } = this.options;
    const limit = limitOf(subject);
    if (limit === undefined) return undefined;
    const known = this.subjects.get(subject);
    if (known === undefined) {
      const bucket = new UnitBucket(shareOf(limit, allowance, allocatorCount), clock, startsAt);
      const created = { bucket, limit, granted: 0, turnedDown: 0 };
      this.subjects.set(subject, created);
      return created;
    }
    if (known.limit.ratePerSecond !== limit.ratePerSecond || known.limit.burst !== limit.burst) {
      known.limit = limit;
      known.bucket.setShare(shareOf(limit, allowance, allocatorCount));
    }
    return known;
  }
}

/** All that waits, or what the first needs, and beyond that what is asked for ahead from the upper part of the bucket. */
function unitsToGrant(
  bucket: UnitBucket,
  { needed, queued, ahead, mayBePart }: Omit<GrantWish, 'isLast'>,
): number {
  const available = bucket.available();
  if (available < needed) return mayBePart ? available : 0;
  const waiting = Math.min(available, Math.max(needed, queued));
  const free = available - waiting - bucket.depth * RESERVED_FRACTION;
  return waiting + Math.min(ahead, Math.max(0, free));
}
