/**
 * Grants retries for one zone while this daemon holds the zone's lease: those that pooled requests of daemons with few requests earn, and
 * those of the fixed allowance. The allowance is divided among the zones, not among the daemons, so that it does not depend on which
 * daemons know each other, and any daemon can use all of it.
 *
 * A granted retry counts until it is a window old and can no longer reach a back end. An allocator does not know what its predecessor
 * granted, and grants nothing until that no longer counts either. Before there is any allocator, the first daemon of the deployment may
 * use a part of the allowance, which the first allocators leave out.
 */
import { RETRY_TRANSIT_MS, type EarnedRetries } from '@woodbarrow/forwarding';
import type { GrantRequest, RetryGrantAnswer, UsedRetries } from '@woodbarrow/protocol';
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';

/** Fixed allowance of retries of each service, over all daemons. */
export interface RetryAllowanceLimit {
  /** Retries per window. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Earned retries of a pool of requests. */
export type RetryPool = Pick<EarnedRetries, 'take'>;

/** Share of the allowance that allocators grant. */
const GRANTED_SHARE = 0.97;
/** Share of the allowance that the first daemon of a deployment may use before there are allocators. */
const FIRST_MEMBER_SHARE = 0.6;
/** Time after its start during which it may use that share: longer than it takes to find out that no other daemon is there, and to take the leases. */
export const FIRST_MEMBER_MS = 5000;
/** Time for which a granted retry may be sent, counted from when it was requested, in milliseconds. */
export const RETRY_LIFETIME_MS = 500;

/** Maximum time from the grant of a retry until it reaches its back end, in milliseconds. */
export const GRANT_TRANSIT_MS = RETRY_LIFETIME_MS + RETRY_TRANSIT_MS;

/** Retries that one zone grants. */
export interface RetryShare {
  /** Retries in each window. */
  readonly retries: number;
  /** Retries in each window while those of the first daemon of the deployment may count. */
  readonly retriesAtFirst: number;
}

/** Options of {@link RetryAllocator}. */
export interface RetryAllocatorOptions {
  readonly share: RetryShare;
  readonly pool: RetryPool;
  /** Whether the zone had no allocator before. */
  readonly isFirst: boolean;
  readonly windowMs: number;
  /** Monotonic time in milliseconds from which no other allocator grants for the zone. */
  readonly startsAt: number;
  readonly clock: Clock;
}

/** Time for which a granted retry counts, in milliseconds. */
export function retryHoldMs(windowMs: number): number {
  return windowMs + GRANT_TRANSIT_MS;
}

/** Divides the retries of an allowance among the zones in whole numbers; the remainder goes to the first zones by name. */
export function retryShareOf(
  { extra }: RetryAllowanceLimit,
  zones: readonly string[],
  zone: string,
): RetryShare {
  const rank = [...zones].sort().indexOf(zone);
  const divide = (share: number): number => {
    const retries = Math.floor(extra * share);
    if (rank < 0) return 0;
    return Math.floor(retries / zones.length) + (rank < retries % zones.length ? 1 : 0);
  };
  return {
    retries: divide(GRANTED_SHARE),
    retriesAtFirst: divide(GRANTED_SHARE - FIRST_MEMBER_SHARE),
  };
}

/** Retries that the first daemon of a deployment may use before there are allocators. */
export function retriesOfFirstMember({ extra }: RetryAllowanceLimit): number {
  return Math.floor(extra * FIRST_MEMBER_SHARE);
}

/** Allocator of one zone for the duration of one lease. */
export class RetryAllocator {
  private readonly grants = new Map<string, SlidingWindow>();
  /** Retries granted since the start, by service. */
  readonly granted = new Map<string, number>();
  /** Whether the first daemon of the deployment has told what it used. */
  private hasFirstMemberEnded = false;

  constructor(private readonly options: RetryAllocatorOptions) {}

  /** Milliseconds until it grants. */
  get startsInMs(): number {
    const { startsAt, isFirst, windowMs, clock } = this.options;
    const grantsFrom = isFirst ? startsAt : startsAt + retryHoldMs(windowMs);
    return Math.max(0, grantsFrom - clock.monotonic());
  }

  /** Retries that it grants in each window now. */
  get limit(): number {
    const { share, startsAt, isFirst, windowMs, clock } = this.options;
    if (!isFirst || this.hasFirstMemberEnded) return share.retries;
    const countsUntil = startsAt + FIRST_MEMBER_MS + retryHoldMs(windowMs);
    return clock.monotonic() < countsUntil ? share.retriesAtFirst : share.retries;
  }

  /** Counts what the first daemon of the deployment used, instead of all that it might have. */
  noteFirstMemberEnded(used: readonly UsedRetries[]): void {
    if (this.hasFirstMemberEnded) return;
    this.hasFirstMemberEnded = true;
    for (const { service, retries } of used)
      for (let count = 0; count < retries; count += 1) this.windowOf(service).add();
  }

  /** Grants the retries that requests of a daemon wait for, or as many as are left. */
  grant(service: string, { queued, needed }: GrantRequest): RetryGrantAnswer {
    const { startsInMs, limit } = this;
    const wanted = Math.ceil(Math.max(queued, needed));
    const earned = this.grantEarned(service, wanted);
    const window = this.windowOf(service);
    const free = startsInMs > 0 ? 0 : Math.max(0, limit - window.count());
    const allowed = Math.min(free, wanted - earned);
    for (let count = 0; count < allowed; count += 1) window.add();
    const granted = earned + allowed;
    this.granted.set(service, (this.granted.get(service) ?? 0) + granted);
    const waitMs = startsInMs > 0 ? startsInMs : window.waitMs(limit);
    const retryAfterMs = granted >= needed || limit === 0 ? 0 : waitMs;
    return { granted, lifetimeMs: RETRY_LIFETIME_MS, left: free - allowed, retryAfterMs, startsInMs };
  }

  /** Grants retries that the pool has earned. It is not told when they arrive. */
  private grantEarned(service: string, wanted: number): number {
    const { pool, clock } = this.options;
    for (let count = 0; count < wanted; count += 1) {
      const retry = pool.take(service);
      if (retry === undefined) return count;
      retry.settle(clock.elapsed() + GRANT_TRANSIT_MS);
    }
    return wanted;
  }

  private windowOf(service: string): SlidingWindow {
    let window = this.grants.get(service);
    if (window === undefined) {
      window = new SlidingWindow(retryHoldMs(this.options.windowMs), this.options.clock);
      this.grants.set(service, window);
    }
    return window;
  }
}
