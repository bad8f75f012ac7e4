/** What work under way is expected to take still. */

/** Least time that work under way is expected to take still, in milliseconds: it can end between two reports. */
export const LEAST_REMAINING_MS = 100;
/**
 * Part of the time taken so far that overdue work is expected to take still. The longer it has taken, the less a
 * figure from before says; with a quarter, an estimate is never below a fifth of the whole time.
 */
const OVERDUE_SHARE = 0.25;

/** Milliseconds that work is expected to take still, given what it was expected to take and has taken. */
export function remainingMs(expectedMs: number, takenMs: number): number {
  if (takenMs < expectedMs) return Math.max(LEAST_REMAINING_MS, expectedMs - takenMs);
  return Math.max(LEAST_REMAINING_MS, takenMs * OVERDUE_SHARE);
}
