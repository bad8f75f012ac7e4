/** Routes demands for models to the coordinators of the zones, cheapest quote first. */
import {
  hasAdapter,
  hasSlowLoads,
  targetKey,
  type BackendDirectory,
  type ModelTarget,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import type { ResidencyClient, ResidencyDemand, ResidencyOutcome } from '@woodbarrow/forwarding';
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import { MAX_ADAPTIVE_TIMEOUT_MS, OpenCalls, type PeerNetwork } from '@woodbarrow/peering';
import type { LoadQuarantine, Verdict } from '@woodbarrow/quarantine';
import {
  residencyDemandMethod,
  type ResidencyDemandAnswer,
  type ResidencyDemandMessage,
} from '@woodbarrow/protocol';
import { leastBy, settleWithin, sleep, type Clock } from '@woodbarrow/runtime';
import { hasLocalCopy } from './local-copies.js';
import { OCCUPANCY_WEIGHT } from './placement-choice.js';
import type { RefusedDemandReason } from './pending-demand.js';
import { ZoneReachability } from './zone-reachability.js';
import { QUOTE_REASON } from './zone-residency.js';

/** Options of {@link DemandRouter}. */
export interface DemandRouterOptions {
  readonly directory: BackendDirectory;
  readonly coordinators: CoordinatorDirectory;
  readonly peers: PeerNetwork;
  readonly quarantine: LoadQuarantine;
  /** Returns a service; requests ask for no replicas of those with slow loads, whose coordinators decide alone. */
  readonly serviceOf?: (name: string) => ServiceDefinition | undefined;
  readonly clock: Clock;
  readonly failures: CallFailures;
  readonly log: EventLog;
}

const HELD_ELSEWHERE: RefusedDemandReason = 'held_elsewhere';
const LOAD_QUARANTINED: RefusedDemandReason = 'load_quarantined';
const ATTEMPT_PAUSE_MS = 100;
const RETRY_AFTER_MS = 300;
/** Interval between checks that the coordinator asked still coordinates its zone, in milliseconds. */
const COORDINATOR_CHECK_MS = 300;
/** Minimum time between two requests for another replica of a model, in milliseconds. */
const REPLICA_REQUEST_INTERVAL_MS = 1200;
/** Time within which another replica must be loaded, in milliseconds. */
const REPLICA_DEADLINE_MS = 6000;
/** A demand in progress is shared only if at least this many milliseconds remain until it expires. */
const MIN_SHARED_REMAINING_MS = 50;

/**
 * Time reserved for a coordinator's refusal to arrive before the caller gives up, in milliseconds. With equal
 * limits on both sides, refusals arrived up to 6 ms late; a slow machine adds some tens of milliseconds.
 */
const ANSWER_MARGIN_MS = 80;
/** Maximum share of a demand's time that is reserved for the refusal. */
const MAX_ANSWER_MARGIN_SHARE = 0.2;
/** Maximum wait for a quote, in milliseconds; one that arrives later serves the next attempt. */
const QUOTE_WAIT_MS = 300;
/** Time for which a quote that arrived late is used, in milliseconds. */
const LATE_QUOTE_LIFETIME_MS = 1000;
/**
 * Maximum wait for further quotes after the first usable one, in milliseconds: an unresponsive coordinator
 * must not delay demands that another zone can serve. Allows several round trips between zones and the
 * scheduling delay of a slow machine.
 */
const FURTHER_QUOTES_TIMEOUT_MS = 60;

/** A zone's estimate of what a load would cost. */
interface Quote {
  /** The message that was answered by this quote. */
  readonly message: ResidencyDemandMessage;
  /**
   * Time until the target is resident plus the weighted time for which a worker is occupied, in milliseconds.
   */
  readonly costMs: number;
}

/** Quotes collected from the coordinators of all zones. */
interface CollectedQuotes {
  /** Quotes of zones that can load the model, cheapest first. */
  readonly usable: readonly Quote[];
  /** Whether any coordinator answered, even if it has no place. */
  readonly hasAnswer: boolean;
}

/** A quote that arrived after the attempt that asked for it. */
interface LateQuote {
  readonly answer: ResidencyDemandAnswer;
  /** Monotonic time. */
  readonly arrivedAt: number;
}

interface SharedDemand {
  readonly outcome: Promise<ResidencyOutcome>;
  readonly expiresAt: number;
}

/** Routes the demands of one daemon. Requests for the same target share one demand. */
export class DemandRouter implements ResidencyClient {
  private readonly shared = new Map<string, SharedDemand>();
  private readonly replicaRequestedAt = new Map<string, number>();
  private readonly reachability: ZoneReachability;
  private readonly openQuotes: OpenCalls<ResidencyDemandAnswer>;
  private readonly lateQuotes = new Map<string, LateQuote>();

  constructor(private readonly options: DemandRouterOptions) {
    this.reachability = new ZoneReachability(options.clock);
    this.openQuotes = new OpenCalls(options.clock);
  }

  async request(demand: ResidencyDemand, signal: AbortSignal): Promise<ResidencyOutcome> {
    const shared = this.joinOrStart(demand);
    return Promise.race([shared, whenAborted(signal)]);
  }

  requestReplica(service: string, model: string, priority: number): void {
    const { clock, directory, serviceOf } = this.options;
    const engine = serviceOf?.(service)?.engine;
    if (engine !== undefined && hasSlowLoads(engine)) return;
    const now = clock.monotonic();
    const key = `${service} ${model}`;
    if (now - (this.replicaRequestedAt.get(key) ?? -Infinity) < REPLICA_REQUEST_INTERVAL_MS) return;
    this.replicaRequestedAt.set(key, now);
    const holders = new Set(directory.holdersOf(service, { model }).map((holder) => holder.id));
    const copyZones = directory
      .ofService(service)
      .filter((backEnd) => !backEnd.draining && !holders.has(backEnd.id) && hasLocalCopy(backEnd, model))
      .map((backEnd) => backEnd.zone);
    const zones = this.zonesFor(service, { model });
    const zonesWithCopy = zones.filter((candidate) => copyZones.includes(candidate));
    const replicasIn = (zone: string): number =>
      [...holders].filter((id) => directory.get(id)?.zone === zone).length;
    const zone = leastBy(zonesWithCopy.length > 0 ? zonesWithCopy : zones, replicasIn);
    if (zone === undefined) return;
    const message = {
      zone,
      service,
      model,
      priority,
      without: [],
      withinMs: REPLICA_DEADLINE_MS,
      mayUseStore: zonesWithCopy.length === 0,
      another: true,
    };
    void this.sendDemand(message, REPLICA_DEADLINE_MS);
  }

  private joinOrStart(demand: ResidencyDemand): Promise<ResidencyOutcome> {
    const key = [demand.service, targetKey(demand.target), ...demand.without].join(' ');
    const now = this.options.clock.monotonic();
    const existing = this.shared.get(key);
    if (
      existing !== undefined &&
      existing.expiresAt >= now + Math.min(demand.withinMs, MIN_SHARED_REMAINING_MS)
    )
      return existing.outcome;
    const outcome = this.placeDemand(demand).finally(() => {
      if (this.shared.get(key)?.outcome === outcome) this.shared.delete(key);
    });
    this.shared.set(key, { outcome, expiresAt: now + demand.withinMs });
    return outcome;
  }

  /**
   * Requests quotes from all zones and sends the demand to the cheapest; falls back to the next when one does
   * not answer.
   */
  private async placeDemand(demand: ResidencyDemand): Promise<ResidencyOutcome> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + demand.withinMs;
    const targetAt = clock.monotonic() + demand.targetMs;
    let refusal: ResidencyOutcome = { held: false, retryAfterMs: RETRY_AFTER_MS, reason: 'no_coordinator' };
    while (clock.monotonic() < deadline) {
      let isHeldElsewhere = false;
      const verdict = this.quarantineVerdict(demand);
      if (verdict !== undefined) return this.refuseQuarantined(demand, verdict);
      const quotes = await this.bestQuotes(demand, deadline, targetAt);
      if (quotes.hasAnswer) refusal = { ...refusal, reason: 'no_place' };
      for (const { message } of quotes.usable) {
        const leftMs = deadline - clock.monotonic();
        const final = {
          ...message,
          quote: false,
          withinMs: Math.floor(leftMs - Math.min(ANSWER_MARGIN_MS, leftMs * MAX_ANSWER_MARGIN_SHARE)),
        };
        const answer = await this.sendDemand(final, leftMs);
        if (answer === undefined) continue;
        if (answer.held) return { held: true, backEndId: answer.backEndId };
        refusal = { held: false, retryAfterMs: answer.retryAfterMs, reason: answer.reason };
        isHeldElsewhere = answer.reason === HELD_ELSEWHERE;
        if (isHeldElsewhere) break;
        if (answer.reason !== 'not_acting') return refusal;
      }
      if (!isHeldElsewhere) await sleep(clock, ATTEMPT_PAUSE_MS);
    }
    return refusal;
  }

  /**
   * Returns the quarantine verdict that forbids loading what a demand needs; undefined when it may be loaded.
   */
  private quarantineVerdict({ service, target, without }: ResidencyDemand): Verdict | undefined {
    const { directory, quarantine } = this.options;
    const { model } = target;
    const isHeld = directory.holdersOf(service, { model }).some(({ id }) => !without.includes(id));
    const ofModel = isHeld ? undefined : quarantine.verdictOf(service, { model });
    return ofModel ?? (hasAdapter(target) ? quarantine.verdictOf(service, target) : undefined);
  }

  private refuseQuarantined({ service, target }: ResidencyDemand, verdict: Verdict): ResidencyOutcome {
    this.options.quarantine.noteRefused(service, target, verdict);
    return { held: false, retryAfterMs: verdict.retryAfterMs, reason: LOAD_QUARANTINED };
  }

  /** Requests quotes from all zones and sorts the usable ones by cost. */
  private async bestQuotes(
    demand: ResidencyDemand,
    deadline: number,
    targetAt: number,
  ): Promise<CollectedQuotes> {
    const now = this.options.clock.monotonic();
    this.recordZonesWithoutCoordinator(demand.service);
    const mayUseStore = !this.hasUsableCopy(demand);
    const asked = this.zonesFor(demand.service, demand.target).map((zone) =>
      this.requestQuote({
        ...messageOf(zone, demand, deadline - now, targetAt - now),
        mayUseStore,
        quote: true,
      }),
    );
    const { usable, hasAnswer } = await this.collectQuotes(asked);
    return { usable: [...usable].sort((left, right) => left.costMs - right.costMs), hasAnswer };
  }

  /** Collects the usable quotes: all of them, or those that arrive shortly after the first. */
  private async collectQuotes(asked: readonly Promise<Quote | undefined>[]): Promise<CollectedQuotes> {
    const usable: Quote[] = [];
    let hasAnswer = false;
    let resolveFirst: () => void = () => undefined;
    const first = new Promise<void>((resolve) => {
      resolveFirst = resolve;
    });
    const all = Promise.all(
      asked.map(async (pending) => {
        const quote = await pending;
        if (quote === undefined) return;
        hasAnswer = true;
        if (!Number.isFinite(quote.costMs)) return;
        usable.push(quote);
        resolveFirst();
      }),
    );
    await Promise.race([first, all]);
    if (usable.length > 0) await settleWithin(this.options.clock, FURTHER_QUOTES_TIMEOUT_MS, all);
    return { usable: [...usable], hasAnswer };
  }

  private recordZonesWithoutCoordinator(service: string): void {
    const { directory, coordinators } = this.options;
    for (const zone of new Set(directory.ofService(service).map((backEnd) => backEnd.zone))) {
      if (coordinators.of(zone) === undefined) this.reachability.recordFailure(zone);
    }
  }

  /**
   * Whether a worker in a reachable zone has a local copy. The weight store is then not used, as such a load
   * occupies a worker for seconds.
   */
  private hasUsableCopy({ service, target, without }: ResidencyDemand): boolean {
    return this.options.directory
      .ofService(service)
      .some(
        (backEnd) =>
          !backEnd.draining &&
          !without.includes(backEnd.id) &&
          !this.reachability.isUnreachable(backEnd.zone) &&
          hasLocalCopy(backEnd, target.model),
      );
  }

  private async requestQuote(message: ResidencyDemandMessage): Promise<Quote | undefined> {
    const subject = [message.zone, message.service, targetKey(message), ...message.without].join(' ');
    const answer =
      this.takeLateQuote(subject) ??
      (await this.openQuotes.ask(
        subject,
        QUOTE_WAIT_MS,
        () => this.sendDemand(message, MAX_ADAPTIVE_TIMEOUT_MS),
        (late) => {
          this.reachability.recordAnswer(message.zone);
          this.lateQuotes.set(subject, { answer: late, arrivedAt: this.options.clock.monotonic() });
        },
      ));
    if (answer === undefined) this.reachability.recordFailure(message.zone);
    else this.reachability.recordAnswer(message.zone);
    if (answer?.reason !== QUOTE_REASON) return undefined;
    const costMs = answer.retryAfterMs + (answer.occupiesMs ?? 0) * OCCUPANCY_WEIGHT;
    return { message, costMs };
  }

  private takeLateQuote(subject: string): ResidencyDemandAnswer | undefined {
    const oldest = this.options.clock.monotonic() - LATE_QUOTE_LIFETIME_MS;
    for (const [key, { arrivedAt }] of this.lateQuotes) if (arrivedAt < oldest) this.lateQuotes.delete(key);
    const late = this.lateQuotes.get(subject);
    this.lateQuotes.delete(subject);
    return late?.answer;
  }

  /**
   * Returns zones with a coordinator in a stable order; zones with a local copy of the weights come first.
   */
  private zonesFor(service: string, target: ModelTarget): string[] {
    const { model } = target;
    const { directory, coordinators } = this.options;
    const nearby = new Map<string, number>();
    for (const backEnd of directory.ofService(service)) {
      if (backEnd.draining) continue;
      nearby.set(backEnd.zone, (nearby.get(backEnd.zone) ?? 0) + (hasLocalCopy(backEnd, model) ? 1 : 0));
    }
    const zones = [...nearby.keys()]
      .filter((zone) => coordinators.of(zone) !== undefined)
      .map((id) => ({ id }));
    const ranked = rankByRendezvous(targetKey(target), zones).map(({ id }) => id);
    const hasCopies = (zone: string): number => Math.sign(nearby.get(zone) ?? 0);
    return ranked.sort((left, right) => hasCopies(right) - hasCopies(left));
  }

  /** Sends a demand to a zone's coordinator. Resolves with undefined when it does not answer. */
  private async sendDemand(
    message: ResidencyDemandMessage,
    timeoutMs: number,
  ): Promise<ResidencyDemandAnswer | undefined> {
    const { coordinators, peers, clock } = this.options;
    const { zone } = message;
    const coordinator = coordinators.of(zone);
    if (coordinator === undefined || timeoutMs <= 0) return undefined;
    const askedAt = clock.monotonic();
    const answered = peers
      .call(coordinator.address, residencyDemandMethod, message, { timeoutMs })
      .catch((error: unknown) => {
        // No answer: the caller tries another zone, or the same one again.
        this.options.failures.record(
          message.quote === true ? 'quote' : 'demand',
          coordinator.memberId,
          error,
        );
        return undefined;
      });
    for (;;) {
      const settled = await settleWithin(clock, COORDINATOR_CHECK_MS, answered);
      const isStillCoordinator = coordinators.of(zone)?.memberId === coordinator.memberId;
      if (!settled.timedOut || !isStillCoordinator) {
        const answer = settled.timedOut ? undefined : settled.value;
        this.logAnswer(coordinator.memberId, message, clock.monotonic() - askedAt, answer);
        return answer;
      }
    }
  }

  private logAnswer(
    coordinator: string,
    { zone, model, adapter, adapterVersion, withinMs }: ResidencyDemandMessage,
    tookMs: number,
    answer: ResidencyDemandAnswer | undefined,
  ): void {
    if (answer?.reason === QUOTE_REASON) return;
    this.options.log.changed('demand_answered', {
      zone,
      coordinator,
      model,
      adapter,
      adapterVersion,
      held: answer?.held ?? false,
      reason: answer?.reason ?? 'no answer',
      backEnd: answer?.held === true ? answer.backEndId : undefined,
      tookMs: Math.round(tookMs),
      withinMs,
    });
  }
}

function messageOf(
  zone: string,
  demand: ResidencyDemand,
  withinMs: number,
  targetMs: number,
): ResidencyDemandMessage {
  return {
    zone,
    service: demand.service,
    ...demand.target,
    priority: demand.priority,
    without: demand.without,
    mayUseStore: false,
    targetMs: Math.max(0, Math.floor(targetMs)),
    withinMs: Math.floor(withinMs),
  };
}

function whenAborted(signal: AbortSignal): Promise<ResidencyOutcome> {
  const outcome: ResidencyOutcome = { held: false, retryAfterMs: 0, reason: 'given_up' };
  if (signal.aborted) return Promise.resolve(outcome);
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => {
      resolve(outcome);
    });
  });
}
