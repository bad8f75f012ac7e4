/**
 * Bounds how many requests go to a second back end. All daemons share one budget for each service; every
 * daemon takes an equal part of what is allowed whatever the load, and a ratio of its own requests.
 */
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';

/** Options of {@link RepeatBudget}. */
export interface RepeatBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed in a window over all daemons, whatever the load. */
  readonly extra: number;
  readonly windowMs: number;
  /** Number of daemons that share the budget. */
  readonly sharers: () => number;
}

/** Part of what is allowed that is used, which leaves room for what others count differently. */
const BUDGET_SAFETY_FACTOR = 0.75;

interface ServiceCounts {
  readonly requests: SlidingWindow;
  readonly retries: SlidingWindow;
}

/** One daemon's part of the budgets. */
export class RepeatBudget {
  private readonly services = new Map<string, ServiceCounts>();

  constructor(
    private readonly options: RepeatBudgetOptions,
    private readonly clock: Clock,
  ) {}

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.countsOf(service).requests.add();
  }

  /** Takes one repeat; false when the budget is spent. */
  tryRetry(service: string): boolean {
    if (this.remaining(service) < 1) return false;
    this.countsOf(service).retries.add();
    return true;
  }

  /** Repeats left now, possibly a fraction. */
  remaining(service: string): number {
    const counts = this.countsOf(service);
    const { ratio, extra, sharers } = this.options;
    const fixed = extra / Math.max(1, sharers());
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
