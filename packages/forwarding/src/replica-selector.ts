/**
 * Chooses the worker for a request for a model among those that hold model and adapter, by the estimated time to
 * the first token. Requests a load if no usable worker holds them.
 */
import {
  hasSlowLoads,
  type BackEnd,
  type BackendDirectory,
  type EngineDefinition,
  type LoadTracker,
  type ModelTarget,
  type PaceView,
  type RunTimes,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import { leastBy, type Clock } from '@woodbarrow/runtime';
import {
  connectionsExhausted,
  refusal,
  runsVersion,
  VERSION_GONE_RETRY_MS,
  type BackendChoice,
  type SendChoice,
} from './backend-choice.js';
import type { BackendHealth } from './backend-health.js';
import type { ConnectionShare } from './connection-share.js';
import type { DispatchQueue } from './dispatch-queue.js';
import { PaceCost } from './pace-cost.js';
import { buildPromptChain, type PromptAffinity, type PromptChain } from './prompt-affinity.js';
import type { ResidencyClient } from './residency-client.js';
import { shortestWaitMs, type SendPermits } from './send-permits.js';
import type { RequestFacts } from './wire-dialect.js';

/** Assumed prefill rate of a worker, in prompt tokens per millisecond. */
export const PREFILL_TOKENS_PER_MS = 40;
/** Delay that a running request adds to another one, in milliseconds. */
const RUNNING_REQUEST_COST_MS = 2;
const OTHER_ZONE_COST_MS = 3;
const AVOIDED_COST_MS = 100_000;
const OUTLIER_COST_MS = 10_000;
/** Cost of a worker whose cache or slots are full, where running requests would be preempted. */
const CACHE_FULL_COST_MS = 2000;
/** Share of the target latency that waiting may take before another replica is requested. */
const REPLICA_REQUEST_WAIT_SHARE = 0.35;
/** Share of a worker's cache or slots in use above which another replica is requested. */
const REPLICA_REQUEST_USAGE_SHARE = 0.8;
/** Share of the prompt's shared tokens that the preferred worker is presumed to have cached. */
const PRESUMED_CACHED_SHARE = 0.6;
const UNAVAILABLE_RETRY_MS = 250;

/** A request for a model. */
export interface ReplicaRequest {
  readonly service: ServiceDefinition;
  readonly engine: EngineDefinition;
  readonly target: ModelTarget;
  readonly facts: RequestFacts;
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Monotonic time by which it must be sent to meet the target latency. */
  readonly targetBy: number;
  /** Monotonic time by which it must be sent at all. */
  readonly startBy: number;
  /** Continues a stream whose answer has begun. */
  readonly isResumption: boolean;
  /** Software version that began the stream and must go on with it; any if undefined. */
  readonly softwareVersion?: string;
  readonly excluded: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** Worker selection for services with models. */
export class ReplicaSelector {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly loads: LoadTracker,
    private readonly affinity: PromptAffinity,
    private readonly residency: ResidencyClient,
    private readonly connections: ConnectionShare,
    private readonly permits: SendPermits,
    /** Queue for requests whose holders are full; undefined where they are sent to full workers. */
    private readonly dispatch: DispatchQueue | undefined,
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly paces: PaceView,
    private readonly runTimes: RunTimes,
  ) {}

  /** Resolves once a worker holds the target, or when none will in time. */
  async select(request: ReplicaRequest, health: BackendHealth): Promise<BackendChoice> {
    const chain = buildPromptChain(request.target, request.facts.promptParts);
    if (request.signal.aborted) return refusal('client_gone', 0);
    if (!this.isVersionLeft(request)) return refusal('software_version_gone', VERSION_GONE_RETRY_MS);
    const { dispatch } = this;
    const placed =
      dispatch !== undefined && hasSlowLoads(request.engine)
        ? await this.awaitRoom(dispatch, request, chain, health)
        : undefined;
    if (placed !== undefined) return placed;
    const best = this.cheapest(this.usable(request, request.target), request, chain, health);
    if (best !== undefined && !health.isAvoided(best.id))
      return this.sendChoice(best, request, chain, 'resident');
    const withinMs = request.startBy - this.clock.monotonic();
    if (withinMs <= 0) {
      return best === undefined
        ? refusal('model_too_late', UNAVAILABLE_RETRY_MS)
        : this.sendChoice(best, request, chain, 'last_resort');
    }
    const without = this.unusableIds(request, health);
    if (!this.canBeLoaded(request, without)) return this.chooseWithoutLoad(request, chain, best);
    const outcome = await this.residency.request(
      {
        service: request.service.name,
        target: request.target,
        priority: request.priority,
        targetMs: Math.max(0, request.targetBy - this.clock.monotonic()),
        withinMs,
        without,
      },
      request.signal,
    );
    if (request.signal.aborted) return refusal('client_gone', 0);
    const loaded = outcome.held ? this.directory.get(outcome.backEndId) : undefined;
    if (loaded !== undefined && this.canSendTo(loaded, request)) {
      return this.sendChoice(loaded, request, chain, 'loaded');
    }
    if (best !== undefined) return this.sendChoice(best, request, chain, 'last_resort');
    const unconnected = this.unconnectedHolders(request);
    if (unconnected.length > 0) return connectionsExhausted(unconnected, UNAVAILABLE_RETRY_MS);
    if (!outcome.held) return this.refuse(request, outcome.retryAfterMs);
    return refusal('all_excluded', UNAVAILABLE_RETRY_MS);
  }

  /** Waits for room on a holder of the target; undefined when no holder can be used. */
  private async awaitRoom(
    dispatch: DispatchQueue,
    request: ReplicaRequest,
    chain: PromptChain,
    health: BackendHealth,
  ): Promise<BackendChoice | undefined> {
    const holders = (): BackEnd[] =>
      this.usable(request, request.target).filter(({ id }) => !health.isAvoided(id));
    if (holders().length === 0) return undefined;
    const { facts, service, target, engine, priority, targetBy, startBy, isResumption, signal } = request;
    const outcome = await dispatch.wait({
      id: facts.id,
      service: service.name,
      target,
      engine,
      tokens: facts.promptTokens + facts.outputTokens,
      priority,
      targetBy,
      startBy,
      isResumption,
      signal,
      holders,
      cheapest: (candidates) => this.cheapest(candidates, request, chain, health),
      onQueued: (backEnd) => {
        this.requestReplicaIfOverloaded(backEnd, request);
      },
    });
    if (outcome.kind === 'no_holder') return undefined;
    if (outcome.kind === 'full') return refusal('workers_full', outcome.retryAfterMs);
    if (outcome.kind === 'aborted') return refusal('client_gone', 0);
    const { backEnd, place, queuedMs } = outcome;
    if (signal.aborted) {
      place.release('unused');
      return refusal('client_gone', 0);
    }
    const reason = outcome.isLastResort ? 'last_resort' : 'resident';
    return { ...this.sendChoice(backEnd, request, chain, reason), place, queuedMs };
  }

  /** Refuses when the target will not be loaded in time; its current holders may accept requests again sooner. */
  private refuse(request: ReplicaRequest, unavailableMs: number): BackendChoice {
    const holders = this.directory.holdersOf(request.service.name, request.target);
    const notAcceptingMs = shortestWaitMs(this.permits, holders);
    if (notAcceptingMs === undefined) return refusal('model_unavailable', unavailableMs);
    return refusal('not_accepting', Math.min(notAcceptingMs, unavailableMs));
  }

  /** Holders of the target that this daemon only lacks a connection to. */
  private unconnectedHolders(request: ReplicaRequest): BackEnd[] {
    const hasConnection = this.connections.limiterFor(request.service);
    return this.directory
      .holdersOf(request.service.name, request.target)
      .filter((backEnd) => isCandidate(backEnd, request))
      .filter(({ id }) => !hasConnection(id) && this.permits.waitMs(id) === 0);
  }

  /** Whether a worker that has not declined or failed this request runs the version that it needs, if any. */
  private isVersionLeft(request: ReplicaRequest): boolean {
    if (request.softwareVersion === undefined) return true;
    return this.directory
      .ofService(request.service.name)
      .some((backEnd) => !backEnd.draining && isCandidate(backEnd, request));
  }

  /** Whether a worker remains that could load the target for a stream that needs a software version. */
  private canBeLoaded({ service, softwareVersion }: ReplicaRequest, without: readonly string[]): boolean {
    if (softwareVersion === undefined) return true;
    const unusable = new Set(without);
    return this.directory.ofService(service.name).some(({ id, draining }) => !draining && !unusable.has(id));
  }

  /** @param best Worker that is used only if there is no other. */
  private chooseWithoutLoad(
    request: ReplicaRequest,
    chain: PromptChain,
    best: BackEnd | undefined,
  ): BackendChoice {
    if (best !== undefined) return this.sendChoice(best, request, chain, 'last_resort');
    const unconnected = this.unconnectedHolders(request);
    return unconnected.length > 0
      ? connectionsExhausted(unconnected, UNAVAILABLE_RETRY_MS)
      : refusal('software_version_gone', VERSION_GONE_RETRY_MS);
  }

  /** Ids of workers that declined or failed this request, run another version, are in backoff, or accept no requests now. */
  private unusableIds(request: ReplicaRequest, health: BackendHealth): string[] {
    const avoided = this.directory
      .ofService(request.service.name)
      .filter(
        (backEnd) =>
          health.isAvoided(backEnd.id) ||
          this.permits.waitMs(backEnd.id) > 0 ||
          !runsVersion(backEnd, request.softwareVersion),
      )
      .map((backEnd) => backEnd.id);
    return [...new Set([...request.excluded, ...avoided])].sort();
  }

  private sendChoice(
    backEnd: BackEnd,
    request: ReplicaRequest,
    chain: PromptChain,
    reason: string,
  ): SendChoice {
    this.affinity.record(backEnd.id, chain);
    if (reason === 'resident') this.requestReplicaIfOverloaded(backEnd, request);
    return { kind: 'send', backEnd, reason };
  }

  private canSendTo(backEnd: BackEnd, request: ReplicaRequest): boolean {
    if (backEnd.draining || !isCandidate(backEnd, request)) return false;
    return this.connections.allows(request.service, backEnd.id);
  }

  private usable(request: ReplicaRequest, target: ModelTarget): BackEnd[] {
    const hasConnection = this.connections.limiterFor(request.service);
    return this.directory
      .holdersOf(request.service.name, target)
      .filter((backEnd) => isCandidate(backEnd, request))
      .filter(({ id }) => hasConnection(id) && this.permits.waitMs(id) === 0);
  }

  private cheapest(
    holders: readonly BackEnd[],
    request: ReplicaRequest,
    chain: PromptChain,
    health: BackendHealth,
  ): BackEnd | undefined {
    const ids = holders.map((holder) => holder.id);
    const preferred = this.affinity.preferredWorker(holders, chain)?.id;
    const pace = new PaceCost(request.facts, ids, this.paces, this.runTimes);
    return leastBy(holders, (holder) => {
      const penaltyMs = this.penaltyOf(holder, request, health, ids);
      const cost = this.costOf(holder, request, chain, health, pace, holder.id === preferred);
      return cost + pace.penaltyMs(penaltyMs);
    });
  }

  private costOf(
    backEnd: BackEnd,
    request: ReplicaRequest,
    chain: PromptChain,
    health: BackendHealth,
    pace: PaceCost,
    isPreferred: boolean,
  ): number {
    const load = this.loads.loadOf(backEnd.id);
    const { facts } = request;
    const shared = chain.tokens[chain.tokens.length - 2] ?? 0;
    const presumedTokens = isPreferred ? shared * PRESUMED_CACHED_SHARE : 0;
    const cachedTokens = Math.min(
      facts.promptTokens,
      Math.max(this.affinity.cachedTokens(backEnd.id, chain), presumedTokens),
    );
    const uncachedTokens = load.unreadTokens + facts.promptTokens - cachedTokens;
    const firstTokenMs =
      (uncachedTokens / PREFILL_TOKENS_PER_MS + load.requests * RUNNING_REQUEST_COST_MS) *
      health.slowness(backEnd.id) *
      pace.paceOf(backEnd.id);
    const zoneCostMs = backEnd.zone === this.zone ? 0 : OTHER_ZONE_COST_MS;
    return firstTokenMs + pace.addedMs(backEnd.id) + zoneCostMs;
  }

  /** Cost of a worker that is used only if there is no other; 0 for all others. */
  private penaltyOf(
    backEnd: BackEnd,
    { facts, engine }: ReplicaRequest,
    health: BackendHealth,
    ids: readonly string[],
  ): number {
    const load = this.loads.loadOf(backEnd.id);
    const reservedTokens = load.heldTokens + facts.promptTokens + facts.outputTokens;
    const isFull = reservedTokens > engine.cacheTokens || load.requests >= engine.slots;
    let penaltyMs = isFull ? CACHE_FULL_COST_MS : 0;
    if (health.isAvoided(backEnd.id)) penaltyMs += AVOIDED_COST_MS;
    if (health.isOutlier(backEnd.id, ids)) penaltyMs += OUTLIER_COST_MS;
    return penaltyMs;
  }

  private requestReplicaIfOverloaded(backEnd: BackEnd, request: ReplicaRequest): void {
    const load = this.loads.loadOf(backEnd.id);
    const waiting = hasSlowLoads(request.engine)
      ? this.loads.waitingFor(request.target.model, request.priority)
      : 0;
    const waitMs = load.unreadTokens / PREFILL_TOKENS_PER_MS;
    const isFull =
      load.heldTokens > request.engine.cacheTokens * REPLICA_REQUEST_USAGE_SHARE ||
      load.requests + waiting > request.engine.slots * REPLICA_REQUEST_USAGE_SHARE;
    if (isFull || waitMs > request.targetLatencyMs * REPLICA_REQUEST_WAIT_SHARE) {
      this.residency.requestReplica(request.service.name, request.target.model, request.priority);
    }
  }
}

/** Whether a worker has not declined or failed the request and runs the software version that it needs, if any. */
function isCandidate(backEnd: BackEnd, { excluded, softwareVersion }: ReplicaRequest): boolean {
  return !excluded.has(backEnd.id) && runsVersion(backEnd, softwareVersion);
}
