/** Routes: which requests may be passed to which services, and under what terms. */

/**
 * What may be done with a request.
 * - `repeatable`: may run more than once.
 * - `once`: runs at most once.
 * - `stream`: runs at most once; its answer is a series of events.
 * - `resumable_stream`: a stream that another run may take up after the last event passed on.
 */
export type RequestKind = 'repeatable' | 'once' | 'stream' | 'resumable_stream';

/** A service that a route sends to, and its share. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the other targets of the route; above 0. */
  readonly weight: number;
}

/** One route. Times in milliseconds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time a request may be held. */
  readonly timeoutMs: number;
  /** Time in which an answer, or the first event of a stream, should come. */
  readonly targetLatencyMs: number;
  /** Time without an event after which clients leave a stream, before the first event too; streams only. */
  readonly clientGapMs?: number;
  /** Longest pause between two events that is still in time; streams only. */
  readonly targetGapMs?: number;
  /** Back ends that one request may run on. */
  readonly maximumAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Needs no key. */
  readonly isPublic: boolean;
  /** At least one. */
  readonly targets: readonly RouteTarget[];
}

/** Whether a request may be sent to another back end after it may have run. */
export function mayRunAgain(kind: RequestKind): boolean {
  return kind === 'repeatable' || kind === 'resumable_stream';
}

/** Whether the answer is a series of events. */
export function isStream(kind: RequestKind): boolean {
  return kind === 'stream' || kind === 'resumable_stream';
}
