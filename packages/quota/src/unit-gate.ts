/**
 * Enforces deployment-wide limits on one daemon. Requests use units that allocators granted
 * beforehand; if the local allowance is too small, they wait while the allocators are called one after
 * the other.
 */
import type { QuotaOutcome, QuotaShortage, QuotaTicket } from '@woodbarrow/forwarding';
import type { GrantAnswer, GrantRequest } from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';
import { LocalAllowance } from './local-allowance.js';
import { shareOf, type OvershootAllowance, type UnitLimit } from './unit-share.js';
import { UsageRate } from './usage-rate.js';

/** Answer of an allocator. */
export interface ReceivedGrant {
  readonly answer: GrantAnswer;
  /** Elapsed time at which the allocator was called; the lifetime of the units counts from it. */
  readonly askedAt: number;
}

/** Options of {@link UnitGate}. */
export interface UnitGateOptions {
  readonly allowance: OvershootAllowance;
  /** Number of allocators that share each limit. */
  readonly allocatorCount: number;
  /** Returns the zones whose allocators are called for a subject, in order. */
  readonly zonesFor: (subject: string) => readonly string[];
  /**
   * Calls one allocator. Returns undefined if there is none or it does not respond in time; what it grants later is passed to
   * `onLate`. Never rejects.
   */
  readonly requestUnits: (
    zone: string,
    subject: string,
    wish: GrantRequest,
    onLate: (grant: ReceivedGrant) => void,
  ) => Promise<ReceivedGrant | undefined>;
  /**
   * Maximum time without further calls after a refusal, in milliseconds. Bounds the wait for refill
   * that is reserved for other requests, which may not use it.
   * @default unbounded
   */
  readonly maxBackoffMs?: number;
  readonly clock: Clock;
}

/** Units that a daemon has used and refused for one subject. */
export interface GateUsage {
  readonly used: number;
  readonly refused: number;
}

/** Delay before the allocators are called again after none responded, in milliseconds. */
const ALLOCATOR_RETRY_INTERVAL_MS = 100;
/**
 * Maximum wait for an allocator to respond, in milliseconds. Covers the restart of a coordinator
 * (one or two seconds), but not the replacement of a lost one (about five seconds).
 */
const MAX_ALLOCATOR_WAIT_MS = 2500;
/** Retry delay reported to a caller if no allocator responds, in milliseconds. */
export const RETRY_AFTER_NO_ALLOCATOR_MS = 1000;
/**
 * Maximum wait for a refill, in milliseconds. A client's retry would take as long, and the buckets of
 * a new allocator are empty although the subject is below its limit.
 */
const MAX_REFILL_WAIT_MS = 150;
const MS_PER_SECOND = 1000;
/** Fraction of the unit lifetime for which units are prefetched. The rest covers the duration of the call. */
const PREFETCH_FRACTION = 0.8;

/**
 * Fraction of a bucket above which a request is combined from the units of several allocators in a
 * second round.
 */
const LARGE_REQUEST_FRACTION = 0.25;

/** A request that waits for units. */
interface WaitingRequest {
  readonly units: number;
  /** Monotonic time after which the request stops waiting for an allocator. */
  readonly giveUpAt: number;
  readonly signal: AbortSignal;
  readonly resolve: (outcome: QuotaOutcome) => void;
  /** Whether the request has already waited once for a refill. */
  hasWaitedForRefill: boolean;
}

/** Combined result of one call to each allocator. */
interface RoundResult {
  /** Allocators that responded, of those called. */
  readonly answered: number;
  readonly called: number;
  /** Units left in the buckets of the allocators, in total. */
  readonly remaining: number;
  readonly retryAfterMs: number;
}

interface SubjectState {
  readonly localAllowance: LocalAllowance;
  readonly rate: UsageRate;
  readonly waiting: WaitingRequest[];
  isServing: boolean;
  /**
   * Size of the last refused request, and the monotonic time until which requests of that size are
   * refused without a call.
   */
  lastRejection: { readonly units: number; readonly until: number; readonly round: RoundResult } | undefined;
  /** Rate of the limit when units were last requested. */
  ratePerSecond: number;
  lifetimeMs: number;
  used: number;
  refused: number;
}

/** Acquires units for the requests of one daemon. A subject is a tenant or a back end that has a limit. */
export class UnitGate {
  private readonly subjects = new Map<string, SubjectState>();

  constructor(private readonly options: UnitGateOptions) {}

