/**
 * Bounds how many requests go to a second back end. All daemons share one budget for each service; every
 * daemon takes an equal part of what is allowed whatever the load, and a ratio of its own requests.
 */
import type { Clock } from '@woodbarrow/runtime';

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
const SAFETY = 0.75;

/** Times in a sliding window. */
class SlidingCount {
  private readonly times: number[] = [];

  add(now: number): void {
    this.times.push(now);
  }

  count(since: number): number {
    while (this.times.length > 0 && (this.times[0] ?? 0) < since) this.times.shift();
    return this.times.length;
  }
}

interface ServiceCounts {
  readonly requests: SlidingCount;
  readonly repeats: SlidingCount;
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
    this.countsOf(service).requests.add(this.clock.monotonic());
  }

  /** Takes one repeat; false when the budget is spent. */
  tryRepeat(service: string): boolean {
    if (this.remaining(service) < 1) return false;
    this.countsOf(service).repeats.add(this.clock.monotonic());
    return true;
  }

  /** Repeats left now, possibly a fraction. */
  remaining(service: string): number {
    const counts = this.countsOf(service);
    const { ratio, extra, windowMs, sharers } = this.options;
    const since = this.clock.monotonic() - windowMs;
    const fixed = extra / Math.max(1, sharers());
    const allowed = SAFETY * (ratio * counts.requests.count(since) + fixed);
    return allowed - counts.repeats.count(since);
  }

  private countsOf(service: string): ServiceCounts {
    let counts = this.services.get(service);
    if (counts === undefined) {
      counts = { requests: new SlidingCount(), repeats: new SlidingCount() };
      this.services.set(service, counts);
    }
    return counts;
  }
}
