/** Expected waits for room on workers, and what they mean for a request. Times in milliseconds. */

/** Interval at which waiting requests look for room, in milliseconds; well below the shortest target of 200 ms. */
export const DISPATCH_POLL_MS = 50;
/** Time before the latest time to send in time at which a request is sent to preempt; covers two polls. */
const PREEMPTION_MARGIN_MS = 2 * DISPATCH_POLL_MS;
/** Minimum retry delay before any run has ended, in milliseconds; a slot is rarely free again sooner. */
const MIN_RETRY_MS = 250;
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

/** State of a waiting request whose holders are all full. */
export interface FullWorkerFacts {
  /** Time until it must be sent to meet its target; negative if that has passed. */
  readonly targetLeftMs: number;
  /** Time until it must be sent at all. */
  readonly startLeftMs: number;
  /** Whether the least loaded worker is expected to preempt a less urgent request for it. */
  readonly preempts: boolean;
  /** Expected wait for a slot on that worker. */
  readonly waitOnWorkerMs: number;
  /** Returns the same if the requests ahead in the queue are sent there first; a function, since few decisions need it. */
  readonly waitBehindQueueMs: () => number;
}

/**
 * What to do with a waiting request that has no place. Preemption makes a stream pause, so that a request which would
 * cause it is sent only when it would otherwise miss its target. One whose target has passed goes to a full worker at
 * the latest time at which it can still be served, unless requests that are ahead of it need the places.
 */
export function decideWithoutRoom(facts: FullWorkerFacts): 'wait' | 'send' | 'refuse' {
  const { targetLeftMs, startLeftMs, preempts, waitOnWorkerMs, waitBehindQueueMs } = facts;
  if (preempts && targetLeftMs <= PREEMPTION_MARGIN_MS) return 'send';
  // A late request that the queue will not serve in its time is not held until that time is up.
  if (targetLeftMs < 0 && waitBehindQueueMs() > startLeftMs) return 'refuse';
  if (startLeftMs - waitOnWorkerMs > DISPATCH_POLL_MS) return 'wait';
  return startLeftMs >= waitBehindQueueMs() ? 'send' : 'refuse';
}

/**
 * Whether a full worker is expected to preempt a less urgent request for a new one: whether the requests that are at
 * least as urgent do not fill its slots.
 *
 * @param lessUrgentShare Share of the slot time that goes to less urgent requests.
 */
export function isPreemptionExpected(requests: number, slots: number, lessUrgentShare: number): boolean {
  return lessUrgentShare > 0 && requests * (1 - lessUrgentShare) < slots;
}

/** Returns the suggested retry delay after an expected wait. @param random Uniform number in [0, 1). */
export function spreadRetryMs(waitMs: number, random: number): number {
  return Math.max(MIN_RETRY_MS, waitMs) * (1 + RETRY_SPREAD * random);
}
