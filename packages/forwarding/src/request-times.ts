/** The limits in time of one request, all counted from its arrival. */
import type { Clock } from '@woodbarrow/runtime';
import { PREFILL_TOKENS_PER_MS } from './replica-selector.js';
import type { Route } from './route.js';
import type { RequestFacts } from './wire-dialect.js';

/** Patience with the first answer, as a multiple of the target latency, where the request may run again. */
const ANSWER_TIMEOUT_LATENCY_MULTIPLE = 1.5;
/** Part of the time left that one send may take, where the request may run again. */
const ANSWER_TIMEOUT_SHARE = 0.5;
/** Expected time of a plain request, for health only, in milliseconds. */
const EXPECTED_PLAIN_ANSWER_MS = 20;
/** Expected time to a first token beside the reading of the prompt, for health only, in milliseconds. */
const EXPECTED_FIRST_TOKEN_OVERHEAD_MS = 15;
/** Part of the allowed time by which a request for a model must have been sent. */
const START_DEADLINE_SHARE = 0.9;

/** Times of one request, in milliseconds. */
export class RequestTimes {
  /** @param arrivedAt Monotonic. */
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

  /** Time in which an answer must have begun. */
  remainingMs(): number {
    return Math.max(0, this.allowedMs() - this.elapsedMs());
  }

  /** Time until the route's time-out, at which even an answer in progress ends. */
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

  /** Time to the head of an answer that would be usual. */
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

  /** Monotonic time by which a stream that broke off now must have been sent on: its client waits for an event. */
  resumeBy(): number {
    const gapMs = Math.min(this.remainingMs(), this.route.clientGapMs ?? Infinity);
    return this.clock.monotonic() + gapMs * START_DEADLINE_SHARE - this.expectedMs();
  }

  /** Monotonic time by which a request for a model must have been sent for an answer in time. */
  targetBy(): number {
    return this.arrivedAt + this.route.targetLatencyMs - this.expectedMs();
  }

  private allowedMs(): number {
    return Math.min(this.facts.waitMs ?? Infinity, this.route.timeoutMs);
  }
}
