/**
 * The router: takes one admitted request to one replica and its answer back. It alone answers for the request:
 * served, or refused within the allowed wait, with a truthful word on whether it ran.
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
  /** Empty for the base model. */
  readonly adapter: string;
  readonly path: string;
  readonly body: Uint8Array;
  readonly streaming: boolean;
  readonly priority: number;
  readonly deferrable: boolean;
  /** Monotonic time at which the request came in. */
  readonly receivedAt: number;
  /** Monotonic time by which the answer must have begun. */
  readonly deadline: number;
  /** Milliseconds that a whole answer may take once it was sent to a replica. */
  readonly runLimitMs: number;
  /** Whether a second run would do no harm. */
  readonly repeatable: boolean;
  readonly affinity: number;
  readonly queueLimit: number;
  /** Aborts when the caller has gone. */
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
/** The answer goes out this long before the allowed wait ends, so that it arrives within. */
const RESPONSE_MARGIN_MS = 30;
/** Refusals of this module that say that the request was not run. */
const NOT_RUN_KINDS = ['wait_expired', 'engine_refused', 'queue_full', 'stopping', 'caller_gone'] as const;
const RETRY_BUDGET = { ratio: 0.2, minimumPerSecond: 5, maximumSaved: 50 };

/** A replica to try, with how it was come by. */
interface Dispatch {
  readonly replica: ReplicaInfo;
  /** Address of the owner that granted it; undefined when the router chose by itself. */
  readonly grantedBy: string | undefined;
}

/** State of one request on its way. */
interface RequestState {
  readonly request: RoutedRequest;
  readonly avoid: Set<string>;
  count: number;
  /** True once an attempt's outcome was not known: no later refusal may say that the request was not run. */
  mayHaveRun: boolean;
}

/** Routes requests. */
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
  /** Requests with a later deadline than this are not waited for any more. */
  private latestWaitDeadline = Infinity;

  constructor(private readonly options: RouterOptions) {
    this.breakers = new CircuitBreakers(options.clock);
    this.directory = new ReplicaDirectory(options.clock, options.random, this.breakers);
    this.retryBudget = new RetryBudget(RETRY_BUDGET, options.clock);
  }

  /**
   * Serves a request: resolves with the engine's answer once it has begun.
   *
   * @throws WoodbarrowError whose `ran` says whether the request ran.
   */
  async route(request: RoutedRequest): Promise<HttpResponse> {
    this.retryBudget.recordAttempt();
    const attempts: RequestState = { request, avoid: new Set(), count: 0, mayHaveRun: false };
    try {
      return await this.routeWithRetries(attempts);
    } catch (error) {
      if (!attempts.mayHaveRun || !isKind(error, ...NOT_RUN_KINDS)) throw error;
      throw new WoodbarrowError('outcome_unknown', `an earlier attempt may have run: ${error.message}`);
    }
  }

  private async routeWithRetries(attempts: RequestState): Promise<HttpResponse> {
    for (;;) {
      const dispatch = await this.findReplica(attempts);
      const response = await this.tryReplica(attempts, dispatch);
      if (response !== undefined) return response;
      attempts.count += 1;
      await this.backOffBeforeRetry(attempts);
    }
  }

  /**
   * Before a planned stop: requests that wait, and whose wait would end after monotonic time `limit`, are refused
   * as not run, so that their callers can go to another daemon at once.
   */
  refuseWaitingBeyond(latestDeadline: number): void {
    this.latestWaitDeadline = latestDeadline;
  }

  /** One attempt: the response, or undefined when the request certainly did not run and may be tried again. */
  private async tryReplica(attempts: RequestState, dispatch: Dispatch): Promise<HttpResponse | undefined> {
    const { request } = attempts;
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
    attempts.avoid.add(replica.workerId);
    if (start.outcome === 'not_run') {
      this.counters.refusedByEngine += 1;
      finish('refused');
      return undefined;
    }
    finish('failed');
    this.breakers.recordFailure(replica.workerId);
    attempts.mayHaveRun = true;
    return this.handleUnknownOutcome(request, start.reason);
  }

  /** A stream begins when the request does; a whole answer comes only when it has been made. */
  private responseHeadTimeoutMs(request: RoutedRequest): number {
    return request.streaming ? Math.max(1, this.remainingMs(request)) : request.runLimitMs;
  }

  /** The request may have run: only one that does no harm twice, with time left, is tried again. */
  private handleUnknownOutcome(request: RoutedRequest, reason: string): undefined {
    this.counters.unknownOutcomes += 1;
    if (request.signal.aborted) throw new WoodbarrowError('caller_gone', 'the caller closed the connection');
    if (request.repeatable && this.remainingMs(request) > 0) return undefined;
    throw new WoodbarrowError('outcome_unknown', `the engine's answer was lost: ${reason}`);
  }

  private async backOffBeforeRetry(attempts: RequestState): Promise<void> {
    const { request } = attempts;
    if (!this.retryBudget.tryRetry()) {
      this.counters.retriesDenied += 1;
      throw new WoodbarrowError(
        'engine_refused',
        'no replica took the request, and the retry budget is spent',
      );
    }
    this.counters.retries += 1;
    const pause = backoffDelay(BACKOFF, attempts.count - 1, this.options.random);
    await sleep(this.options.clock, Math.min(pause, Math.max(0, this.remainingMs(request))), request.signal);
  }

  private async findReplica(attempts: RequestState): Promise<Dispatch> {
    const { request } = attempts;
    this.assertCanContinue(request);
    const direct = this.directory.chooseDirect(request.model.id, request.adapter);
    if (direct !== undefined && !attempts.avoid.has(direct.workerId)) {
      this.counters.direct += 1;
      return { replica: direct, grantedBy: undefined };
    }
    return this.waitForGrant(attempts);
  }

  /** Waits at the queue owner; a lost owner costs one question, after which the request waits at the next. */
  private async waitForGrant(attempts: RequestState): Promise<Dispatch> {
    const { request } = attempts;
    let isColdWaitCounted = false;
    /** Grows with each reason to ask in another zone. */
    let zoneIndex = 0;
    for (;;) {
      this.assertCanContinue(request);
      const owner = this.ownerAddress(request.model, zoneIndex);
      const response = owner === undefined ? undefined : await this.pollOwner(owner, attempts);
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
        // A grant that came too late to be tried goes back.
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

  /** One question to the owner; undefined when it did not answer. */
  private async pollOwner(owner: string, attempts: RequestState): Promise<EnqueueResponse | undefined> {
    const { request } = attempts;
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
          avoid: [...attempts.avoid],
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
   * The owner in the zone whose turn it is. The model's first zone comes first for routers everywhere, so that a
   * cold burst loads one replica rather than one in each zone.
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

  /** Whether an attempt that begins now can still be answered for within the allowed wait. */
  private hasTimeForAttempt(request: RoutedRequest): boolean {
    return this.remainingMs(request) > this.connectReserveMs(request);
  }

  /**
   * Time kept for finding out that a replica cannot be reached. Only a stream can be given up while it connects; a
   * whole answer is waited for as long as it runs, so its last attempt begins that much earlier.
   */
  private connectReserveMs(request: RoutedRequest): number {
    const waited = this.options.clock.monotonic() - request.receivedAt;
    return request.streaming || waited < CONNECT_TIMEOUT_MS ? 0 : CONNECT_TIMEOUT_MS;
  }

  private remainingMs(request: RoutedRequest): number {
    return request.deadline - RESPONSE_MARGIN_MS - this.options.clock.monotonic();
  }
}
