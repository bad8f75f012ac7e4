/**
 * Runs the allocators of back ends' rate limits: the coordinator of a zone allocates for all back ends
 * in that zone.
 */
import { WoodbarrowError } from '@woodbarrow/errors';
import type { BackendNotices } from '@woodbarrow/forwarding';
import type { EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  rateLimitGrantMethod,
  type RateLimitGrantAnswer,
  type RateLimitGrantMessage,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { fromReport, toReport } from './rate-limit-report.js';
import { UnitAllocator } from './unit-allocator.js';
import type { OvershootAllowance, UnitLimit } from './unit-share.js';
import { ZoneAllocators, type ZoneAuthority } from './zone-allocators.js';

/** Options of {@link RateLimitService}. */
export interface RateLimitServiceOptions {
  readonly allowance: OvershootAllowance;
  readonly notices: BackendNotices;
  /** Returns the lease of a zone while this daemon holds it. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Serves the rate-limit allocation calls of other daemons. */
export class RateLimitService {
  private readonly allocators: ZoneAllocators<UnitAllocator>;

  constructor(private readonly options: RateLimitServiceOptions) {
    const { allowance, authorityOf, clock, log } = options;
    const limitOf = (backEndId: string): UnitLimit | undefined => this.limitOf(backEndId);
    this.allocators = new ZoneAllocators({
      authorityOf,
      create: (startsAt) => new UnitAllocator({ allowance, allocatorCount: 1, limitOf, startsAt, clock }),
      onCreated: (zone, fence, startsInMs) => {
        log.changed('rate_limit_granter_started', { zone, fence, startsInMs: Math.round(startsInMs) });
      },
      clock,
    });
  }

  /** Registers the call handler. The peer network must be listening. */
  start(): void {
    this.options.peers.handle(rateLimitGrantMethod, (message) => this.grant(message));
  }

  /** Drops the state of a back-end process that has ended. */
  forget(backEndId: string): void {
    for (const allocator of this.allocators.all()) allocator.forget(backEndId);
  }

  private grant({ zone, backEndId, report, ...wish }: RateLimitGrantMessage): RateLimitGrantAnswer {
    const { notices, clock } = this.options;
    const allocator = this.allocators.activeOf(zone);
    if (allocator === undefined)
      throw new WoodbarrowError('not_leader', `this daemon has no active allocator for zone ${zone}`);
    notices.recordFromPeer(backEndId, fromReport(report, clock));
    const answer = allocator.grant(backEndId, wish);
    const observed = notices.latestRateLimit(backEndId);
    return { ...answer, report: observed === undefined ? report : toReport(observed, clock) };
  }

  private limitOf(backEndId: string): UnitLimit | undefined {
    const ratePerSecond = this.options.notices.requestsPerSecond(backEndId);
    return ratePerSecond === undefined ? undefined : { ratePerSecond, burst: 0 };
  }
}
