/**
 * A daemon's side of limits over all daemons: what is limited uses units that were asked of a granter before. Most are found in the
 * daemon's purse; others wait for granters, asked one after the other where one has too little.
 */
import type { QuotaOutcome, QuotaTicket } from '@woodbarrow/forwarding';
import type { GrantAnswer, GrantWish } from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';
import { LocalAllowance } from './local-allowance.js';
import { shareOf, type UnitAllowance, type UnitLimit } from './unit-share.js';
import { UsageRate } from './usage-rate.js';

/** Options of {@link UnitGate}. */
export interface UnitGateOptions {
  readonly allowance: UnitAllowance;
  /** Number of granters that share each limit. */
  readonly allocatorCount: number;
  /** Zones whose granters are asked for a subject, in this order. */
  readonly zonesFor: (subject: string) => readonly string[];
  /** Asks one granter; undefined where there is none, or it does not answer. Never rejects. */
  readonly requestUnits: (zone: string, subject: string, wish: GrantWish) => Promise<GrantAnswer | undefined>;
  /**
   * Longest time for which no units are asked for once some were turned down, in milliseconds: what others were promised before may not be
   * used by them.
   * @default unbounded
   */
  readonly maxBackoffMs?: number;
  readonly clock: Clock;
}

/** Units that a daemon has used and refused for a subject. */
export interface GateUse {
  readonly used: number;
  readonly refused: number;
}

/** Pause before granters are asked again where none answered, in milliseconds. */
const ALLOCATOR_RETRY_INTERVAL_MS = 100;
/** Longest wait for a granter, in milliseconds: a lost coordinator is replaced in about five seconds, a restarted one in one or two. */
const MAX_ALLOCATOR_WAIT_MS = 2500;
/** Time after which to come back where no granter answers, in milliseconds. */
export const RETRY_AFTER_NO_ALLOCATOR_MS = 1000;
/**
 * Units that come in within this time are waited for, in milliseconds: a caller would be back no sooner, and buckets that have just been
 * taken over are empty without a subject being over its limit.
 */
const MAX_REFILL_WAIT_MS = 150;
const MS_PER_SECOND = 1000;
/** Part of a lifetime for which units are asked for ahead of need: asking takes some milliseconds. */
const PREFETCH_FRACTION = 0.8;

/** Part of a full bucket from which on a request is worth a second round of questions, in which it is put together. */
const LARGE_REQUEST_FRACTION = 0.25;

/** A request that waits for units. */
interface WaitingRequest {
  readonly units: number;
  /** Monotonic time after which it is of no use to wait for a granter. */
  readonly giveUpAt: number;
  readonly signal: AbortSignal;
  readonly resolve: (outcome: QuotaOutcome) => void;
  /** It has waited for units that were to come in a moment. */
  hasWaitedForRefill: boolean;
}

/** What granters said to one round of questions. */
interface RoundResult {
  readonly hasAnswer: boolean;
  /** Units that they have and did not hand out, together. */
  readonly remaining: number;
  readonly retryAfterMs: number;
}

interface SubjectState {
  readonly allowance: LocalAllowance;
  readonly rate: UsageRate;
  readonly waiting: WaitingRequest[];
  isServing: boolean;
  /** What all granters turned down last, and the monotonic time until which it is not asked for again. */
  lastRejection: { readonly units: number; readonly until: number } | undefined;
  /** Of the limit when units were last asked for. */
  ratePerSecond: number;
  lifetimeMs: number;
  used: number;
  refused: number;
}

/** Gate of one daemon. A subject is what has a limit: a tenant, or a back end. */
export class UnitGate {
  private readonly subjects = new Map<string, SubjectState>();

  constructor(private readonly options: UnitGateOptions) {}

  /**
   * Asks for units.
   *
   * @param maxWaitMs Milliseconds for which it is of use to wait where no granter answers.
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
    // Units of a higher limit would be used beside those of the lower one.
    if (limit.ratePerSecond < state.ratePerSecond) state.allowance.clear();
    state.ratePerSecond = limit.ratePerSecond;
    state.rate.add(units);
    const now = clock.monotonic();
    const ticket = state.waiting.length === 0 ? this.take(state, units) : undefined;
    if (ticket !== undefined) return Promise.resolve({ kind: 'granted', ticket });
    const { lastRejection } = state;
    if (lastRejection !== undefined && units >= lastRejection.units && now < lastRejection.until) {
      state.refused += units;
      return Promise.resolve({ kind: 'over_limit', retryAfterMs: lastRejection.until - now });
    }
    return new Promise((resolve) => {
      const giveUpAt = now + Math.min(MAX_ALLOCATOR_WAIT_MS, maxWaitMs);
      state.waiting.push({ units, giveUpAt, signal, resolve, hasWaitedForRefill: false });
      if (!state.isServing) void this.serveWaiting(subject, limit, state);
    });
  }

  /** Units used and refused since the start, by subject. */
  use(): ReadonlyMap<string, GateUse> {
    return new Map([...this.subjects].map(([name, { used, refused }]) => [name, { used, refused }]));
  }

  /** Drops what is held for a subject that is gone. */
  forget(subject: string): void {
    if (this.subjects.get(subject)?.isServing === false) this.subjects.delete(subject);
  }

