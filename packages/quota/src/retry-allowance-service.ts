/** Runs the allocators of the fixed allowance of retries: one for each zone whose lease this daemon holds. */
import { WoodbarrowError } from '@woodbarrow/errors';
import { EarnedRetries, type EarnedRetriesOptions, type RequestCount } from '@woodbarrow/forwarding';
import type { EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { firstMemberRetriesMethod, retryGrantMethod } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import {
  GRANT_TRANSIT_MS,
  RetryAllocator,
  retryShareOf,
  type RetryAllowanceLimit,
} from './retry-allocator.js';
import { ZoneAllocators, type ZoneAuthority } from './zone-allocators.js';

/** Options of {@link RetryAllowanceService}. */
export interface RetryAllowanceServiceOptions {
  readonly limit: RetryAllowanceLimit & EarnedRetriesOptions;
  /** Zones of the deployment. Each has one allocator. */
  readonly zones: readonly string[];
  /** Returns the lease of a zone while this daemon holds it. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Counts of the allocators of one daemon since their start, by service. */
export interface RetryGrantTotals {
  /** Retries granted. */
  readonly granted: ReadonlyMap<string, number>;
  /** Requests that daemons handed over as they had too few to earn a retry. */
  readonly pooledRequests: ReadonlyMap<string, number>;
}

/** Serves the calls of other daemons that need retries. */
export class RetryAllowanceService {
  private readonly allocators: ZoneAllocators<RetryAllocator>;
  /** Requests of daemons that have too few to earn a retry. */
  private readonly pool: EarnedRetries;
  private readonly pooledRequests = new Map<string, number>();

  constructor(private readonly options: RetryAllowanceServiceOptions) {
    const { authorityOf, clock, zones, limit } = options;
    this.pool = new EarnedRetries({ ...limit, transitMs: GRANT_TRANSIT_MS }, clock);
    this.allocators = new ZoneAllocators({
      authorityOf: (zone) => (zones.includes(zone) ? authorityOf(zone) : undefined),
      create: (startsAt, zone, isFirst) => this.createAllocator(startsAt, zone, isFirst),
      clock,
    });
  }

  /** Registers the call handler. The peer network must be listening. */
  start(): void {
    const { peers } = this.options;
    peers.handle(retryGrantMethod, ({ zone, service, requests, ...wish }) => {
      const allocator = this.activeAllocator(zone);
      if (requests !== undefined) this.addToPool(zone, service, requests);
      return allocator.grant(service, wish);
    });
    peers.handle(firstMemberRetriesMethod, ({ zone, used }) => {
      this.activeAllocator(zone).noteFirstMemberEnded(used);
      return {};
    });
  }

  /** Notices stalls of the process until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.pool.run(signal);
  }

  /** Creates and drops allocators after a change of the held zones, so that the time until they grant begins at once. */
  refreshZones(): void {
    for (const zone of this.options.zones) this.allocators.of(zone);
  }

  get totals(): RetryGrantTotals {
    const granted = new Map<string, number>();
    for (const allocator of this.allocators.all())
      for (const [service, count] of allocator.granted)
        granted.set(service, (granted.get(service) ?? 0) + count);
    return { granted, pooledRequests: this.pooledRequests };
  }

  /** Counts requests that a daemon hands over. */
  private addToPool(zone: string, service: string, requests: readonly RequestCount[]): void {
    this.pool.addRequests(service, requests);
    const before = this.pooledRequests.get(service);
    if (before === undefined) this.options.log.changed('retry_pool_started', { zone, service });
    const count = requests.reduce((total, { read }) => total + read, 0);
    this.pooledRequests.set(service, (before ?? 0) + count);
  }

  private createAllocator(startsAt: number, zone: string, isFirst: boolean): RetryAllocator {
    const { limit, zones, clock, log } = this.options;
    const { windowMs } = limit;
    const share = retryShareOf(limit, zones, zone);
    const allocator = new RetryAllocator({ share, pool: this.pool, isFirst, windowMs, startsAt, clock });
    const startsInMs = Math.round(allocator.startsInMs);
    log.changed('retry_allocator_started', { zone, retries: share.retries, startsInMs, isFirst });
    return allocator;
  }

  private activeAllocator(zone: string): RetryAllocator {
    const allocator = this.allocators.activeOf(zone);
    if (allocator === undefined)
      throw new WoodbarrowError('not_leader', `this daemon has no active allocator for zone ${zone}`);
    return allocator;
  }
}
