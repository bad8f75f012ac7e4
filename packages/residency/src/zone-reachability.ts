/**
 * Tracks which zones' coordinators answer: local copies in a zone without a coordinator cannot be loaded
 * there.
 */
import type { Clock } from '@woodbarrow/runtime';

/**
 * Time without an answer after which a zone is unreachable, in milliseconds. Replacing a lost coordinator
 * takes about as long as a load from the weight store, so waiting longer gains nothing.
 */
const UNREACHABLE_AFTER_MS = 3000;
/**
 * Maximum time between two failures of the same streak, in milliseconds. After a longer gap the zone may have
 * been reachable meanwhile, because nothing was sent to it.
 */
const MAX_FAILURE_GAP_MS = 1000;

interface FailureStreak {
  /** Monotonic time of the first failed call. */
  since: number;
  /** Monotonic time of the last failed call. */
  lastAt: number;
}

/** Reachability of the zones' coordinators as observed by one daemon. */
export class ZoneReachability {
  private readonly streaks = new Map<string, FailureStreak>();

  constructor(private readonly clock: Clock) {}

  /** Records an answer of a zone's coordinator. */
  recordAnswer(zone: string): void {
    this.streaks.delete(zone);
  }

  /** Records that a zone has no coordinator or that it did not answer. */
  recordFailure(zone: string): void {
    const now = this.clock.monotonic();
    const streak = this.streaks.get(zone);
    if (streak === undefined || now - streak.lastAt > MAX_FAILURE_GAP_MS) {
      this.streaks.set(zone, { since: now, lastAt: now });
    } else {
      streak.lastAt = now;
    }
  }

  /** Whether a zone has failed for so long that its local copies must be disregarded. */
  isUnreachable(zone: string): boolean {
    const streak = this.streaks.get(zone);
    if (streak === undefined) return false;
    const isRecent = this.clock.monotonic() - streak.lastAt <= MAX_FAILURE_GAP_MS;
    return isRecent && streak.lastAt - streak.since >= UNREACHABLE_AFTER_MS;
  }
}
