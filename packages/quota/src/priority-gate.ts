/**
 * Enforces deployment-wide limits on one daemon where requests compete for units. A request first uses
 * units that were prefetched, unless a more urgent one waits. Otherwise it asks the allocators, and
 * waits at the one that has its units first if they come in time. The allocators decide about the order
 * of the requests of all daemons; see `priority-shares.ts`.
 */
import type { QuotaOutcome, QuotaShortage, QuotaTicket, QuotaUrgency } from '@woodbarrow/forwarding';
import type { GrantAnswer } from '@woodbarrow/protocol';
import { sleep, type Random } from '@woodbarrow/runtime';
import { LocalAllowance } from './local-allowance.js';
import { PriorityUsage } from './priority-usage.js';
import { LEAST_URGENT_PRIORITY, PROBE_CLAIM_MS, validPriority } from './priority-shares.js';
import { RecentQuotes } from './recent-quotes.js';
import { RefusalMemory } from './refusal-memory.js';
import { ResponsiveAllocators } from './responsive-allocators.js';
import { RETRY_AFTER_NO_ALLOCATOR_MS, type GateUsage, type UnitGateOptions } from './unit-gate.js';
import { shareOf, type UnitLimit } from './unit-share.js';
import { UsageRate } from './usage-rate.js';
import { WaitingUnits } from './waiting-units.js';

/** Options of {@link PriorityGate}. */
export interface PriorityGateOptions extends Omit<UnitGateOptions, 'maxBackoffMs'> {
  /** Name of this daemon, which distinguishes its requests at the allocators. */
  readonly daemon: string;
  /** Spreads retries. */
  readonly random: Random;
}

/** Delay before the allocators are called again after none responded, in milliseconds. */
const ALLOCATOR_RETRY_INTERVAL_MS = 100;
/** Maximum wait for an allocator to respond, in milliseconds. Covers the restart of a coordinator. */
const MAX_ALLOCATOR_WAIT_MS = 2500;
/** Fraction of the unit lifetime for which units are prefetched. The rest covers the duration of the call. */
const PREFETCH_FRACTION = 0.8;
/**
 * Fraction of a bucket above which a request accepts units in parts. A larger claim would set aside most
 * of a bucket.
 */
const PARTS_FRACTION = 0.5;

interface WaitingRequest {
  /** Counts the requests of this daemon, in arrival order. */
  readonly sequence: number;
  readonly priority: number;
  readonly units: number;
  readonly collected: WaitingUnits;
  /** Monotonic time until which waiting for a refill is of use. */
  readonly usefulUntil: number;
  /** Monotonic time after which the request stops waiting for an allocator. */
  readonly giveUpAt: number;
  readonly signal: AbortSignal;
}

/** Result of asking the allocators in turn. */
interface Round {
  answered: number;
  called: number;
  /** Units that nobody claims, in total. */
  left: number;
  /** The allocator that has the units first. */
  best: { readonly zone: string; readonly dueMs: number; readonly answer?: GrantAnswer } | undefined;
}

interface SubjectState {
  readonly name: string;
  readonly allowance: LocalAllowance;
  readonly rate: UsageRate;
  readonly refusals: RefusalMemory;
  readonly quotes: RecentQuotes;
  readonly waiting: Set<WaitingRequest>;
  limit: UnitLimit;
  lifetimeMs: number;
  used: number;
  refused: number;
}

/** Acquires units for the requests of one daemon, by priority and arrival. */
export class PriorityGate {
  private readonly subjects = new Map<string, SubjectState>();
  private readonly allocators: ResponsiveAllocators;
  private readonly priorityUsage = new PriorityUsage();
  private nextSequence = 0;

  constructor(private readonly options: PriorityGateOptions) {
    this.allocators = new ResponsiveAllocators(options.clock);
  }

