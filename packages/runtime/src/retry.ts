/** Retry policy: exponential back-off with jitter, and retry budgets. */
import type { Clock } from './clock.js';
import type { Random } from './random.js';

/** Options of {@link backoffDelay}. */
export interface BackoffOptions {
  /** Upper bound of the first delay in milliseconds. */
  readonly initialMs: number;
  /** Maximum delay in milliseconds. */
  readonly maximumMs: number;
}

/** Returns the delay in milliseconds before retry `attempt`, counted from 0: random between half of an exponential ceiling and that ceiling. */
export function backoffDelay(options: BackoffOptions, attempt: number, random: Random): number {
  const ceiling = Math.min(options.maximumMs, options.initialMs * 2 ** Math.min(attempt, 30));
  return random.between(ceiling / 2, ceiling);
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries allowed for each first attempt, for example 0.1 for one in ten. */
  readonly ratio: number;
  /** Retries allowed per second independent of the load, so that retries are possible under low load. */
  readonly minimumPerSecond: number;
  /** Capacity of the token bucket, in retries. */
  readonly maximumSaved: number;
}

/**
 * Token bucket filled by first attempts and drained by retries; limits retries to a fixed share of the load. It starts empty, so that a
 * process that is started again and again has no more retries than one that runs on.
 */
export class RetryBudget {
  private tokens = 0;
  private lastRefill: number;

  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly clock: Clock,
  ) {
    this.lastRefill = clock.monotonic();
  }

  /** Adds the share of a first attempt to the budget. */
  recordAttempt(): void {
    this.tokens = Math.min(this.options.maximumSaved, this.tokens + this.options.ratio);
  }

  /** Consumes one retry; returns false when the budget is exhausted. */
  tryRetry(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const now = this.clock.monotonic();
    const refilledTokens = ((now - this.lastRefill) / 1000) * this.options.minimumPerSecond;
    this.tokens = Math.min(this.options.maximumSaved, this.tokens + refilledTokens);
    this.lastRefill = now;
  }
}