  /**
   * Acquires units for one request.
   *
   * @param maxWaitMs Maximum wait in milliseconds if no allocator responds.
   */
  acquire(
    subject: string,
    limit: UnitLimit,
    units: number,
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<QuotaOutcome> {
    const { clock } = this.options;
    const state = this.stateOf(subject);
    // Units of the previous, higher limit would be used in addition to those of the lower one.
    if (limit.ratePerSecond < state.ratePerSecond) state.localAllowance.clear();
    state.ratePerSecond = limit.ratePerSecond;
    state.rate.add(units);
    const now = clock.monotonic();
    const ticket = state.waiting.length === 0 ? this.take(state, units) : undefined;
    if (ticket !== undefined) return Promise.resolve({ kind: 'granted', ticket });
    const { lastRejection } = state;
    if (lastRejection !== undefined && units >= lastRejection.units && now < lastRejection.until) {
      state.refused += units;
      const shortage = shortageOf(limit, units, lastRejection.round);
      return Promise.resolve({ kind: 'over_limit', retryAfterMs: lastRejection.until - now, shortage });
    }
    return new Promise((resolve) => {
      const giveUpAt = now + Math.min(MAX_ALLOCATOR_WAIT_MS, maxWaitMs);
      state.waiting.push({ units, giveUpAt, signal, resolve, hasWaitedForRefill: false });
      if (!state.isServing) void this.serveWaiting(subject, limit, state);
    });
  }

  /** Returns the units used and refused since the start, by subject. */
  usage(): ReadonlyMap<string, GateUsage> {
    return new Map([...this.subjects].map(([name, { used, refused }]) => [name, { used, refused }]));
  }

  /** Drops the state of a removed subject. */
  forget(subject: string): void {
    if (this.subjects.get(subject)?.isServing === false) this.subjects.delete(subject);
  }

  /** Requests units until no request waits. Never rejects. */
  private async serveWaiting(subject: string, limit: UnitLimit, state: SubjectState): Promise<void> {
    state.isServing = true;
    try {
      while (this.dropAborted(state)) {
        const round = await this.requestRound(subject, limit, state);
        if (this.grantFromAllowance(state)) continue;
        if (round.answered > 0) await this.handleOverLimit(state, limit, round);
        else await this.waitForAllocator(state, limit, round);
      }
    } finally {
      state.isServing = false;
    }
  }

  /** Removes aborted requests. Returns whether any request still waits. */
  private dropAborted(state: SubjectState): boolean {
    const aborted = state.waiting.filter(({ signal }) => signal.aborted);
    for (const request of aborted) this.settle(state, request, { kind: 'unavailable', retryAfterMs: 0 });
    return state.waiting.length > 0;
  }

  /**
   * Calls the allocators in turn until the first waiting request has its units. If no single allocator
   * has enough, but all together do, a large request is combined from partial grants in a second
   * round.
   */
  private async requestRound(subject: string, limit: UnitLimit, state: SubjectState): Promise<RoundResult> {
    const { allowance, allocatorCount } = this.options;
    const { depth } = shareOf(limit, allowance, allocatorCount);
    const [first] = state.waiting;
    const units = first?.units ?? 0;
    const round = await this.requestFromEach(subject, state, units > depth);
    const missing = missingUnitsOf(state);
    const canCombineParts =
      missing > 0 && missing <= round.remaining && units > depth * LARGE_REQUEST_FRACTION;
    if (units > depth || !canCombineParts) return round;
    const parts = await this.requestFromEach(subject, state, true);
    return { ...parts, answered: Math.max(round.answered, parts.answered), called: round.called };
  }

  private async requestFromEach(
    subject: string,
    state: SubjectState,
    mayBePart: boolean,
  ): Promise<RoundResult> {
    const { zonesFor, requestUnits } = this.options;
    const round = { answered: 0, called: 0, remaining: 0, retryAfterMs: 0 };
    const zones = zonesFor(subject);
    for (const [index, zone] of zones.entries()) {
      const needed = missingUnitsOf(state);
      if (needed <= 0) break;
      const queued =
        state.waiting.reduce((sum, { units }) => sum + units, 0) - state.localAllowance.available();
      const ahead = state.rate.perMs() * state.lifetimeMs * PREFETCH_FRACTION;
      const isLast = index === zones.length - 1;
      round.called += 1;
      const wish = { needed, queued, ahead, mayBePart, isLast };
      const grant = await requestUnits(zone, subject, wish, (late) => {
        this.addUnits(state, late);
      });
      if (grant === undefined) continue;
      const { answer } = grant;
      round.answered += 1;
      round.remaining += answer.left;
      round.retryAfterMs = Math.max(round.retryAfterMs, answer.retryAfterMs);
      this.addUnits(state, grant);
    }
    return round;
  }

  private addUnits(state: SubjectState, { answer, askedAt }: ReceivedGrant): void {
    state.lifetimeMs = answer.lifetimeMs;
    state.localAllowance.add(answer.granted, askedAt + answer.lifetimeMs);
  }

  /** Grants available units to waiting requests in arrival order. Returns whether any request was served. */
  private grantFromAllowance(state: SubjectState): boolean {
    let anyServed = false;
    for (const request of [...state.waiting]) {
      const ticket = this.take(state, request.units);
      if (ticket === undefined) break;
      this.settle(state, request, { kind: 'granted', ticket });
      anyServed = true;
    }
    return anyServed;
  }

  /**
   * Handles a round in which the allocators had too few units for the first request. It waits for a
   * short refill; otherwise it and all requests of at least its size are refused.
   */
  private async handleOverLimit(state: SubjectState, limit: UnitLimit, round: RoundResult): Promise<void> {
    const [first] = state.waiting;
    if (first === undefined) return;
    // The last allocator, which reports the delay, did not respond. The refill takes at least this
    // long.
    const { maxBackoffMs = Infinity } = this.options;
    const reportedMs = round.retryAfterMs;
    const dueMs = reportedMs > 0 ? reportedMs : (first.units * MS_PER_SECOND) / limit.ratePerSecond;
    const retryAfterMs = Math.min(maxBackoffMs, dueMs);
    if (retryAfterMs <= MAX_REFILL_WAIT_MS && !first.hasWaitedForRefill) {
      first.hasWaitedForRefill = true;
      await sleep(this.options.clock, retryAfterMs);
      return;
    }
    state.lastRejection = { units: first.units, until: this.options.clock.monotonic() + retryAfterMs, round };
    for (const request of state.waiting.filter(({ units }) => units >= first.units)) {
      state.refused += request.units;
      const shortage = shortageOf(limit, request.units, round);
      this.settle(state, request, { kind: 'over_limit', retryAfterMs, shortage });
    }
  }

  private async waitForAllocator(state: SubjectState, limit: UnitLimit, round: RoundResult): Promise<void> {
    const now = this.options.clock.monotonic();
    for (const request of state.waiting.filter(
      ({ giveUpAt }) => giveUpAt <= now + ALLOCATOR_RETRY_INTERVAL_MS,
    ))
      this.settle(state, request, {
        kind: 'unavailable',
        retryAfterMs: RETRY_AFTER_NO_ALLOCATOR_MS,
        shortage: shortageOf(limit, request.units, round),
      });
    if (state.waiting.length > 0) await sleep(this.options.clock, ALLOCATOR_RETRY_INTERVAL_MS);
  }

  private settle(state: SubjectState, request: WaitingRequest, outcome: QuotaOutcome): void {
    state.waiting.splice(state.waiting.indexOf(request), 1);
    request.resolve(outcome);
  }

  private take(state: SubjectState, units: number): QuotaTicket | undefined {
    const { clock } = this.options;
    const taken = state.localAllowance.take(units);
    if (taken === undefined) return undefined;
    state.used += units;
    let isOpen = true;
    return {
      expiresAt: taken.earliestExpiresAt,
      isValid: () => clock.elapsed() < taken.earliestExpiresAt,
      refund: () => {
        if (!isOpen) return;
        isOpen = false;
        state.used -= units;
        state.localAllowance.add(units, taken.earliestExpiresAt);
      },
    };
  }

  private stateOf(subject: string): SubjectState {
    let state = this.subjects.get(subject);
    if (state === undefined) {
      const { clock } = this.options;
      state = {
        localAllowance: new LocalAllowance(clock),
        rate: new UsageRate(clock),
        waiting: [],
        isServing: false,
        lastRejection: undefined,
        ratePerSecond: 0,
        lifetimeMs: 0,
        used: 0,
        refused: 0,
      };
      this.subjects.set(subject, state);
    }
    return state;
  }
}

/** Returns the units that the first waiting request lacks; 0 if none waits. */
function missingUnitsOf({ waiting, localAllowance }: SubjectState): number {
  const [first] = waiting;
  return first === undefined ? 0 : first.units - localAllowance.available();
}

function shortageOf(
  { ratePerSecond }: UnitLimit,
  units: number,
  { remaining, answered, called }: RoundResult,
): QuotaShortage {
  return {
    limitPerSecond: ratePerSecond,
    units,
    unitsLeft: Math.round(remaining),
    allocatorsAnswered: answered,
    allocators: called,
  };
}
