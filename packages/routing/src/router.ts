/**
 * The router: sends an admitted request to a replica and returns the response. Each request is either served or
 * rejected within its maximum wait, and a rejection states whether the request may have run.
 */
import type { CatalogModel } from '@woodbarrow/configuration';
import type { EngineClient } from '@woodbarrow/engine';
import { WoodbarrowError, isKind } from '@woodbarrow/errors';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  enqueueMethod,
  grantEndedMethod,
  withdrawMethod,
  type EnqueueResponse,
  type ReplicaInfo,
} from '@woodbarrow/protocol';
import {
  CONNECT_TIMEOUT_MS,
  RetryBudget,
  backoffDelay,
  sleep,
  type Clock,
  type HttpResponse,
  type Random,
} from '@woodbarrow/runtime';
import { CircuitBreakers } from './circuit-breaker.js';
import { queueOwnerOf } from './queue-owner.js';
import { ReplicaDirectory } from './replica-directory.js';
import { forwardStream } from './stream-forwarder.js';

/** Options of {@link Router}. */
export interface RouterOptions {
  readonly zone: string;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly random: Random;
}

/** One request to route. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly model: CatalogModel;
  /** Name of the adapter; empty for the base model. */
  readonly adapter: string;
  readonly path: string;
  readonly body: Uint8Array;
  readonly streaming: boolean;
  readonly priority: number;
  readonly deferrable: boolean;
  /** Monotonic time at which the request was received. */
  readonly receivedAt: number;
  /** Monotonic time by which the response must have begun. */
  readonly deadline: number;
  /** Maximum milliseconds until a replica has returned a whole (not streamed) response. */
  readonly runLimitMs: number;
  /** Whether the request is idempotent, so that it may be retried after an unknown outcome. */
  readonly repeatable: boolean;
  readonly affinity: number;
  readonly queueLimit: number;
  /** Awaited before the request is first sent to an engine. If it rejects, the request is not sent. */
  readonly beforeDispatch?: () => Promise<void>;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Counters of {@link Router}. */
export interface RouterCounters {
  direct: number;
  granted: number;
  retries: number;
  retriesDenied: number;
  refusedByEngine: number;
  unknownOutcomes: number;
  coldWaits: number;
}

const MAX_HOLD_MS = 1000;
const HOLD_RESPONSE_MARGIN_MS = 600;
const BACKOFF = { initialMs: 30, maximumMs: 500 };
/** Time before the deadline at which a response must be sent, so that it arrives before the deadline. */
const RESPONSE_MARGIN_MS = 30;
/** Error kinds of this module that state that the request was not run. */
const NOT_RUN_KINDS = ['wait_expired', 'engine_refused', 'queue_full', 'stopping', 'caller_gone'] as const;
const RETRY_BUDGET = { ratio: 0.2, minimumPerSecond: 5, maximumSaved: 50 };

/** A replica to try. */
interface Dispatch {
  readonly replica: ReplicaInfo;
  /** Address of the queue owner that granted the replica; undefined when the router chose it without a grant. */
  readonly grantedBy: string | undefined;
}

/** State of one request over all its attempts. */
interface RequestState {
  readonly request: RoutedRequest;
  readonly avoidedWorkers: Set<string>;
  attemptCount: number;
  /** Whether `beforeDispatch` of the request has resolved. */
  isAnnounced: boolean;
  /** Set once an attempt had an unknown outcome: no later error may state that the request was not run. */
  mayHaveRun: boolean;
}

/** Routes requests to replicas, with retries. */
export class Router {
  readonly counters: RouterCounters = {
    direct: 0,
    granted: 0,
    retries: 0,
    retriesDenied: 0,
    refusedByEngine: 0,
    unknownOutcomes: 0,
    coldWaits: 0,
  };
  private readonly breakers: CircuitBreakers;
  private readonly directory: ReplicaDirectory;
  private readonly retryBudget: RetryBudget;
  /** Monotonic time; requests with a later deadline no longer wait. Infinity until a planned stop. */
  private latestWaitDeadline = Infinity;

  constructor(private readonly options: RouterOptions) {
    this.breakers = new CircuitBreakers(options.clock);
    this.directory = new ReplicaDirectory(options.clock, options.random, this.breakers);
    this.retryBudget = new RetryBudget(RETRY_BUDGET, options.clock);
  }

  /**
   * Routes a request and resolves with the engine's response once it has begun.
   *
   * @throws WoodbarrowError whose `ran` states whether the request ran.
   */
  async route(request: RoutedRequest): Promise<HttpResponse> {
    this.retryBudget.recordAttempt();
    const state: RequestState = {
      request,
      avoidedWorkers: new Set(),
      attemptCount: 0,
      isAnnounced: false,
      mayHaveRun: false,
    };
    try {
      return await this.routeWithRetries(state);
    } catch (error) {
      if (!state.mayHaveRun || !isKind(error, ...NOT_RUN_KINDS)) throw error;
      throw new WoodbarrowError('outcome_unknown', `an earlier attempt may have run: ${error.message}`);
    }
  }

