/**
 * Calls between daemons that failed and are made up for by the caller's next step: each is counted, and a line tells of the
 * first of each kind in a second, with how many there were since the line before.
 */
import { messageOf } from '@woodbarrow/errors';
import type { Clock } from '@woodbarrow/runtime';
import type { EventLog } from './event-log.js';

/** Pause between two lines of one kind of call, in milliseconds: a lost peer fails several calls a second. */
const LOG_INTERVAL_MS = 1000;

interface FailureCount {
  total: number;
  unreported: number;
  lastReportedAt: number;
}

/** Failed calls of one daemon, by kind. */
export class CallFailures {
  private readonly counts = new Map<string, FailureCount>();

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Failed calls since the start, by kind. */
  totals(): ReadonlyMap<string, number> {
    return new Map([...this.counts].map(([call, { total }]) => [call, total]));
  }

  /**
   * Notes a failure.
   *
   * @param call Kind of call, a short fixed text.
   * @param peer Daemon that was called.
   */
  note(call: string, peer: string, error: unknown): void {
    let count = this.counts.get(call);
    if (count === undefined) {
      count = { total: 0, unreported: 0, lastReportedAt: -Infinity };
      this.counts.set(call, count);
    }
    count.total += 1;
    count.unreported += 1;
    const now = this.clock.monotonic();
    if (now - count.lastReportedAt < LOG_INTERVAL_MS) return;
    this.log.warned('call_failed', { call, peer, cause: messageOf(error), failures: count.unreported });
    count.lastReportedAt = now;
    count.unreported = 0;
  }
}
