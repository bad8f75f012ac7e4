/** Takes requests of clients in: finds the route, bounds the body, and starts the task of each. */
import { answerFor, type ErrorKind } from '@woodbarrow/errors';
import { BodyTooLargeError, encodeText, type IncomingExchange, type Random } from '@woodbarrow/runtime';
import { ForwardedRequest } from './forwarded-request.js';
import type { ConfigurationHolder } from './forwarding-configuration.js';
import type { ForwardingContext } from './forwarding-context.js';
import { TrafficSplitter } from './traffic-splitter.js';
import type { RequestFacts } from './wire-dialect.js';

/** Time after which to come back to a daemon that has no configuration yet, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Time after which to come back to another daemon, in milliseconds. */
const STOPPING_RETRY_MS = 10;

/** Entry of requests into one daemon. */
export class Forwarder {
  private readonly splitter: TrafficSplitter;

  constructor(
    private readonly context: ForwardingContext,
    private readonly configuration: ConfigurationHolder,
    random: Random,
  ) {
    this.splitter = new TrafficSplitter(random);
  }

  /** Answers one request. Never rejects. */
  async handle(exchange: IncomingExchange): Promise<void> {
    const arrivedAt = this.context.clock.monotonic();
    const facts = this.context.dialect.readFacts(exchange.headers);
    try {
      await this.forward(exchange, facts, arrivedAt);
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        this.refuse(exchange, facts, 'body_too_large');
        return;
      }
      exchange.abort();
      this.context.journal.decided('request_failed', facts.id, {
        answer: 'connection_closed',
        cause: error instanceof Error ? error.message : String(error),
      });
    }
  }

  private async forward(exchange: IncomingExchange, facts: RequestFacts, arrivedAt: number): Promise<void> {
    if (this.context.stopWaiting.aborted) {
      this.refuse(exchange, facts, 'stopping', STOPPING_RETRY_MS);
      return;
    }
    const { current, routes } = this.configuration;
    if (current === undefined || routes === undefined) {
      this.refuse(exchange, facts, 'not_ready', NOT_READY_RETRY_MS);
      return;
    }
    const route = routes.match(exchange.headers['host'] ?? '', exchange.target);
    if (route === undefined) {
      this.refuse(exchange, facts, 'not_found');
      return;
    }
    const service = current.services.get(this.splitter.choose(route));
    if (service === undefined) {
      this.refuse(exchange, facts, 'no_replica', NOT_READY_RETRY_MS);
      return;
    }
    const body = await exchange.readBody(current.limits.maximumBodyBytes);
    await new ForwardedRequest(this.context, exchange, facts, route, service, body, arrivedAt).run();
  }

  private refuse(
    exchange: IncomingExchange,
    facts: RequestFacts,
    kind: ErrorKind,
    retryAfterMs?: number,
  ): void {
    const { status } = answerFor(kind);
    const seconds = retryAfterMs === undefined ? undefined : retryAfterMs / 1000;
    exchange.respond(
      { status, headers: this.context.dialect.ownHeaders(facts.id, seconds) },
      encodeText(`${kind}\n`),
    );
    this.context.journal.ended('none', 'refused', 0);
    this.context.journal.decided('request_refused', facts.id, { kind, cause: kind });
  }
}