  private async routeWithRetries(state: RequestState): Promise<HttpResponse> {
    for (;;) {
      const dispatch = await this.findReplica(state);
      await this.announceDispatch(state, dispatch);
      const response = await this.tryReplica(state, dispatch);
      if (response !== undefined) return response;
      state.attemptCount += 1;
      await this.backOffBeforeRetry(state);
    }
  }

  /**
   * Prepares a planned stop: rejects waiting requests with a deadline after the given monotonic time as not run, so
   * that their callers can use another daemon at once.
   */
  refuseWaitingBeyond(latestDeadline: number): void {
    this.latestWaitDeadline = latestDeadline;
  }

  /** Calls `beforeDispatch` before the first attempt; gives the granted replica back if the request must not be sent. */
  private async announceDispatch(state: RequestState, dispatch: Dispatch): Promise<void> {
    const { request } = state;
    if (state.isAnnounced || request.beforeDispatch === undefined) return;
    try {
      await request.beforeDispatch();
      this.assertCanContinue(request);
    } catch (error) {
      this.endGrant(request, dispatch, 'completed');
      throw error;
    }
    state.isAnnounced = true;
  }

  /** Makes one attempt. Returns the response, or undefined when the request may be tried again. */
  private async tryReplica(state: RequestState, dispatch: Dispatch): Promise<HttpResponse | undefined> {
    const { request } = state;
    const { replica } = dispatch;
    const endRequest = this.directory.beginRequest(replica.workerId);
    const finish = (result: 'completed' | 'refused' | 'failed'): void => {
      endRequest();
      this.endGrant(request, dispatch, result);
    };
    const start = await this.options.engines.complete({
      origin: replica.origin,
      path: request.path,
      body: request.body,
      requestId: request.requestId,
      model: request.model.id,
      adapter: request.adapter,
      priority: request.priority,
      signal: request.signal,
      headTimeoutMs: this.responseHeadTimeoutMs(request),
    });
    if (start.outcome === 'started') {
      this.breakers.recordSuccess(replica.workerId);
      return forwardStream(start.response, request.streaming, finish);
    }
    if (start.outcome === 'rejected') {
      finish('completed');
      return start.response;
    }
    this.directory.invalidate(request.model.id);
    state.avoidedWorkers.add(replica.workerId);
    if (start.outcome === 'not_run') {
      this.counters.refusedByEngine += 1;
      finish('refused');
      return undefined;
    }
    finish('failed');
    this.breakers.recordFailure(replica.workerId);
    state.mayHaveRun = true;
    return this.handleUnknownOutcome(request, start.reason);
  }

  /** Timeout of the response head: a stream sends it at the start, a whole response only when it is complete. */
  private responseHeadTimeoutMs(request: RoutedRequest): number {
    return request.streaming ? Math.max(1, this.remainingMs(request)) : request.runLimitMs;
  }

  /** Allows a retry after an unknown outcome only for an idempotent request with time left; throws otherwise. */
  private handleUnknownOutcome(request: RoutedRequest, reason: string): undefined {
    this.counters.unknownOutcomes += 1;
    if (request.signal.aborted) throw new WoodbarrowError('caller_gone', 'the caller closed the connection');
    if (request.repeatable && this.remainingMs(request) > 0) return undefined;
    throw new WoodbarrowError('outcome_unknown', `the engine's response was not received: ${reason}`);
  }

  private async backOffBeforeRetry(state: RequestState): Promise<void> {
    const { request } = state;
    if (!this.retryBudget.tryRetry()) {
      this.counters.retriesDenied += 1;
      throw new WoodbarrowError(
        'engine_refused',
        'no replica accepted the request, and the retry budget is exhausted',
      );
    }
    this.counters.retries += 1;
    const pause = backoffDelay(BACKOFF, state.attemptCount - 1, this.options.random);
    await sleep(this.options.clock, Math.min(pause, Math.max(0, this.remainingMs(request))), request.signal);
  }

  private async findReplica(state: RequestState): Promise<Dispatch> {
    const { request } = state;
    this.assertCanContinue(request);
    const direct = this.directory.chooseDirect(request.model.id, request.adapter);
    if (direct !== undefined && !state.avoidedWorkers.has(direct.workerId)) {
      this.counters.direct += 1;
      return { replica: direct, grantedBy: undefined };
    }
    return this.waitForGrant(state);
  }

