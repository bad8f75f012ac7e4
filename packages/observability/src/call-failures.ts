/**
 * Failed calls between daemons that the caller recovers from by its next attempt. All are counted; log lines are limited to one
 * per second and kind, with the number of failures since the previous line.
 */
import { errorMessage } from '@woodbarrow/errors';
import type { Clock } from '@woodbarrow/runtime';
import type { EventLog } from './event-log.js';

/** Minimum interval between log lines for the same kind of call, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

interface FailureCount {
  total: number;
  unreported: number;
  lastReportedAt: number;
}

/** Counts and logs the failed calls of one daemon by kind. */
export class CallFailures {
  private readonly counts = new Map<string, FailureCount>();

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Returns the number of failed calls since the start by kind. */
  totals(): ReadonlyMap<string, number> {
    return new Map([...this.counts].map(([call, { total }]) => [call, total]));
  }

  /**
   * Counts a failed call and logs it unless the kind was logged within the last second.
   *
   * @param call Kind of call; must come from a small fixed set.
   * @param peer Daemon that was called.
   */
  record(call: string, peer: string, error: unknown): void {
    let count = this.counts.get(call);
    if (count === undefined) {
      count = { total: 0, unreported: 0, lastReportedAt: -Infinity };
      this.counts.set(call, count);
    }
    count.total += 1;
    count.unreported += 1;
    const now = this.clock.monotonic();
    if (now - count.lastReportedAt < LOG_INTERVAL_MS) return;
    this.log.warned('call_failed', { call, peer, cause: errorMessage(error), failures: count.unreported });
    count.lastReportedAt = now;
    count.unreported = 0;
  }
}
