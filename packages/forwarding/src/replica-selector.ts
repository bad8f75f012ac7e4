/**
 * Chooses the worker that runs a request for a model: one that holds the model and adapter, by the time until
 * the first token, from work under way, prompt parts kept, and health. Asks for the model when nobody holds it.
 */
import {
  type BackEnd,
  type BackendDirectory,
  type EngineDefinition,
  type LoadBook,
  type ModelTarget,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import { leastBy, type Clock } from '@woodbarrow/runtime';
import { refusal, type BackendChoice } from './backend-choice.js';
import type { BackendHealth } from './backend-health.js';
import type { ConnectionShare } from './connection-share.js';
import { chainOf, type PromptAffinity, type PromptChain } from './prompt-affinity.js';
import type { ResidencyClient } from './residency-port.js';
import { shortestWaitMs, type SendPermits } from './send-permits.js';
import type { RequestFacts } from './wire-dialect.js';

/** Prompt tokens that a worker is assumed to read in a millisecond until measured. */
export const ASSUMED_TOKENS_PER_MS = 40;
/** Time that a request under way adds to each token of the others, times their usual tokens, in milliseconds. */
const COST_PER_REQUEST_MS = 2;
const OTHER_ZONE_MS = 3;
const AVOIDED_MS = 100_000;
const OUTLIER_MS = 10_000;
/** Cost of a worker whose prompt cache is full: running requests would be preempted. */
const MEMORY_FULL_MS = 2000;
/** Part of the target latency that waiting may take before another replica is asked for. */
const CROWDED_SHARE = 0.35;
/** Part of a worker's cache or slots in use at which another replica is asked for. */
const NEARLY_FULL = 0.8;
/** Part of the prompt's shared tokens that the preferred worker is presumed to keep. */
const PRESUMED_KEPT_SHARE = 0.6;
const RETRY_AFTER_UNAVAILABLE_MS = 250;

/** A request for a model. */
export interface ReplicaRequest {
  readonly service: ServiceDefinition;
  readonly engine: EngineDefinition;
  readonly target: ModelTarget;
  readonly facts: RequestFacts;
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Monotonic time by which it must have begun for an answer in time. */
  readonly targetBy: number;
  /** Monotonic time by which it must have begun. */
  readonly startBy: number;
  readonly excluded: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** Chooser of one daemon for services with models. */
export class ReplicaSelector {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly loads: LoadBook,
    private readonly affinity: PromptAffinity,
    private readonly residency: ResidencyClient,
    private readonly connections: ConnectionShare,
    private readonly permits: SendPermits,
    private readonly zone: string,
    private readonly clock: Clock,
  ) {}

  /** Resolves once a worker holds what the request needs, or when none will in time. */
  async select(request: ReplicaRequest, health: BackendHealth): Promise<BackendChoice> {
    const chain = chainOf(request.target, request.facts.promptParts);
    if (request.signal.aborted) return refusal('client_gone', 0);
    const best = this.cheapest(this.usable(request, request.target), request, chain, health);
    if (best !== undefined && !health.isAvoided(best.id)) return this.send(best, request, chain, 'resident');
    const withinMs = request.startBy - this.clock.monotonic();
    if (withinMs <= 0) {
      return best === undefined
        ? refusal('model_too_late', RETRY_AFTER_UNAVAILABLE_MS)
        : this.send(best, request, chain, 'last_resort');
    }
    const outcome = await this.residency.request(
      {
        service: request.service.name,
        target: request.target,
        priority: request.priority,
        targetMs: Math.max(0, request.targetBy - this.clock.monotonic()),
        withinMs,
        without: this.unusable(request, health),
      },
      request.signal,
    );
    if (request.signal.aborted) return refusal('client_gone', 0);
    const loaded = outcome.held ? this.directory.get(outcome.backEndId) : undefined;
    if (loaded !== undefined && this.mayTake(loaded, request)) {
      return this.send(loaded, request, chain, 'loaded');
    }
    if (best !== undefined) return this.send(best, request, chain, 'last_resort');
    if (!outcome.held) return this.refuse(request, outcome.retryAfterMs);
    return refusal(this.whyNotUsable(outcome.backEndId, request), RETRY_AFTER_UNAVAILABLE_MS);
  }

  /** Nobody will hold the target in time. Those that hold it now may accept requests again sooner. */
  private refuse(request: ReplicaRequest, unavailableMs: number): BackendChoice {
    const holders = this.directory.holdersOf(request.service.name, request.target);
    const notAcceptingMs = shortestWaitMs(this.permits, holders);
    if (notAcceptingMs === undefined) return refusal('model_unavailable', unavailableMs);
    return refusal('not_accepting', Math.min(notAcceptingMs, unavailableMs));
  }

  /** Why a worker that holds the target cannot be sent to: it declined or is leaving, or this daemon's connections to it are used up. */
  private whyNotUsable(backEndId: string, request: ReplicaRequest): 'all_excluded' | 'connections_exhausted' {
    const backEnd = this.directory.get(backEndId);
    const isOpen = backEnd !== undefined && !backEnd.draining && !request.excluded.has(backEndId);
    return isOpen ? 'connections_exhausted' : 'all_excluded';
  }

  /** Workers that declined or failed this request, those that cannot be reached now, and those that accept nothing now. */
  private unusable(request: ReplicaRequest, health: BackendHealth): string[] {
    const avoided = this.directory
      .ofService(request.service.name)
      .map((backEnd) => backEnd.id)
      .filter((id) => health.isAvoided(id) || this.permits.waitMs(id) > 0);
    return [...new Set([...request.excluded, ...avoided])].sort();
  }

  private send(backEnd: BackEnd, request: ReplicaRequest, chain: PromptChain, reason: string): BackendChoice {
    this.affinity.record(backEnd.id, chain);
    if (reason === 'resident') this.askForReplicaIfCrowded(backEnd, request);
    return { kind: 'send', backEnd, reason };
  }

  private mayTake(backEnd: BackEnd, request: ReplicaRequest): boolean {
    if (backEnd.draining || request.excluded.has(backEnd.id)) return false;
    return this.connections.allows(request.service, backEnd.id);
  }

  private usable(request: ReplicaRequest, target: ModelTarget): BackEnd[] {
    const mayTake = this.connections.checkOf(request.service);
    return this.directory
      .holdersOf(request.service.name, target)
      .filter(({ id }) => !request.excluded.has(id) && mayTake(id) && this.permits.waitMs(id) === 0);
  }

  private cheapest(
    holders: readonly BackEnd[],
    request: ReplicaRequest,
    chain: PromptChain,
    health: BackendHealth,
  ): BackEnd | undefined {
    const ids = holders.map((holder) => holder.id);
    const preferred = this.affinity.preferred(holders, chain)?.id;
    return leastBy(holders, (holder) =>
      this.costOf(holder, request, chain, health, ids, holder.id === preferred),
    );
  }

  private costOf(
    backEnd: BackEnd,
    request: ReplicaRequest,
    chain: PromptChain,
    health: BackendHealth,
    ids: readonly string[],
    isPreferred: boolean,
  ): number {
    const load = this.loads.of(backEnd.id);
    const { facts, engine } = request;
    const shared = chain.tokens[chain.tokens.length - 2] ?? 0;
    const presumed = isPreferred ? shared * PRESUMED_KEPT_SHARE : 0;
    const kept = Math.min(
      facts.promptTokens,
      Math.max(this.affinity.keptTokens(backEnd.id, chain), presumed),
    );
    const unread = load.unreadTokens + facts.promptTokens - kept;
    let cost =
      (unread / ASSUMED_TOKENS_PER_MS + load.requests * COST_PER_REQUEST_MS) * health.slowness(backEnd.id);
    const held = load.heldTokens + facts.promptTokens + facts.outputTokens;
    if (held > engine.cacheTokens || load.requests >= engine.slots) cost += MEMORY_FULL_MS;
    if (backEnd.zone !== this.zone) cost += OTHER_ZONE_MS;
    if (health.isAvoided(backEnd.id)) cost += AVOIDED_MS;
    if (health.isOutlier(backEnd.id, ids)) cost += OUTLIER_MS;
    return cost;
  }

  private askForReplicaIfCrowded(backEnd: BackEnd, request: ReplicaRequest): void {
    const load = this.loads.of(backEnd.id);
    const waitMs = load.unreadTokens / ASSUMED_TOKENS_PER_MS;
    const isFull =
      load.heldTokens > request.engine.cacheTokens * NEARLY_FULL ||
      load.requests > request.engine.slots * NEARLY_FULL;
    if (isFull || waitMs > request.targetLatencyMs * CROWDED_SHARE) {
      this.residency.requestReplica(request.service.name, request.target.model, request.priority);
    }
  }
}
