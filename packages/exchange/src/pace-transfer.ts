/** Exchange of the workers' pace as part of the state reports. */
import type { ReportScope, WorkerPaces } from '@woodbarrow/backends';
import type { PaceReport, StateReport } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/**
 * Minimum interval between paces sent to one receiver, in milliseconds. They change slowly compared to the load, and a large
 * deployment has an entry for each of its workers in every message.
 */
const PACE_INTERVAL_MS = 1000;
/** Milliseconds after which a receiver is forgotten. */
const RECEIVER_RETENTION_MS = 60_000;
const PERCENT = 100;

/** Sends and receives the paces of the workers. */
export class PaceTransfer {
  /** Monotonic time of the last paces sent to each receiver. */
  private readonly sentAt = new Map<string, number>();

  constructor(
    private readonly paces: WorkerPaces,
    private readonly clock: Clock,
  ) {}

  /**
   * Adds the paces to a state report for a receiver, at most once per interval. A report without them leaves those of the
   * previous report in effect.
   *
   * @param scopes Sources whose reports are added to this daemon's own figures, except the receiver's.
   */
  withPaces(receiver: string, state: StateReport, scopes: readonly ReportScope[]): StateReport {
    const now = this.clock.monotonic();
    if (now - (this.sentAt.get(receiver) ?? -Infinity) < PACE_INTERVAL_MS) return state;
    const paces = this.paces.combinedReport(scopes, receiver).map(({ backEndId, pace, weight }) => ({
      b: backEndId,
      p: Math.round(pace * PERCENT),
      w: Math.round(weight * PERCENT),
    }));
    if (paces.length === 0) return state;
    this.removeOldReceivers(now);
    this.sentAt.set(receiver, now);
    return { ...state, paces };
  }

  /** Applies the paces in the state report of a source. */
  receive(source: string, scope: ReportScope, { paces }: StateReport): void {
    if (paces === undefined) return;
    this.paces.acceptReport(source, scope, paces.map(toEntry));
  }

  /** Removes what other daemons have reported, for use when the sources of reports change. */
  dropReports(): void {
    this.paces.dropReports();
  }

  private removeOldReceivers(now: number): void {
    for (const [receiver, at] of this.sentAt) {
      if (now - at > RECEIVER_RETENTION_MS) this.sentAt.delete(receiver);
    }
  }
}

function toEntry({ b, p, w }: PaceReport): { backEndId: string; pace: number; weight: number } {
  return { backEndId: b, pace: p / PERCENT, weight: w / PERCENT };
}
