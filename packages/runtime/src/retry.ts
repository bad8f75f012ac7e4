/** Retry policy: exponential back-off with jitter, and budgets instead of counts. */
import type { Clock } from './clock.js';
import type { Random } from './random.js';

/** Options of {@link backoffDelay}. */
export interface BackoffOptions {
  /** First delay in milliseconds. */
  readonly initialMs: number;
  /** Largest delay in milliseconds. */
  readonly maximumMs: number;
}

/** Delay before attempt number `attempt` (0 for the first retry): full jitter below an exponential ceiling. */
export function backoffDelay(options: BackoffOptions, attempt: number, random: Random): number {
  const ceiling = Math.min(options.maximumMs, options.initialMs * 2 ** Math.min(attempt, 30));
  return random.between(ceiling / 2, ceiling);
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries allowed for each first attempt, for example 0.1. */
  readonly ratio: number;
  /** Retries allowed per second whatever the load, so that small loads may retry at all. */
  readonly minimumPerSecond: number;
  /** Largest number of saved-up retries. */
  readonly maximumSaved: number;
}

/** A token bucket that first attempts fill and retries drain: retries stay a fixed share of the load. */
export class RetryBudget {
  private tokens: number;
  private lastRefill: number;

  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly clock: Clock,
  ) {
    this.tokens = options.maximumSaved;
    this.lastRefill = clock.monotonic();
  }

  /** Records a first attempt. */
  recordAttempt(): void {
    this.tokens = Math.min(this.options.maximumSaved, this.tokens + this.options.ratio);
  }

  /** Takes one retry from the budget; false when it is spent. */
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
