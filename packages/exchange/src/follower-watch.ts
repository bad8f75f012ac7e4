/** Tracks which relays follow the store, from their regular reports. */
import type { Clock } from '@woodbarrow/runtime';

/**
 * Milliseconds for which a relay's report that it follows the store is valid: about three report intervals.
 */
const FOLLOWER_REPORT_LIFETIME_MS = 1000;

interface FollowerReport {
  readonly at: number;
  readonly follows: boolean;
}

/** Reports of relays, as received by one of them. */
export class FollowerWatch {
  private readonly reports = new Map<string, FollowerReport>();

  constructor(private readonly clock: Clock) {}

  /** Records whether a relay reports that it follows the store. */
  recordReport(relayId: string, follows: boolean): void {
    this.reports.set(relayId, { at: this.clock.elapsed(), follows });
  }

  /** Whether a relay has recently reported that it follows the store. */
  isFollowing(relayId: string): boolean {
    const report = this.reports.get(relayId);
    return report?.follows === true && this.clock.elapsed() - report.at <= FOLLOWER_REPORT_LIFETIME_MS;
  }

  /**
   * Counts the relays that follow the store. A new relay counts as a follower until its first report is
   * overdue.
   */
  countFollowing(relays: readonly { readonly id: string }[]): number {
    const now = this.clock.elapsed();
    let count = 0;
    for (const { id } of relays) {
      const report = this.reports.get(id);
      if (report === undefined) this.reports.set(id, { at: now, follows: true });
      if (report === undefined || (report.follows && now - report.at <= FOLLOWER_REPORT_LIFETIME_MS))
        count += 1;
    }
    return count;
  }
}
