/**
 * Limits retries on other back ends. The deployment has one budget for each service: a ratio of its requests, which each daemon earns with
 * its own, and a fixed allowance, which is granted to the daemons that need it.
 */
import type { Clock } from '@woodbarrow/runtime';
import { EarnedRetries, type CountedRetry, type EarnedRetriesOptions } from './earned-retries.js';
import {
  NO_ALLOWANCE,
  type AllowedRetry,
  type RetryAllowance,
  type RetryOutcome,
  type RetryPermit,
} from './retry-allowance.js';
import type { RequestCount } from './retry-window-bound.js';

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions extends EarnedRetriesOptions {
  /** Fixed allowance, asked when nothing earned is left. @default none */
  readonly allowance?: RetryAllowance;
}

/** Retry budgets as one daemon sees them. */
export class RetryBudget {
  private readonly earned: EarnedRetries;
  private readonly allowance: RetryAllowance;

  constructor(options: RetryBudgetOptions, clock: Clock) {
    this.earned = new EarnedRetries(options, clock);
    this.allowance = options.allowance ?? NO_ALLOWANCE;
  }

  /** Works in the background until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.earned.run(signal), this.allowance.run?.(signal)]);
  }

  /** Counts a request for a service. @param waitedMs Time since its head was read, in milliseconds. */
  recordRequest(service: string, waitedMs = 0): void {
    this.earned.recordRequest(service, waitedMs);
  }

  /** Number of earned retries that are left now. */
  earnedLeft(service: string): number {
    return this.earned.available(service);
  }

  /** Acquires one retry. Never rejects. */
  async acquire(service: string, signal: AbortSignal): Promise<RetryOutcome> {
    const retry = this.earned.take(service);
    if (retry !== undefined) return { kind: 'allowed', permit: earnedPermit(retry) };
    const takeRequests = (): readonly RequestCount[] => this.earned.takeRequests(service);
    const outcome = await this.allowance.acquire(service, signal, takeRequests);
    if (outcome.kind === 'withheld') return outcome;
    return { kind: 'allowed', permit: this.countedWhenLate(service, outcome.permit) };
  }

  /** A retry that may arrive when the allowance no longer counts it counts as an earned one from then on. */
  private countedWhenLate(service: string, allowed: AllowedRetry): RetryPermit {
    const late = this.earned.countLate(service, allowed.countedUntil ?? Infinity);
    return {
      source: allowed.source,
      isValid: () => allowed.isValid(),
      refund: () => {
        late.refund();
        allowed.refund();
      },
      settle: (mayArriveUntil) => {
        late.settle(mayArriveUntil);
      },
    };
  }
}

function earnedPermit(retry: CountedRetry): RetryPermit {
  return {
    source: 'earned',
    isValid: () => retry.isAllowed(),
    refund: () => {
      retry.refund();
    },
    settle: (mayArriveUntil) => {
      retry.settle(mayArriveUntil);
    },
  };
}
