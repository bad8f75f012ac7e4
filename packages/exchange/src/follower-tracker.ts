/** Which relays follow the store, from what they tell again and again. */
import type { Clock } from '@woodbarrow/runtime';

/** Time for which a relay's word that it follows the store is believed, in milliseconds: three of its reports. */
const FOLLOWER_REPORT_LIFETIME_MS = 1000;

interface FollowerReport {
  readonly at: number;
  readonly follows: boolean;
}

/** Words of relays as one of them hears them. */
export class FollowerTracker {
  private readonly reports = new Map<string, FollowerReport>();

  constructor(private readonly clock: Clock) {}

  /** A relay has told whether it follows the store. */
  recordReport(relayId: string, follows: boolean): void {
    this.reports.set(relayId, { at: this.clock.elapsed(), follows });
  }

  /** Whether a relay has told lately that it follows the store. */
  isFollowing(relayId: string): boolean {
    const report = this.reports.get(relayId);
    return report?.follows === true && this.clock.elapsed() - report.at <= FOLLOWER_REPORT_LIFETIME_MS;
  }

  /** How many of some relays follow the store. One that is new is given the time of a word to begin. */
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
