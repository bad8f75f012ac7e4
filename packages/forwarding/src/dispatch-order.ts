/** Order of the requests that wait for room on a worker. */

/** What the order depends on. Times are monotonic, in milliseconds. */
export interface WaitingOrder {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Latest time to send the request to meet its target. */
  readonly targetBy: number;
  /** Latest time to send it at all. */
  readonly startBy: number;
  readonly queuedAt: number;
  /** Continues a stream whose answer has begun. */
  readonly isResumption: boolean;
}

/** At least every fourth place on a worker goes to the longest waiting of the less urgent requests. */
export const LESS_URGENT_EVERY = 4;

/**
 * Compares two waiting requests; negative if the first goes first. Resumed streams precede all, since their clients
 * already read. Of equal priority, requests that can still be in time precede late ones: under overload, serving
 * late ones first would make all of them late.
 */
export function compareWaiting(left: WaitingOrder, right: WaitingOrder, now: number): number {
  if (left.isResumption !== right.isResumption) return left.isResumption ? -1 : 1;
  if (left.priority !== right.priority) return left.priority - right.priority;
  const [isLeftLate, isRightLate] = [left.targetBy < now, right.targetBy < now];
  if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
  return isLeftLate ? left.startBy - right.startBy : left.targetBy - right.targetBy;
}

/** Returns the longest waiting of the requests that are less urgent than the given one. */
export function longestWaitingBelow<T extends WaitingOrder>(first: T, waiting: Iterable<T>): T | undefined {
  let longest: T | undefined;
  for (const request of waiting) {
    if (request.isResumption || request.priority <= first.priority) continue;
    if (longest === undefined || request.queuedAt < longest.queuedAt) longest = request;
  }
  return longest;
}

/** Counts the places of each worker that go to urgent requests while less urgent ones wait for it. */
export class LessUrgentTurns {
  private readonly urgentInARow = new Map<string, number>();

  /** Whether the next place of a worker belongs to a less urgent request. */
  isDue(backEndId: string): boolean {
    return (this.urgentInARow.get(backEndId) ?? 0) >= LESS_URGENT_EVERY - 1;
  }

  /** Records a place given. @param passedLessUrgent Whether a less urgent request waits for the same worker. */
  noteGiven(backEndId: string, passedLessUrgent: boolean): void {
    if (passedLessUrgent) this.urgentInARow.set(backEndId, (this.urgentInARow.get(backEndId) ?? 0) + 1);
    else this.urgentInARow.delete(backEndId);
  }
}