  /** Asks for what waits until nothing does. Never rejects. */
  private async serveWaiting(subject: string, limit: UnitLimit, state: SubjectState): Promise<void> {
    state.isServing = true;
    try {
      while (this.dropAborted(state)) {
        const round = await this.requestRound(subject, limit, state);
        if (this.grantFromAllowance(state)) continue;
        if (round.hasAnswer) await this.handleOverLimit(state, limit, round.retryAfterMs);
        else await this.waitForAllocator(state);
      }
    } finally {
      state.isServing = false;
    }
  }

  /** Forgets requests whose clients have gone. Returns whether any waits. */
  private dropAborted(state: SubjectState): boolean {
    const aborted = state.waiting.filter(({ signal }) => signal.aborted);
    for (const request of aborted) this.settle(state, request, { kind: 'unavailable', retryAfterMs: 0 });
    return state.waiting.length > 0;
  }

  /**
   * Asks the granters one after the other until the first request has what it needs. Where none has all of it, but several together have, it
   * is put together from their parts: a large request under a small limit is more than one granter often has.
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
    return { ...parts, hasAnswer: round.hasAnswer || parts.hasAnswer };
  }

  private async requestFromEach(
    subject: string,
    state: SubjectState,
    mayBePart: boolean,
  ): Promise<RoundResult> {
    const { clock, zonesFor, requestUnits } = this.options;
    const round = { hasAnswer: false, remaining: 0, retryAfterMs: 0 };
    const zones = zonesFor(subject);
    for (const [index, zone] of zones.entries()) {
      const needed = missingUnitsOf(state);
      if (needed <= 0) break;
      const queued = state.waiting.reduce((sum, { units }) => sum + units, 0) - state.allowance.available();
      const ahead = state.rate.perMs() * state.lifetimeMs * PREFETCH_FRACTION;
      const isLast = index === zones.length - 1;
      const askedAt = clock.elapsed();
      const answer = await requestUnits(zone, subject, { needed, queued, ahead, mayBePart, isLast });
      if (answer === undefined) continue;
      round.hasAnswer = true;
      round.remaining += answer.left;
      round.retryAfterMs = Math.max(round.retryAfterMs, answer.retryAfterMs);
      state.lifetimeMs = answer.lifetimeMs;
      state.allowance.add(answer.granted, askedAt + answer.lifetimeMs);
    }
    return round;
  }

  /** Gives waiting requests what there is, in the order in which they came. Returns whether any got what it needs. */
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
   * All granters that answered have too little for the first request. Where it will be there in a moment, it waits; else it and all that
   * are no smaller are turned down.
   */
  private async handleOverLimit(
    state: SubjectState,
    limit: UnitLimit,
    reportedRetryMs: number,
  ): Promise<void> {
    const [first] = state.waiting;
    if (first === undefined) return;
    // The last granter in the order did not answer: what the request lacks takes at least so long to come in.
    const { maxBackoffMs = Infinity } = this.options;
    const dueMs = reportedRetryMs > 0 ? reportedRetryMs : (first.units * MS_PER_SECOND) / limit.ratePerSecond;
    const retryAfterMs = Math.min(maxBackoffMs, dueMs);
    if (retryAfterMs <= MAX_REFILL_WAIT_MS && !first.hasWaitedForRefill) {
      first.hasWaitedForRefill = true;
      await sleep(this.options.clock, retryAfterMs);
      return;
    }
    state.lastRejection = { units: first.units, until: this.options.clock.monotonic() + retryAfterMs };
    for (const request of state.waiting.filter(({ units }) => units >= first.units)) {
      state.refused += request.units;
      this.settle(state, request, { kind: 'over_limit', retryAfterMs });
    }
  }

  private async waitForAllocator(state: SubjectState): Promise<void> {
    const now = this.options.clock.monotonic();
    for (const request of state.waiting.filter(
      ({ giveUpAt }) => giveUpAt <= now + ALLOCATOR_RETRY_INTERVAL_MS,
    ))
      this.settle(state, request, { kind: 'unavailable', retryAfterMs: RETRY_AFTER_NO_ALLOCATOR_MS });
    if (state.waiting.length > 0) await sleep(this.options.clock, ALLOCATOR_RETRY_INTERVAL_MS);
  }

  private settle(state: SubjectState, request: WaitingRequest, outcome: QuotaOutcome): void {
    state.waiting.splice(state.waiting.indexOf(request), 1);
    request.resolve(outcome);
  }

  private take(state: SubjectState, units: number): QuotaTicket | undefined {
    const { clock } = this.options;
    const taken = state.allowance.take(units);
    if (taken === undefined) return undefined;
    state.used += units;
    let isOpen = true;
    return {
      isValid: () => clock.elapsed() < taken.earliestExpiresAt,
      giveBack: () => {
        if (!isOpen) return;
        isOpen = false;
        state.used -= units;
        state.allowance.add(units, taken.earliestExpiresAt);
      },
    };
  }

  private stateOf(subject: string): SubjectState {
    let state = this.subjects.get(subject);
    if (state === undefined) {
      const { clock } = this.options;
      state = {
        allowance: new LocalAllowance(clock),
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

/** Units that the first waiting request lacks; 0 when none waits. */
function missingUnitsOf({ waiting, allowance }: SubjectState): number {
  const [first] = waiting;
  return first === undefined ? 0 : first.units - allowance.available();
}
