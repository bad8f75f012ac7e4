/** Deadlines and expected durations of one request. */
import type { Clock } from '@woodbarrow/runtime';
import { PREFILL_TOKENS_PER_MS } from './replica-selector.js';
import type { Route } from './route.js';
import type { RequestFacts } from './wire-dialect.js';

/** Answer timeout of a repeatable request, as a multiple of the target latency. */
const ANSWER_TIMEOUT_LATENCY_MULTIPLE = 1.5;
/** Share of the remaining time that one send of a repeatable request may take. */
const ANSWER_TIMEOUT_SHARE = 0.5;
/** Expected time to the answer of a request without a model, in milliseconds; used for health only. */
const EXPECTED_PLAIN_ANSWER_MS = 20;
/** Expected time to the first token besides prefill, in milliseconds. */
const EXPECTED_FIRST_TOKEN_OVERHEAD_MS = 15;
/** Share of the allowed time by which a request for a model must have been sent. */
const START_DEADLINE_SHARE = 0.9;

/** Times of one request, in milliseconds. */
export class RequestTimes {
  /** @param arrivedAt Monotonic time in milliseconds. */
  constructor(
    private readonly arrivedAt: number,
    private readonly facts: RequestFacts,
    private readonly route: Route,
    private readonly clock: Clock,
  ) {}

  /** Time since the request arrived. */
  elapsedMs(): number {
    return this.clock.monotonic() - this.arrivedAt;
  }

  /** Time left until an answer must have begun. */
  remainingMs(): number {
    return Math.max(0, this.allowedMs() - this.elapsedMs());
  }

  /** Time until the timeout of the route, which also ends answers in progress. */
  routeTimeoutRemainingMs(): number {
    return this.route.timeoutMs - this.elapsedMs();
  }

  /** How long one send may take without an answer before another back end is tried. */
  answerTimeoutMs(): number {
    return Math.min(
      this.remainingMs() * ANSWER_TIMEOUT_SHARE,
      this.route.targetLatencyMs * ANSWER_TIMEOUT_LATENCY_MULTIPLE,
    );
  }

  /** Expected time from a send to the head of its answer. */
  expectedMs(): number {
    if (this.facts.target === undefined) return EXPECTED_PLAIN_ANSWER_MS;
    return EXPECTED_FIRST_TOKEN_OVERHEAD_MS + this.facts.promptTokens / PREFILL_TOKENS_PER_MS;
  }

  /** Monotonic time by which a request for a model must have been sent. */
  startBy(): number {
    const allowedMs = Math.max(this.elapsedMs(), this.allowedMs());
    const limitMs = Math.min(allowedMs, this.route.clientGapMs ?? Infinity);
    return this.arrivedAt + limitMs * START_DEADLINE_SHARE - this.expectedMs();
  }

  /** Monotonic time by which a stream that broke now must be resumed, before its client gives up. */
  resumeBy(): number {
    const gapMs = Math.min(this.remainingMs(), this.route.clientGapMs ?? Infinity);
    return this.clock.monotonic() + gapMs * START_DEADLINE_SHARE - this.expectedMs();
  }

  /** Monotonic time by which a request for a model must have been sent to meet the target latency. */
  targetBy(): number {
    return this.arrivedAt + this.route.targetLatencyMs - this.expectedMs();
  }

  private allowedMs(): number {
    return Math.min(this.facts.waitMs ?? Infinity, this.route.timeoutMs);
  }
}
