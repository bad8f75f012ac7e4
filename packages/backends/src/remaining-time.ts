/** What work under way is expected to take still. */

/** Least time that work under way is expected to take still, in milliseconds: it can end between two reports. */
export const MIN_REMAINING_MS = 100;
/**
 * Part of the time taken so far that overdue work is expected to take still. The longer it has taken, the less a
 * figure from before says; with a quarter, an estimate is never below a fifth of the whole time.
 */
const OVERDUE_RATIO = 0.25;

/** Milliseconds that work is expected to take still, given what it was expected to take and has taken. */
export function remainingMs(expectedMs: number, elapsedMs: number): number {
  if (elapsedMs < expectedMs) return Math.max(MIN_REMAINING_MS, expectedMs - elapsedMs);
  return Math.max(MIN_REMAINING_MS, elapsedMs * OVERDUE_RATIO);
}
