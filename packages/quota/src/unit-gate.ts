/**
 * A daemon's side of limits over all daemons: what is limited uses units that were asked of a granter before. Most are found in the
 * daemon's purse; others wait for granters, asked one after the other where one has too little.
 */
import type { QuotaOutcome, QuotaTicket } from '@woodbarrow/forwarding';
import type { GrantAnswer, GrantWish } from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';
import { UnitPurse } from './unit-purse.js';
import { shareOf, type UnitAllowance, type UnitLimit } from './unit-share.js';
import { UseRate } from './use-rate.js';

/** Options of {@link UnitGate}. */
export interface UnitGateOptions {
  readonly allowance: UnitAllowance;
  /** Number of granters that share each limit. */
  readonly granters: number;
  /** Zones whose granters are asked for a subject, in this order. */
  readonly zonesFor: (subject: string) => readonly string[];
  /** Asks one granter; undefined where there is none, or it does not answer. Never rejects. */
  readonly ask: (zone: string, subject: string, wish: GrantWish) => Promise<GrantAnswer | undefined>;
  /**
   * Longest time for which no units are asked for once some were turned down, in milliseconds: what others were promised before may not be
   * used by them.
   * @default unbounded
   */
  readonly longestTurnDownMs?: number;
  readonly clock: Clock;
}

/** Units that a daemon has used and refused for a subject. */
export interface GateUse {
  readonly used: number;
  readonly refused: number;
}

/** Pause before granters are asked again where none answered, in milliseconds. */
const NO_GRANTER_PAUSE_MS = 100;
/** Longest wait for a granter, in milliseconds: a lost coordinator is replaced in about five seconds, a restarted one in one or two. */
const LONGEST_WAIT_MS = 2500;
/** Time after which to come back where no granter answers, in milliseconds. */
export const NO_GRANTER_RETRY_MS = 1000;
/**
 * Units that come in within this time are waited for, in milliseconds: a caller would be back no sooner, and buckets that have just been
 * taken over are empty without a subject being over its limit.
 */
const SHORT_WAIT_MS = 150;
const MS_PER_SECOND = 1000;
/** Part of a lifetime for which units are asked for ahead of need: asking takes some milliseconds. */
const AHEAD_PART = 0.8;

/** Part of a full bucket from which on a request is worth a second round of questions, in which it is put together. */
const LARGE_PART = 0.25;

/** A request that waits for units. */
interface WaitingRequest {
  readonly units: number;
  /** Monotonic time after which it is of no use to wait for a granter. */
  readonly waitUntil: number;
  readonly signal: AbortSignal;
  readonly settle: (outcome: QuotaOutcome) => void;
  /** It has waited for units that were to come in a moment. */
  hasWaited: boolean;
}

/** What granters said to one round of questions. */
interface RoundResult {
  readonly anyAnswered: boolean;
  /** Units that they have and did not hand out, together. */
  readonly left: number;
  readonly retryAfterMs: number;
}

interface SubjectState {
  readonly purse: UnitPurse;
  readonly rate: UseRate;
  readonly waiting: WaitingRequest[];
  isAsking: boolean;
  /** What all granters turned down last, and the monotonic time until which it is not asked for again. */
  turnedDown: { readonly units: number; readonly until: number } | undefined;
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
   * @param withinMs Milliseconds for which it is of use to wait where no granter answers.
   */
  acquire(
    subject: string,
    limit: UnitLimit,
    units: number,
    withinMs: number,
    signal: AbortSignal,
  ): Promise<QuotaOutcome> {
    const { clock } = this.options;
    const state = this.stateOf(subject);
    // Units of a higher limit would be used beside those of the lower one.
    if (limit.ratePerSecond < state.ratePerSecond) state.purse.clear();
    state.ratePerSecond = limit.ratePerSecond;
    state.rate.note(units);
    const now = clock.monotonic();
    const ticket = state.waiting.length === 0 ? this.take(state, units) : undefined;
    if (ticket !== undefined) return Promise.resolve({ kind: 'granted', ticket });
    const { turnedDown } = state;
    if (turnedDown !== undefined && units >= turnedDown.units && now < turnedDown.until) {
      state.refused += units;
      return Promise.resolve({ kind: 'over_limit', retryAfterMs: turnedDown.until - now });
    }
    return new Promise((resolve) => {
      const waitUntil = now + Math.min(LONGEST_WAIT_MS, withinMs);
      state.waiting.push({ units, waitUntil, signal, settle: resolve, hasWaited: false });
      if (!state.isAsking) void this.serve(subject, limit, state);
    });
  }

  /** Units used and refused since the start, by subject. */
  use(): ReadonlyMap<string, GateUse> {
    return new Map([...this.subjects].map(([name, { used, refused }]) => [name, { used, refused }]));
  }

  /** Drops what is held for a subject that is gone. */
  forget(subject: string): void {
    if (this.subjects.get(subject)?.isAsking === false) this.subjects.delete(subject);
  }

  /** Asks for what waits until nothing does. Never rejects. */
  private async serve(subject: string, limit: UnitLimit, state: SubjectState): Promise<void> {
    state.isAsking = true;
    try {
      while (this.dropGone(state)) {
        const round = await this.askGranters(subject, limit, state);
        if (this.settleServed(state)) continue;
        if (round.anyAnswered) await this.settleOverLimit(state, limit, round.retryAfterMs);
        else await this.awaitGranter(state);
      }
    } finally {
      state.isAsking = false;
    }
  }

