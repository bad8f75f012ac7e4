/**
 * Limits retries on other back ends. All daemons share one budget for each service: each daemon may use an equal
 * share of a fixed allowance, plus a ratio of its own requests.
 */
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed per window over all daemons, regardless of load. */
  readonly extra: number;
  readonly windowMs: number;
  /** Number of daemons that share the budget. */
  readonly daemonCount: () => number;
}

/** Share of the allowance that is used; the rest absorbs differences between the counts of daemons. */
const BUDGET_SAFETY_FACTOR = 0.75;

interface ServiceCounts {
  readonly requests: SlidingWindow;
  readonly retries: SlidingWindow;
}

/** One daemon's share of the retry budgets. */
export class RetryBudget {
  private readonly services = new Map<string, ServiceCounts>();

  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly clock: Clock,
  ) {}

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.countsOf(service).requests.add();
  }

  /** Consumes one retry. Returns false if the budget is exhausted. */
  tryRetry(service: string): boolean {
    if (this.remaining(service) < 1) return false;
    this.countsOf(service).retries.add();
    return true;
  }

  /** Retries left now; may be fractional. */
  remaining(service: string): number {
    const counts = this.countsOf(service);
    const { ratio, extra, daemonCount } = this.options;
    const fixed = extra / Math.max(1, daemonCount());
    const allowed = BUDGET_SAFETY_FACTOR * (ratio * counts.requests.count() + fixed);
    return allowed - counts.retries.count();
  }

  private countsOf(service: string): ServiceCounts {
    let counts = this.services.get(service);
    if (counts === undefined) {
      const { windowMs } = this.options;
      counts = {
        requests: new SlidingWindow(windowMs, this.clock),
        retries: new SlidingWindow(windowMs, this.clock),
      };
      this.services.set(service, counts);
    }
    return counts;
  }
}
