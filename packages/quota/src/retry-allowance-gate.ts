/** Acquires retries of the fixed allowance for the requests of one daemon, from the allocators of the zones. */
import {
  RETRY_TRANSIT_MS,
  type AllowedRetry,
  type QuotaOutcome,
  type RequestCount,
  type RetryAllowance,
  type RetryOutcome,
  type RetryWithheldReason,
} from '@woodbarrow/forwarding';
import { retryGrantMethod, type GrantRequest, type RetryGrantMessage } from '@woodbarrow/protocol';
import { callAllocator } from './call-allocator.js';
import { FirstMemberRetries, type FirstMemberRetriesOptions } from './first-member-retries.js';
import { ResponsiveAllocators } from './responsive-allocators.js';
import { UnitGate, type ReceivedGrant } from './unit-gate.js';
import type { UnitLimit } from './unit-share.js';
import { poolZoneOf, zonesInOrder, type ZonePlace } from './zone-order.js';

/** Options of {@link RetryAllowanceGate}. */
export interface RetryAllowanceGateOptions extends FirstMemberRetriesOptions, ZonePlace {}

const MS_PER_SECOND = 1000;
/** Maximum time that a failed request waits for a retry, in milliseconds; its caller learns of the failure afterwards. */
const MAX_WAIT_MS = 250;
/** Maximum time without further calls after no retry was left, in milliseconds. */
const MAX_BACKOFF_MS = 300;

/** Retries of the fixed allowance. */
export class RetryAllowanceGate implements RetryAllowance {
  private readonly gate: UnitGate;
  private readonly responsive: ResponsiveAllocators;
  private readonly limit: UnitLimit;
  /** Zones whose allocator answered last that it does not grant yet. */
  private readonly startingZones = new Set<string>();
  private readonly firstMember: FirstMemberRetries;
  /** Return the requests of this daemon that an allocator may count instead, by service. */
  private readonly takeRequests = new Map<string, () => readonly RequestCount[]>();

  constructor(private readonly options: RetryAllowanceGateOptions) {
    const { limit, zones, clock } = options;
    this.firstMember = new FirstMemberRetries(options);
    this.responsive = new ResponsiveAllocators(clock);
    this.limit = { ratePerSecond: (limit.extra * MS_PER_SECOND) / limit.windowMs, burst: 0 };
    this.gate = new UnitGate({
      allowance: { windowMs: limit.windowMs, overshoot: 0, slack: limit.extra },
      allocatorCount: zones.length,
      zonesFor: (service) => this.responsive.select(zonesInOrder(options, service)),
      requestUnits: (zone, service, wish) => this.requestRetries(zone, service, wish),
      maxBackoffMs: MAX_BACKOFF_MS,
      clock,
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this.firstMember.report(signal);
  }

  async acquire(
    service: string,
    signal: AbortSignal,
    takeRequests: () => readonly RequestCount[],
  ): Promise<RetryOutcome<AllowedRetry>> {
    this.takeRequests.set(service, takeRequests);
    const first = this.firstMember.take(service);
    if (first !== undefined) return { kind: 'allowed', permit: first };
    const outcome = await this.withinMaxWait(this.gate.acquire(service, this.limit, 1, 0, signal));
    if (outcome === undefined) return { kind: 'withheld', reason: 'no_allocator' };
    if (outcome.kind !== 'granted') return { kind: 'withheld', reason: this.reasonFor(outcome.kind) };
    const { ticket } = outcome;
    const countedUntil = (ticket.expiresAt ?? Infinity) + RETRY_TRANSIT_MS;
    return { kind: 'allowed', permit: { ...ticket, source: 'granted', countedUntil } };
  }

  /** Resolves with undefined if the allocators do not respond in time; a retry that they grant later serves another request. */
  private withinMaxWait(acquired: Promise<QuotaOutcome>): Promise<QuotaOutcome | undefined> {
    return new Promise((resolve) => {
      let isLate = false;
      const cancelTimer = this.options.clock.schedule(MAX_WAIT_MS, () => {
        isLate = true;
        resolve(undefined);
      });
      void acquired.then((outcome) => {
        cancelTimer();
        if (isLate && outcome.kind === 'granted') outcome.ticket.refund();
        resolve(outcome);
      });
    });
  }

  private reasonFor(kind: 'over_limit' | 'unavailable'): RetryWithheldReason {
    if (kind === 'unavailable') return 'no_allocator';
    return this.startingZones.size > 0 ? 'allocator_starting' : 'used_up';
  }

  /** All daemons send their requests to the same zone, so that they add up to whole retries. */
  private pooledRequests(zone: string, service: string): Pick<RetryGrantMessage, 'requests'> {
    const { zones, coordinators } = this.options;
    if (zone !== poolZoneOf(service, zones) || coordinators.of(zone) === undefined) return {};
    const requests = this.takeRequests.get(service)?.() ?? [];
    return requests.length === 0 ? {} : { requests };
  }

  private async requestRetries(
    zone: string,
    service: string,
    wish: GrantRequest,
  ): Promise<ReceivedGrant | undefined> {
    const askedAt = this.options.clock.elapsed();
    const message = { zone, service, ...wish, ...this.pooledRequests(zone, service) };
    const answer = await callAllocator(this.options, zone, retryGrantMethod, message);
    if (answer === undefined) this.responsive.recordSilence(zone);
    else this.responsive.recordAnswer(zone);
    if (answer !== undefined && answer.startsInMs > 0) this.startingZones.add(zone);
    else this.startingZones.delete(zone);
    return answer === undefined ? undefined : { answer, askedAt };
  }
}
