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

/** What one daemon's budget for a service consists of, in retries per window. */
export interface RetryBudgetUsage {
  /** Number of daemons by which the fixed allowance is divided. */
  readonly daemons: number;
  /** Retries allowed for the requests of this daemon. */
  readonly earned: number;
  /** This daemon's share of the fixed allowance. */
  readonly share: number;
  readonly spent: number;
}

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
    const { earned, share, spent } = this.usage(service);
    return earned + share - spent;
  }

  /** Returns what the budget of a service consists of now, for logs. */
  usage(service: string): RetryBudgetUsage {
    const counts = this.countsOf(service);
    const { ratio, extra, daemonCount } = this.options;
    const daemons = Math.max(1, daemonCount());
    return {
      daemons,
      earned: BUDGET_SAFETY_FACTOR * ratio * counts.requests.count(),
      share: (BUDGET_SAFETY_FACTOR * extra) / daemons,
      spent: counts.retries.count(),
    };
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