  /** Forgets requests whose clients have gone. Returns whether any waits. */
  private dropGone(state: SubjectState): boolean {
    const gone = state.waiting.filter(({ signal }) => signal.aborted);
    for (const request of gone) this.settle(state, request, { kind: 'unavailable', retryAfterMs: 0 });
    return state.waiting.length > 0;
  }

  /**
   * Asks the granters one after the other until the first request has what it needs. Where none has all of it, but several together have, it
   * is put together from their parts: a large request under a small limit is more than one granter often has.
   */
  private async askGranters(subject: string, limit: UnitLimit, state: SubjectState): Promise<RoundResult> {
    const { allowance, granters } = this.options;
    const { depth } = shareOf(limit, allowance, granters);
    const [first] = state.waiting;
    const units = first?.units ?? 0;
    const round = await this.askEach(subject, state, units > depth);
    const missing = missingUnits(state);
    const isHelped = missing > 0 && missing <= round.left && units > depth * LARGE_PART;
    if (units > depth || !isHelped) return round;
    const parts = await this.askEach(subject, state, true);
    return { ...parts, anyAnswered: round.anyAnswered || parts.anyAnswered };
  }

  private async askEach(subject: string, state: SubjectState, mayBePart: boolean): Promise<RoundResult> {
    const { clock, zonesFor, ask } = this.options;
    const round = { anyAnswered: false, left: 0, retryAfterMs: 0 };
    const asked = zonesFor(subject);
    for (const [index, zone] of asked.entries()) {
      const needed = missingUnits(state);
      if (needed <= 0) break;
      const queued = state.waiting.reduce((sum, { units }) => sum + units, 0) - state.purse.available();
      const ahead = state.rate.perMs() * state.lifetimeMs * AHEAD_PART;
      const isLast = index === asked.length - 1;
      const askedAt = clock.elapsed();
      const answer = await ask(zone, subject, { needed, queued, ahead, mayBePart, isLast });
      if (answer === undefined) continue;
      round.anyAnswered = true;
      round.left += answer.left;
      round.retryAfterMs = Math.max(round.retryAfterMs, answer.retryAfterMs);
      state.lifetimeMs = answer.lifetimeMs;
      state.purse.add(answer.granted, askedAt + answer.lifetimeMs);
    }
    return round;
  }

  /** Gives waiting requests what there is, in the order in which they came. Returns whether any got what it needs. */
  private settleServed(state: SubjectState): boolean {
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
  private async settleOverLimit(state: SubjectState, limit: UnitLimit, toldMs: number): Promise<void> {
    const [first] = state.waiting;
    if (first === undefined) return;
    // The last granter in the order did not answer: what the request lacks takes at least so long to come in.
    const { longestTurnDownMs = Infinity } = this.options;
    const dueMs = toldMs > 0 ? toldMs : (first.units * MS_PER_SECOND) / limit.ratePerSecond;
    const retryAfterMs = Math.min(longestTurnDownMs, dueMs);
    if (retryAfterMs <= SHORT_WAIT_MS && !first.hasWaited) {
      first.hasWaited = true;
      await sleep(this.options.clock, retryAfterMs);
      return;
    }
    state.turnedDown = { units: first.units, until: this.options.clock.monotonic() + retryAfterMs };
    for (const request of state.waiting.filter(({ units }) => units >= first.units)) {
      state.refused += request.units;
      this.settle(state, request, { kind: 'over_limit', retryAfterMs });
    }
  }

  private async awaitGranter(state: SubjectState): Promise<void> {
    const now = this.options.clock.monotonic();
    for (const request of state.waiting.filter(({ waitUntil }) => waitUntil <= now + NO_GRANTER_PAUSE_MS))
      this.settle(state, request, { kind: 'unavailable', retryAfterMs: NO_GRANTER_RETRY_MS });
    if (state.waiting.length > 0) await sleep(this.options.clock, NO_GRANTER_PAUSE_MS);
  }

  private settle(state: SubjectState, request: WaitingRequest, outcome: QuotaOutcome): void {
    state.waiting.splice(state.waiting.indexOf(request), 1);
    request.settle(outcome);
  }

  private take(state: SubjectState, units: number): QuotaTicket | undefined {
    const { clock } = this.options;
    const taken = state.purse.take(units);
    if (taken === undefined) return undefined;
    state.used += units;
    let isOpen = true;
    return {
      isValid: () => clock.elapsed() < taken.until,
      giveBack: () => {
        if (!isOpen) return;
        isOpen = false;
        state.used -= units;
        state.purse.add(units, taken.until);
      },
    };
  }

  private stateOf(subject: string): SubjectState {
    let state = this.subjects.get(subject);
    if (state === undefined) {
      const { clock } = this.options;
      state = {
        purse: new UnitPurse(clock),
        rate: new UseRate(clock),
        waiting: [],
        isAsking: false,
        turnedDown: undefined,
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
function missingUnits({ waiting, purse }: SubjectState): number {
  const [first] = waiting;
  return first === undefined ? 0 : first.units - purse.available();
}
