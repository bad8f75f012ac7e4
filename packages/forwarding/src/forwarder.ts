/** Takes requests of clients in: finds the route, bounds the body, and starts the task of each. */
import { messageOf } from '@woodbarrow/errors';
import { BodyTooLargeError, type IncomingExchange, type Random } from '@woodbarrow/runtime';
import { accessOf } from './caller-access.js';
import { ClientAnswer } from './client-answer.js';
import { ForwardedRequest, type TakenRequest } from './forwarded-request.js';
import type { ConfigurationHolder, ForwardingConfiguration } from './forwarding-configuration.js';
import type { ForwardingContext } from './forwarding-context.js';
import { RequestEnding } from './request-ending.js';
import { TrafficSplitter } from './traffic-splitter.js';

/** Time after which to come back to a daemon that has no configuration yet, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Stands for the route of requests that were refused before one was found. */
const NO_ROUTE = 'none';

/** A request before its route is known. */
type Arrival = Pick<TakenRequest, 'exchange' | 'answer' | 'facts' | 'arrivedAt'>;

/** Entry of requests into one daemon. */
export class Forwarder {
  private readonly splitter: TrafficSplitter;
  /** Version of the configuration that the splits belong to. */
  private splitVersion = -1;

  constructor(
    private readonly context: ForwardingContext,
    private readonly configuration: ConfigurationHolder,
    random: Random,
  ) {
    this.splitter = new TrafficSplitter(random);
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
        this.endingOf(arrival).refuse('body_too_large', 'body_too_large', 0);
        return;
      }
      arrival.answer.cut();
      // Also where an answer was thought to have been given: none may stay open.
      exchange.abort();
      this.context.journal.decided('request_failed', arrival.facts.id, {
        answer: 'connection_closed',
        cause: messageOf(error),
      });
    }
  }

  private async forward(arrival: Arrival): Promise<void> {
    const { exchange, facts } = arrival;
    const ending = this.endingOf(arrival);
    if (this.context.stopWaiting.aborted) {
      ending.refuseStopping();
      return;
    }
    const { current, routes } = this.configuration;
    if (current === undefined || routes === undefined) {
      ending.refuse('not_ready', 'not_ready', NOT_READY_RETRY_MS);
      return;
    }
    const route = routes.match(exchange.headers['host'] ?? '', exchange.target);
    if (route === undefined) {
      ending.refuse('not_found', 'not_found', 0);
      return;
    }
    const access = accessOf(route, current.tenants, facts.keyDigest);
    if (access.kind === 'denied') {
      ending.refuse('unauthenticated', facts.keyDigest === undefined ? 'no_key' : 'unknown_key', 0);
      return;
    }
    const { tenant } = access;
    this.dropOldSplits(current);
    const service = current.services.get(this.splitter.choose(route));
    if (service === undefined) {
      ending.refuse('no_replica', 'no_replica', NOT_READY_RETRY_MS);
      return;
    }
    const body = await exchange.readBody(current.limits.maximumBodyBytes);
    const taken = { ...arrival, route, service, body, ...(tenant === undefined ? {} : { tenant }) };
    await new ForwardedRequest(this.context, taken).run();
  }

  private dropOldSplits(current: ForwardingConfiguration): void {
    if (current.version === this.splitVersion) return;
    this.splitVersion = current.version;
    this.splitter.retain(current.routes);
  }

  /** The ending of a request that has no route yet. */
  private endingOf({ answer, facts, arrivedAt }: Arrival): RequestEnding {
    const { clock, dialect, journal } = this.context;
    return new RequestEnding({
      answer,
      requestId: facts.id,
      routeName: NO_ROUTE,
      elapsedMs: () => clock.monotonic() - arrivedAt,
      dialect,
      journal,
      sends: () => 0,
    });
  }
}
