/**
 * A daemon's side of back ends' rate limits. Each send to a back end that names one needs a permit of the granter that all daemons
 * ask for it: the coordinator of its zone. Where none answers nothing is sent there, since others may be sending all that it takes.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { FREE_PERMIT, type BackendNotices, type SendPermit, type SendPermits } from '@woodbarrow/forwarding';
import { rateLimitGrantMethod, type GrantAnswer, type GrantWish } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { callAllocator, type AllocatorAccess } from './call-allocator.js';
import { fromReport, toReport } from './rate-limit-report.js';
import { UnitGate } from './unit-gate.js';
import type { UnitAllowance } from './unit-share.js';

/** Options of {@link RateLimitGate}. */
export interface RateLimitGateOptions extends AllocatorAccess {
  readonly allowance: UnitAllowance;
  readonly notices: BackendNotices;
  /** Zone of a back end; undefined where it is gone. */
  readonly zoneOf: (backEndId: string) => string | undefined;
  readonly clock: Clock;
}

/** Numbers since the start. */
export interface PermitTotals {
  readonly granted: number;
  readonly turnedDown: number;
  /** Turned down as no granter answered. */
  readonly withoutGranter: number;
}

/** One permit. */
const ONE_UNIT = 1;
/** Shortest time for which a back end is left alone once a request was turned down, in milliseconds. */
const MIN_BACKOFF_MS = 20;
/** Longest such time: less than what fills a granter's bucket, so that nothing is lost while all daemons wait. */
const MAX_BACKOFF_MS = 800;
/** Time for which no permit is asked for where no granter answered, in milliseconds. */
const NO_ALLOCATOR_BACKOFF_MS = 200;

/** Gate of one daemon. */
export class RateLimitGate implements SendPermits {
  private readonly gate: UnitGate;
  /** Monotonic time until which a back end takes nothing more. */
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
    if (ratePerSecond === undefined) return FREE_PERMIT;
    if (this.waitMs(id) > 0) return undefined;
    const outcome = await this.gate.acquire(id, { ratePerSecond, burst: 0 }, ONE_UNIT, 0, signal);
    // The limit may have ended while the granter was asked.
    if (notices.requestsPerSecond(id) === undefined) return FREE_PERMIT;
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

  /** Forgets an incarnation that has ended. */
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
    wish: GrantWish,
  ): Promise<GrantAnswer | undefined> {
    const { notices, clock } = this.options;
    const observed = notices.lastHeard(backEndId);
    if (observed === undefined) return undefined;
    const message = { zone, backEndId, report: toReport(observed, clock), ...wish };
    const answer = await callAllocator(this.options, zone, rateLimitGrantMethod, message);
    if (answer !== undefined) notices.hearFromPeer(backEndId, fromReport(answer.report, clock));
    return answer;
  }
}
