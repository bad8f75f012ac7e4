/**
 * Limits retries on other back ends. The deployment has one budget for each service: a ratio of its requests, which each daemon earns with
 * its own, and a fixed allowance, which is granted to the daemons that need it.
 */
import type { Clock, Random } from '@woodbarrow/runtime';
import { EarnedRetries, type EarnedRetriesOptions, type EarnedRetry } from './earned-retries.js';
import { NO_ALLOWANCE, type RetryAllowance, type RetryOutcome, type RetryPermit } from './retry-allowance.js';

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions extends EarnedRetriesOptions {
  /** Fixed allowance, asked when nothing earned is left. @default none */
  readonly allowance?: RetryAllowance;
}

/** Retry budgets as one daemon sees them. */
export class RetryBudget {
  private readonly earned: EarnedRetries;
  private readonly allowance: RetryAllowance;

  constructor(
    options: RetryBudgetOptions,
    private readonly clock: Clock,
    random: Random,
  ) {
    this.earned = new EarnedRetries(options, clock, random);
    this.allowance = options.allowance ?? NO_ALLOWANCE;
  }

  /** Works in the background until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.earned.run(signal), this.allowance.run?.(signal)]);
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.earned.recordRequest(service);
  }

  /** Number of earned retries that are left now. */
  earnedLeft(service: string): number {
    return this.earned.available(service);
  }

  /** Acquires one retry. Never rejects. */
  acquire(service: string, signal: AbortSignal): Promise<RetryOutcome> {
    const retry = this.earned.take(service);
    if (retry === undefined) return this.allowance.acquire(service, signal);
    return Promise.resolve({ kind: 'allowed', permit: this.permitFor(service, retry) });
  }

  private permitFor(service: string, retry: EarnedRetry): RetryPermit {
    let isOpen = true;
    return {
      source: 'earned',
      isValid: () => this.clock.elapsed() < retry.expiresAt,
      refund: () => {
        if (isOpen) this.earned.refund(service, retry);
        isOpen = false;
      },
    };
  }
}
