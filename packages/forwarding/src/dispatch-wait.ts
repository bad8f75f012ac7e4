/** Expected waits for room on workers, and what they mean for a request. Times in milliseconds. */

/** Interval at which waiting requests look for room, in milliseconds; well below the shortest target of 200 ms. */
export const DISPATCH_POLL_MS = 50;
/** Maximum random addition to a suggested retry delay, as a share of it, so that callers do not return all at once. */
const RETRY_SPREAD = 0.5;

/** Holders of a target and the requests before a new one. */
export interface WaitFacts {
  /** Waiting requests that go first, over all daemons. */
  readonly ahead: number;
  /** Requests in progress on all holders, at most their slots. */
  readonly running: number;
  /** Mean duration of a run; undefined before any run has ended. */
  readonly meanRunMs: number | undefined;
}

/** Returns the expected time until a place is free for a request; 0 if nothing is known yet. */
export function expectedWaitMs({ ahead, running, meanRunMs }: WaitFacts): number {
  if (meanRunMs === undefined) return 0;
  return ((ahead + 1) * meanRunMs) / Math.max(1, running);
}

/** Returns the expected time until a request that is sent to a worker gets a slot there. */
export function expectedWaitOnWorkerMs(
  requests: number,
  slots: number,
  meanRunMs: number | undefined,
): number {
  if (requests < slots || meanRunMs === undefined) return 0;
  return ((requests - slots + 1) * meanRunMs) / slots;
}

/**
 * What to do with a waiting request that has no place: `wait`, `send` it to a full worker while it can still be served
 * there, or `refuse` it.
 */
export function decideWithoutRoom(leftMs: number, waitOnWorkerMs: number): 'wait' | 'send' | 'refuse' {
  if (leftMs - waitOnWorkerMs > DISPATCH_POLL_MS) return 'wait';
  return leftMs >= waitOnWorkerMs ? 'send' : 'refuse';
}

/** Returns the suggested retry delay after an expected wait. @param random Uniform number in [0, 1). */
export function spreadRetryMs(waitMs: number, random: number): number {
  return waitMs * (1 + RETRY_SPREAD * random);
}