  /**
   * Acquires units for one request.
   *
   * @param maxWaitMs Maximum wait in milliseconds if no allocator responds.
   */
  async acquire(
    subject: string,
    limit: UnitLimit,
    units: number,
    maxWaitMs: number,
    signal: AbortSignal,
    urgency: QuotaUrgency = { priority: LEAST_URGENT_PRIORITY, usefulWaitMs: 0 },
  ): Promise<QuotaOutcome> {
    const { clock } = this.options;
    const state = this.stateOf(subject, limit);
    // Units of the previous, higher limit would be used in addition to those of the lower one.
    if (limit.ratePerSecond < state.limit.ratePerSecond) state.allowance.clear();
    state.limit = limit;
    state.rate.add(units);
    const now = clock.monotonic();
    const request = {
      sequence: (this.nextSequence += 1),
      priority: validPriority(urgency.priority),
      units,
      collected: new WaitingUnits(units, clock),
      usefulUntil: now + urgency.usefulWaitMs,
      giveUpAt: now + Math.min(MAX_ALLOCATOR_WAIT_MS, maxWaitMs),
      signal,
    };
    state.waiting.add(request);
    try {
      const outcome = await this.serve(state, request);
      this.count(state, request, outcome);
      return outcome;
    } finally {
      state.waiting.delete(request);
      for (const part of request.collected.drain()) state.allowance.add(part.units, part.expiresAt);
    }
  }

  /** Returns the units used and refused since the start, by subject. */
  usage(): ReadonlyMap<string, GateUsage> {
    return new Map([...this.subjects].map(([name, { used, refused }]) => [name, { used, refused }]));
  }

  /** Returns the requests granted and refused since the start, by subject and priority. */
  usageByPriority(): PriorityUsage {
    return this.priorityUsage;
  }

