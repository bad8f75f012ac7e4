/** Estimates the remaining time of work in progress. */

/** Minimum expected remaining time of work in progress, in milliseconds, since it may end between two reports. */
export const MIN_REMAINING_MS = 100;
/**
 * Expected remaining time of overdue work as a ratio of its elapsed time. It grows with the elapsed time
 * because the original estimate becomes less reliable. With 0.25, the estimate is never below a fifth of the
 * whole duration.
 */
const OVERDUE_RATIO = 0.25;

/** Returns the expected remaining milliseconds of work with the given expected and elapsed milliseconds. */
export function remainingMs(expectedMs: number, elapsedMs: number): number {
  if (elapsedMs < expectedMs) return Math.max(MIN_REMAINING_MS, expectedMs - elapsedMs);
  return Math.max(MIN_REMAINING_MS, elapsedMs * OVERDUE_RATIO);
}
