/** Which zones' coordinators answer: the copies of weights in a zone without one cannot be loaded there. */
import type { Clock } from '@woodbarrow/runtime';

/**
 * Silence after which a zone is out of reach, in milliseconds. A lost coordinator is replaced in about five seconds; a load
 * from the weight store takes about as long, so that waiting longer before it is begun helps nobody.
 */
const UNREACHABLE_AFTER_MS = 3000;
/** Silences further apart than this are not taken for one, in milliseconds: nobody asked in between. */
const MAX_FAILURE_GAP_MS = 1000;

interface FailureStreak {
  /** Monotonic time of the first call that was not answered. */
  since: number;
  /** Monotonic time of the last one. */
  lastAt: number;
}

/** Answers and silences of the zones' coordinators, as one daemon sees them. */
export class ZoneReachability {
  private readonly streaks = new Map<string, FailureStreak>();

  constructor(private readonly clock: Clock) {}

  /** A zone's coordinator has answered. */
  recordAnswer(zone: string): void {
    this.streaks.delete(zone);
  }

  /** A zone has no coordinator, or it did not answer. */
  recordFailure(zone: string): void {
    const now = this.clock.monotonic();
    const streak = this.streaks.get(zone);
    if (streak === undefined || now - streak.lastAt > MAX_FAILURE_GAP_MS) {
      this.streaks.set(zone, { since: now, lastAt: now });
    } else {
      streak.lastAt = now;
    }
  }

  /** Whether a zone has been asked in vain for so long that others must do without what its workers have. */
  isUnreachable(zone: string): boolean {
    const streak = this.streaks.get(zone);
    if (streak === undefined) return false;
    const isRecent = this.clock.monotonic() - streak.lastAt <= MAX_FAILURE_GAP_MS;
    return isRecent && streak.lastAt - streak.since >= UNREACHABLE_AFTER_MS;
  }
}