  /** Waits for a grant from a queue owner, and moves on to another zone when an owner does not respond. */
  private async waitForGrant(state: RequestState): Promise<Dispatch> {
    const { request } = state;
    let isColdWaitCounted = false;
    /** Index of the model's zone to ask, modulo the number of its zones. */
    let zoneIndex = 0;
    for (;;) {
      this.assertCanContinue(request);
      const owner = this.ownerAddress(request.model, zoneIndex);
      const response = owner === undefined ? undefined : await this.pollOwner(owner, state);
      if (owner === undefined || response === undefined) {
        zoneIndex += 1;
        await this.backOffBeforeNextOwner(request, zoneIndex);
        continue;
      }
      this.directory.update(request.model.id, response.replicas, response.scarce);
      if (response.waitedForLoad && !isColdWaitCounted) {
        isColdWaitCounted = true;
        this.counters.coldWaits += 1;
      }
      if (response.replica !== undefined) {
        // A grant that arrives too late for an attempt is returned.
        if (!this.hasTimeForAttempt(request)) this.withdraw(owner, request);
        this.assertCanContinue(request);
        this.counters.granted += 1;
        return { replica: response.replica, grantedBy: owner };
      }
      if (response.saturated && request.model.allotments.length > 1) {
        this.withdraw(owner, request);
        zoneIndex += 1;
      }
    }
  }

  /** Polls a queue owner once; undefined when it did not respond. Throws `queue_full`. */
  private async pollOwner(owner: string, state: RequestState): Promise<EnqueueResponse | undefined> {
    const { request } = state;
    const remainingMs = Math.max(1, this.remainingMs(request));
    const holdMs = Math.min(MAX_HOLD_MS, remainingMs);
    const withdraw = (): void => {
      this.withdraw(owner, request);
    };
    request.signal.addEventListener('abort', withdraw, { once: true });
    try {
      return await this.options.peers.call(
        owner,
        enqueueMethod,
        {
          requestId: request.requestId,
          routerId: this.options.membership.local.id,
          model: request.model.id,
          adapter: request.adapter,
          priority: request.priority,
          remainingMs,
          deferrable: request.deferrable,
          affinity: request.affinity,
          avoid: [...state.avoidedWorkers],
          holdMs,
          queueLimit: request.queueLimit,
          directArrivals: this.directory.takeDirectArrivals(request.model.id),
        },
        { timeoutMs: Math.min(holdMs + HOLD_RESPONSE_MARGIN_MS, remainingMs + RESPONSE_MARGIN_MS / 2) },
      );
    } catch (error) {
      if (isKind(error, 'queue_full')) throw error;
      this.withdraw(owner, request);
      return undefined;
    } finally {
      request.signal.removeEventListener('abort', withdraw);
    }
  }

  /**
   * Address of the queue owner in one of the model's zones. Routers everywhere start with the model's first zone, so
   * that a cold burst loads one replica rather than one in each zone.
   */
  private ownerAddress(model: CatalogModel, zoneIndex: number): string | undefined {
    const { allotments } = model;
    const zone = allotments[zoneIndex % Math.max(1, allotments.length)]?.zone;
    return zone === undefined ? undefined : queueOwnerOf(this.options.membership, zone, model.id)?.address;
  }

  private async backOffBeforeNextOwner(request: RoutedRequest, failures: number): Promise<void> {
    const pause = backoffDelay(BACKOFF, failures, this.options.random);
    await sleep(this.options.clock, Math.min(pause, Math.max(0, this.remainingMs(request))), request.signal);
  }

  private withdraw(owner: string, request: RoutedRequest): void {
    this.options.peers
      .call(owner, withdrawMethod, { requestId: request.requestId, model: request.model.id })
      .catch(() => undefined);
  }

  private endGrant(
    request: RoutedRequest,
    dispatch: Dispatch,
    result: 'completed' | 'refused' | 'failed',
  ): void {
    if (dispatch.grantedBy === undefined) return;
    this.options.peers
      .call(dispatch.grantedBy, grantEndedMethod, {
        requestId: request.requestId,
        model: request.model.id,
        workerId: dispatch.replica.workerId,
        result,
      })
      .catch(() => undefined);
  }

  private assertCanContinue(request: RoutedRequest): void {
    if (request.signal.aborted)
      throw new WoodbarrowError('caller_gone', 'the caller closed the connection', { ran: 'no' });
    if (request.deadline > this.latestWaitDeadline) {
      throw new WoodbarrowError('stopping', 'this daemon is stopping; send the request to another');
    }
    if (!this.hasTimeForAttempt(request)) {
      throw new WoodbarrowError('wait_expired', 'no replica was free within the allowed wait');
    }
  }

  /** Whether an attempt that starts now can still succeed or be rejected before the deadline. */
  private hasTimeForAttempt(request: RoutedRequest): boolean {
    return this.remainingMs(request) > this.connectReserveMs(request);
  }

  /**
   * Milliseconds reserved to detect an unreachable replica. Only a stream has a response timeout that ends at the
   * deadline; a whole response may take as long as the request runs, so its last attempt must start earlier.
   */
  private connectReserveMs(request: RoutedRequest): number {
    const waited = this.options.clock.monotonic() - request.receivedAt;
    return request.streaming || waited < CONNECT_TIMEOUT_MS ? 0 : CONNECT_TIMEOUT_MS;
  }

  private remainingMs(request: RoutedRequest): number {
    return request.deadline - RESPONSE_MARGIN_MS - this.options.clock.monotonic();
  }
}
