/**
 * A daemon's side of back ends' rate limits. Each send to a back end that names one needs a permit of the granter that all daemons
 * ask for it: the coordinator of its zone. Where none answers nothing is sent there, since others may be sending all that it takes.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { FREE_PERMIT, type BackendNotices, type SendPermit, type SendPermits } from '@woodbarrow/forwarding';
import { rateLimitGrantMethod, type GrantAnswer, type GrantWish } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { askGranter, type GranterAccess } from './ask-granter.js';
import { fromReport, toReport } from './rate-limit-report.js';
import { UnitGate } from './unit-gate.js';
import type { UnitAllowance } from './unit-share.js';

/** Options of {@link RateLimitGate}. */
export interface RateLimitGateOptions extends GranterAccess {
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
const LEAST_TURN_DOWN_MS = 20;
/** Longest such time: less than what fills a granter's bucket, so that nothing is lost while all daemons wait. */
const LONGEST_TURN_DOWN_MS = 800;
/** Time for which no permit is asked for where no granter answered, in milliseconds. */
const NO_GRANTER_PAUSE_MS = 200;

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
      granters: 1,
      zonesFor: (backEndId) => {
        const zone = zoneOf(backEndId);
        return zone === undefined ? [] : [zone];
      },
      ask: (zone, backEndId, wish) => this.ask(zone, backEndId, wish),
      longestTurnDownMs: LONGEST_TURN_DOWN_MS,
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
        this.close(id, Math.max(LEAST_TURN_DOWN_MS, outcome.retryAfterMs));
        return undefined;
      case 'unavailable':
        this.withoutGranter += 1;
        this.close(id, NO_GRANTER_PAUSE_MS);
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

  private close(backEndId: string, forMs: number): void {
    this.closedUntil.set(backEndId, this.options.clock.monotonic() + forMs);
  }

  private async ask(zone: string, backEndId: string, wish: GrantWish): Promise<GrantAnswer | undefined> {
    const { notices, clock } = this.options;
    const heard = notices.lastHeard(backEndId);
    if (heard === undefined) return undefined;
    const message = { zone, backEndId, report: toReport(heard, clock), ...wish };
    const answer = await askGranter(this.options, zone, rateLimitGrantMethod, message);
    if (answer !== undefined) notices.hearFromPeer(backEndId, fromReport(answer.report, clock));
    return answer;
  }
}