  private async serve(state: SubjectState, request: WaitingRequest): Promise<QuotaOutcome> {
    for (;;) {
      const early = this.endEarly(state, request);
      if (early !== undefined) return early;
      const round = await this.probe(state, request);
      const ticket = this.ticketFor(state, request);
      if (ticket !== undefined) return { kind: 'granted', ticket };
      if (round.best === undefined) {
        if (await this.waitForAllocator(request)) continue;
        const shortage = shortageOf(state, request, round);
        return { kind: 'unavailable', retryAfterMs: RETRY_AFTER_NO_ALLOCATOR_MS, shortage };
      }
      const outcome = await this.waitAt(round.best, state, request, round);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Ends a request without a call if it was aborted, is served by prefetched units, or is known to be too late. */
  private endEarly(state: SubjectState, request: WaitingRequest): QuotaOutcome | undefined {
    if (request.signal.aborted) return { kind: 'unavailable', retryAfterMs: 0 };
    const ticket = this.ticketInTurn(state, request);
    if (ticket !== undefined) return { kind: 'granted', ticket };
    const refusal = state.refusals.refuse(this.refusable(request));
    return refusal === undefined ? undefined : { kind: 'over_limit', ...refusal };
  }

  /** Asks the allocators in turn until one grants the units or has them very soon. */
  private async probe(state: SubjectState, request: WaitingRequest): Promise<Round> {
    const { zonesFor, allowance, allocatorCount } = this.options;
    const { depth } = shareOf(state.limit, allowance, allocatorCount);
    const isLarge = request.units > depth * PARTS_FRACTION;
    const round: Round = { answered: 0, called: 0, left: 0, best: undefined };
    const zones = this.allocators.select(zonesFor(state.name));
    const known = state.quotes.earliest(zones, this.refusable(request), PROBE_CLAIM_MS);
    if (known !== undefined) {
      const called = zonesFor(state.name).length;
      return { answered: zones.length, called, left: 0, best: { zone: known, dueMs: 0 } };
    }
    await this.askEach(zones, state, request, round, isLarge);
    // Together the allocators have the units that no single one has.
    const missing = request.collected.missing();
    const isHeld = round.best?.answer?.isWaiting === true;
    if (!isLarge && !isHeld && missing > 0 && missing <= round.left) {
      const parts: Round = { answered: 0, called: 0, left: 0, best: undefined };
      await this.askEach(zones, state, request, parts, true);
      round.best = parts.best ?? round.best;
    }
    return { ...round, called: zonesFor(state.name).length };
  }

  private async askEach(
    zones: readonly string[],
    state: SubjectState,
    request: WaitingRequest,
    round: Round,
    mayBePart: boolean,
  ): Promise<void> {
    for (const zone of zones) {
      if (request.collected.missing() <= 0) return;
      // A first call tells whether the others may have units sooner.
      if (round.best !== undefined && state.quotes.isTooLate(zone, this.refusable(request))) continue;
      const answer = await this.ask(zone, state, request, true, mayBePart);
      if (answer === undefined) continue;
      round.answered += 1;
      round.left += answer.left;
      const dueMs = dueMsOf(answer);
      if (round.best === undefined || dueMs < round.best.dueMs) round.best = { zone, dueMs, answer };
      if (answer.isWaiting === true) return;
    }
  }

  /**
   * Waits at one allocator. Returns undefined if another must be asked, because it did not respond or
   * granted only a part.
   */
  private async waitAt(
    best: NonNullable<Round['best']>,
    state: SubjectState,
    request: WaitingRequest,
    round: Round,
  ): Promise<QuotaOutcome | undefined> {
    const { clock } = this.options;
    let { answer } = best;
    for (;;) {
      const isClaimed = answer?.isWaiting === true;
      if (answer?.isWaiting === true) await sleep(clock, answer.retryAfterMs, request.signal);
      if (request.signal.aborted) return { kind: 'unavailable', retryAfterMs: 0 };
      const held = this.ticketInTurn(state, request);
      if (held !== undefined) return { kind: 'granted', ticket: held };
      answer = await this.ask(best.zone, state, request, false, this.acceptsParts(state, request));
      const ticket = this.ticketFor(state, request);
      if (ticket !== undefined) return { kind: 'granted', ticket };
      if (answer === undefined || answer.granted > 0) return undefined;
      if (!isClaimed) state.quotes.record(best.zone, this.refusable(request), dueMsOf(answer));
      if (answer.isWaiting !== true) return this.refuse(state, request, answer, round);
    }
  }

  private refuse(
    state: SubjectState,
    request: WaitingRequest,
    answer: GrantAnswer,
    round: Round,
  ): QuotaOutcome {
    const shortage = shortageOf(state, request, round);
    const dueMs = dueMsOf(answer);
    const refusal = { dueMs, retryAfterMs: answer.retryAfterMs, shortage };
    const retryAfterMs = state.refusals.record(this.refusable(request), refusal);
    return { kind: 'over_limit', retryAfterMs, shortage };
  }

  private async ask(
    zone: string,
    state: SubjectState,
    request: WaitingRequest,
    isProbe: boolean,
    mayBePart: boolean,
  ): Promise<GrantAnswer | undefined> {
    const { requestUnits, daemon } = this.options;
    const needed = request.collected.missing();
    const refusable = this.refusable(request);
    const wish = {
      needed,
      queued: needed,
      ahead: state.rate.perMs() * state.lifetimeMs * PREFETCH_FRACTION,
      mayBePart,
      isLast: !isProbe,
      priority: request.priority,
      claim: {
        id: `${daemon} ${String(request.sequence)}`,
        usefulWaitMs: refusable.usefulWaitMs,
        isProbe,
        refusedUnits: isProbe ? 0 : state.refusals.takeRefusedUnits(refusable),
      },
    };
    const grant = await requestUnits(zone, state.name, wish, (late) => {
      this.allocators.recordAnswer(zone);
      state.lifetimeMs = late.answer.lifetimeMs;
      state.allowance.add(late.answer.granted, late.askedAt + late.answer.lifetimeMs);
    });
    if (grant === undefined) {
      this.allocators.recordSilence(zone);
      return undefined;
    }
    const { answer, askedAt } = grant;
    this.allocators.recordAnswer(zone);
    if (isProbe) state.quotes.record(zone, refusable, dueMsOf(answer));
    state.lifetimeMs = answer.lifetimeMs;
    const expiresAt = askedAt + answer.lifetimeMs;
    const own = Math.min(needed, answer.granted);
    request.collected.add({ units: own, expiresAt });
    state.allowance.add(answer.granted - own, expiresAt);
    return answer;
  }

  private acceptsParts({ limit }: SubjectState, { units }: WaitingRequest): boolean {
    const { allowance, allocatorCount } = this.options;
    return units > shareOf(limit, allowance, allocatorCount).depth * PARTS_FRACTION;
  }

  /** Waits before the allocators are called again. Returns false if the request has waited long enough. */
  private async waitForAllocator({ giveUpAt, signal }: WaitingRequest): Promise<boolean> {
    const { clock } = this.options;
    if (giveUpAt <= clock.monotonic() + ALLOCATOR_RETRY_INTERVAL_MS) return false;
    await sleep(clock, ALLOCATOR_RETRY_INTERVAL_MS, signal);
    return true;
  }

  /** Returns a ticket of prefetched or returned units, unless a request that comes first waits. */
  private ticketInTurn(state: SubjectState, request: WaitingRequest): QuotaTicket | undefined {
    const { priority, sequence } = request;
    const isFirst = [...state.waiting].every(
      (other) => other.priority > priority || (other.priority === priority && other.sequence >= sequence),
    );
    if (!isFirst) return undefined;
    const taken = state.allowance.take(request.units);
    return taken === undefined ? undefined : this.ticket(state, request.units, taken.earliestExpiresAt);
  }

  /** Returns a ticket of the units collected for a request; undefined if some are missing. */
  private ticketFor(state: SubjectState, { collected, units }: WaitingRequest): QuotaTicket | undefined {
    if (collected.missing() > 0) return undefined;
    const expiresAt = Math.min(...collected.drain().map((part) => part.expiresAt));
    return this.ticket(state, units, expiresAt);
  }

  private ticket(state: SubjectState, units: number, expiresAt: number): QuotaTicket {
    const { clock } = this.options;
    state.used += units;
    let isOpen = true;
    return {
      isValid: () => clock.elapsed() < expiresAt,
      refund: () => {
        if (!isOpen) return;
        isOpen = false;
        state.used -= units;
        state.allowance.add(units, expiresAt);
      },
    };
  }

  private refusable({ priority, units, usefulUntil }: WaitingRequest): {
    priority: number;
    units: number;
    usefulWaitMs: number;
  } {
    return { priority, units, usefulWaitMs: Math.max(0, usefulUntil - this.options.clock.monotonic()) };
  }

  private count(state: SubjectState, { priority, units }: WaitingRequest, outcome: QuotaOutcome): void {
    if (outcome.kind === 'granted') this.priorityUsage.recordGranted(state.name, priority, units);
    if (outcome.kind !== 'over_limit') return;
    state.refused += units;
    this.priorityUsage.recordRefused(state.name, priority, units);
  }

  private stateOf(subject: string, limit: UnitLimit): SubjectState {
    const known = this.subjects.get(subject);
    if (known !== undefined) return known;
    const { clock, random } = this.options;
    const created = {
      name: subject,
      allowance: new LocalAllowance(clock),
      rate: new UsageRate(clock),
      refusals: new RefusalMemory(clock, random),
      quotes: new RecentQuotes(clock),
      waiting: new Set<WaitingRequest>(),
      limit,
      lifetimeMs: 0,
      used: 0,
      refused: 0,
    };
    this.subjects.set(subject, created);
    return created;
  }
}

function dueMsOf({ dueMs, retryAfterMs }: GrantAnswer): number {
  return dueMs ?? retryAfterMs;
}

function shortageOf({ limit }: SubjectState, { units }: WaitingRequest, round: Round): QuotaShortage {
  return {
    limitPerSecond: limit.ratePerSecond,
    units,
    unitsLeft: Math.round(round.left),
    allocatorsAnswered: round.answered,
    allocators: round.called,
  };
}
