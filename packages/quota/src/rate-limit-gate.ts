/**
 * Enforces the rate limits that back ends announce. Each request to a limited back end needs a permit
 * from the allocator in its zone's coordinator. If the allocator does not respond, nothing is sent,
 * because other daemons may be using the whole limit.
 */
import type { BackEnd } from '@woodbarrow/backends';
import {
  UNLIMITED_PERMIT,
  type BackendNotices,
  type SendPermit,
  type SendPermits,
} from '@woodbarrow/forwarding';
import { rateLimitGrantMethod, type GrantRequest } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { callAllocator, type AllocatorAccess } from './call-allocator.js';
import { fromReport, toReport } from './rate-limit-report.js';
import { UnitGate, type ReceivedGrant } from './unit-gate.js';
import type { OvershootAllowance } from './unit-share.js';

/** Options of {@link RateLimitGate}. */
export interface RateLimitGateOptions extends AllocatorAccess {
  readonly allowance: OvershootAllowance;
  readonly notices: BackendNotices;
  /** Returns the zone of a back end; undefined if the back end is gone. */
  readonly zoneOf: (backEndId: string) => string | undefined;
  readonly clock: Clock;
}

/** Permit counts since the start. */
export interface PermitTotals {
  readonly granted: number;
  readonly turnedDown: number;
  /** Permits refused because no allocator responded. */
  readonly withoutGranter: number;
}

/** Units that one request needs. */
const ONE_UNIT = 1;
/** Minimum time without further requests to a back end after a refusal, in milliseconds. */
const MIN_BACKOFF_MS = 20;
/**
 * Maximum time without further requests after a refusal, in milliseconds. It is shorter than the time
 * in which an allocator's bucket fills, so that no units are lost while all daemons wait.
 */
const MAX_BACKOFF_MS = 800;
/** Time without further requests after an allocator did not respond, in milliseconds. */
const NO_ALLOCATOR_BACKOFF_MS = 200;

/** Acquires permits to send requests to rate-limited back ends. */
export class RateLimitGate implements SendPermits {
  private readonly gate: UnitGate;
  /** Monotonic time until which no permit is requested, by back end. */
  private readonly closedUntil = new Map<string, number>();
  private granted = 0;
  private turnedDown = 0;
  private withoutGranter = 0;

  constructor(private readonly options: RateLimitGateOptions) {
    const { allowance, zoneOf, clock } = options;
    this.gate = new UnitGate({
      allowance,
      allocatorCount: 1,
      zonesFor: (backEndId) => {
        const zone = zoneOf(backEndId);
        return zone === undefined ? [] : [zone];
      },
      requestUnits: (zone, backEndId, wish) => this.requestUnits(zone, backEndId, wish),
      maxBackoffMs: MAX_BACKOFF_MS,
      clock,
    });
  }

  waitMs(backEndId: string): number {
    const until = this.closedUntil.get(backEndId);
    if (until === undefined) return 0;
    const isLimited = this.options.notices.requestsPerSecond(backEndId) !== undefined;
    const waitMs = isLimited ? until - this.options.clock.monotonic() : 0;
    if (waitMs > 0) return waitMs;
    this.closedUntil.delete(backEndId);
    return 0;
  }

  async acquire({ id }: BackEnd, signal: AbortSignal): Promise<SendPermit | undefined> {
    const { notices } = this.options;
    const ratePerSecond = notices.requestsPerSecond(id);
    if (ratePerSecond === undefined) return UNLIMITED_PERMIT;
    if (this.waitMs(id) > 0) return undefined;
    const outcome = await this.gate.acquire(id, { ratePerSecond, burst: 0 }, ONE_UNIT, 0, signal);
    // The back end may have withdrawn its limit during the call.
    if (notices.requestsPerSecond(id) === undefined) return UNLIMITED_PERMIT;
    switch (outcome.kind) {
      case 'granted':
        this.granted += 1;
        return { ...outcome.ticket, end: () => undefined };
      case 'over_limit':
        this.turnedDown += 1;
        this.backOff(id, Math.max(MIN_BACKOFF_MS, outcome.retryAfterMs));
        return undefined;
      case 'unavailable':
        this.withoutGranter += 1;
        this.backOff(id, NO_ALLOCATOR_BACKOFF_MS);
        return undefined;
    }
  }

  /** Drops the state of a back-end process that has ended. */
  forget(backEndId: string): void {
    this.closedUntil.delete(backEndId);
    this.gate.forget(backEndId);
  }

  get totals(): PermitTotals {
    const { granted, turnedDown, withoutGranter } = this;
    return { granted, turnedDown, withoutGranter };
  }

  private backOff(backEndId: string, durationMs: number): void {
    this.closedUntil.set(backEndId, this.options.clock.monotonic() + durationMs);
  }

  private async requestUnits(
    zone: string,
    backEndId: string,
    wish: GrantRequest,
  ): Promise<ReceivedGrant | undefined> {
    const { notices, clock } = this.options;
    const observed = notices.latestRateLimit(backEndId);
    if (observed === undefined) return undefined;
    const askedAt = clock.elapsed();
    const message = { zone, backEndId, report: toReport(observed, clock), ...wish };
    const answer = await callAllocator(this.options, zone, rateLimitGrantMethod, message);
    if (answer !== undefined) notices.recordFromPeer(backEndId, fromReport(answer.report, clock));
    return answer === undefined ? undefined : { answer, askedAt };
  }
}
