/** Entry point for client requests: finds the route, checks access, limits the body and forwards the request. */
import { errorMessage } from '@woodbarrow/errors';
import { BodyTooLargeError, type IncomingExchange, type Random } from '@woodbarrow/runtime';
import { resolveAccess } from './caller-access.js';
import { ClientAnswer } from './client-answer.js';
import { ForwardedRequest, type AcceptedRequest } from './forwarded-request.js';
import type { ConfigurationHolder, ForwardingConfiguration } from './forwarding-configuration.js';
import type { DispatchTotals } from './dispatch-queue.js';
import type { ForwardingContext } from './forwarding-context.js';
import { RequestCompletion } from './request-completion.js';
import { spreadRetryMs } from './retry-spread.js';
import { StreamTakeUps } from './stream-take-ups.js';
import { NO_UNREAD_TOTALS, type UnreadTotals } from './unread-answers.js';
import { TrafficSplitter } from './traffic-splitter.js';

/** Suggested retry delay while this daemon has no configuration or no such service, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Priority of streams that are taken up again, above that of all routes: most of their work is done. */
const TAKE_UP_PRIORITY = -1;

/** Route name recorded for requests that are refused before a route is found. */
const UNROUTED = 'none';

/** A request before its route is known. */
type Arrival = Pick<AcceptedRequest, 'exchange' | 'answer' | 'facts' | 'arrivedAt'>;

/** Accepts the requests of one daemon. */
export class Forwarder {
  private readonly splitter: TrafficSplitter;
  private readonly takeUps: StreamTakeUps;
  /** Configuration version that the splitter's state belongs to. */
  private splitVersion = -1;

  constructor(
    private readonly context: ForwardingContext,
    private readonly configuration: ConfigurationHolder,
    random: Random,
  ) {
    this.splitter = new TrafficSplitter(random);
    this.takeUps = new StreamTakeUps(context.origins, context.journal);
  }

  get dispatchTotals(): DispatchTotals {
    return this.context.dispatch.totals;
  }

  get unreadTotals(): UnreadTotals {
    return this.context.unread?.totals ?? NO_UNREAD_TOTALS;
  }

  /** Answers one request. Never rejects. */
  async handle(exchange: IncomingExchange): Promise<void> {
    const arrival: Arrival = {
      exchange,
      answer: new ClientAnswer(exchange),
      facts: this.context.dialect.readFacts(exchange.headers),
      arrivedAt: this.context.clock.monotonic(),
    };
    try {
      await this.forward(arrival);
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        this.completionOf(arrival).refuse('body_too_large', 'body_too_large', 0);
        return;
      }
      arrival.answer.abort();
      // The answer may count as sent although writing it failed; the exchange must not stay open.
      exchange.abort();
      this.context.journal.decided('request_failed', arrival.facts.id, {
        answer: 'connection_closed',
        cause: errorMessage(error),
      });
    }
  }

  private async forward(arrival: Arrival): Promise<void> {
    const { exchange, facts } = arrival;
    const completion = this.completionOf(arrival);
    if (this.context.stopWaiting.aborted) {
      completion.refuseStopping();
      return;
    }
    const { current, routes } = this.configuration;
    if (current === undefined || routes === undefined) {
      completion.refuse('not_ready', 'not_ready', NOT_READY_RETRY_MS);
      return;
    }
    const route = routes.match(exchange.headers['host'] ?? '', exchange.target);
    if (route === undefined) {
      completion.refuse('not_found', 'not_found', 0);
      return;
    }
    const access = resolveAccess(route, current.tenants, facts.keyDigest);
    if (access.kind === 'denied') {
      completion.refuse('unauthenticated', facts.keyDigest === undefined ? 'no_key' : 'unknown_key', 0);
      return;
    }
    const { tenant } = access;
    if (!this.isAdmitted(arrival, route.priority, completion)) return;
    this.dropStaleSplits(current);
    const takeUp = await this.takeUps.resolve(route, facts, () => this.splitter.choose(route));
    if (takeUp.kind === 'refused') {
      const retryAfterMs = spreadRetryMs(facts.id, takeUp.retryAfterMs);
      completion.refuse('stream_not_resumable', takeUp.cause, retryAfterMs, { resumes: facts.resumes });
      return;
    }
    const service = current.services.get(takeUp.service ?? this.splitter.choose(route));
    if (service === undefined) {
      completion.refuse('no_replica', 'no_replica', NOT_READY_RETRY_MS);
      return;
    }
    const body = await exchange.readBody(current.limits.maximumBodyBytes);
    const accepted = {
      ...arrival,
      route,
      service,
      body,
      ...(tenant === undefined ? {} : { tenant }),
      ...(takeUp.kind === 'bound' ? { softwareVersion: takeUp.softwareVersion } : {}),
    };
    await new ForwardedRequest(this.context, accepted).run();
  }

  /** Refuses an arrival if this daemon is saturated. A client that takes a stream up again goes first. */
  private isAdmitted({ facts }: Arrival, priority: number, completion: RequestCompletion): boolean {
    const isTakeUp = facts.resumes !== undefined || facts.resumeAfter !== undefined;
    const decision = this.context.admission?.admit(isTakeUp ? TAKE_UP_PRIORITY : priority, facts.id);
    if (decision?.kind !== 'refused') return true;
    const { standingDelayMs, admittedShare } = decision.basis;
    completion.refuse('shed', 'daemon_saturated', decision.retryAfterMs, {
      priority,
      standingDelayMs: Math.round(standingDelayMs),
      admittedShare: Math.round(admittedShare * 100) / 100,
    });
    return false;
  }

  private dropStaleSplits(current: ForwardingConfiguration): void {
    if (current.version === this.splitVersion) return;
    this.splitVersion = current.version;
    this.splitter.retain(current.routes);
  }

  /** Completion of a request that has no route yet. */
  private completionOf({ answer, facts, arrivedAt }: Arrival): RequestCompletion {
    const { clock, dialect, journal } = this.context;
    return new RequestCompletion({
      answer,
      requestId: facts.id,
      routeName: UNROUTED,
      elapsedMs: () => clock.monotonic() - arrivedAt,
      dialect,
      journal,
      sends: () => 0,
    });
  }
}
