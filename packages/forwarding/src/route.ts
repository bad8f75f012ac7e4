/** Routes map requests to services and define deadlines, retries and priority. */

/**
 * How often a request may run, and how it is answered.
 * - `repeatable`: may run more than once.
 * - `once`: runs at most once.
 * - `stream`: runs at most once; its answer is a series of events.
 * - `resumable_stream`: a stream that another run may resume after the last event forwarded.
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
  /** Maximum time for the whole request. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Time without an event after which clients abandon a stream, also before the first event; streams only. */
  readonly clientGapMs?: number;
  /** Target for the longest time between two events; streams only. */
  readonly targetGapMs?: number;
  /** Maximum number of back ends on which one request may run. */
  readonly maximumAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
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
