/** Messages that share what back ends advertise in their responses. */
import { definePeerMethod } from './method.js';

/** A back end's observed rate limit and the age of that observation. */
export interface RateLimitReport {
  /** Limit for all daemons together; absent if the back end no longer advertises one. */
  readonly requestsPerSecond?: number;
  /** Milliseconds since the response that advertised this limit. */
  readonly heardAgoMs: number;
}

/** A change of the rate limit that a back end advertises. */
export interface RateLimitNews {
  readonly kind: 'rate_limit';
  readonly backEndId: string;
  readonly rateLimit: RateLimitReport;
}

/** A back end has announced that it is shutting down. */
export interface LeavingNews {
  readonly kind: 'leaving';
  readonly backEndId: string;
}

/** A back end has become brittle or no longer is. */
export interface BrittlenessNews {
  readonly kind: 'brittle';
  readonly backEndId: string;
  /** Requests that the back end may decline in a second before it falls over; absent if it is no longer brittle. */
  readonly declinesPerSecond?: number;
  /** Milliseconds since the response that showed this. */
  readonly heardAgoMs: number;
}

/** A notice from a back end, as received by one daemon. */
export type BackendNotification = RateLimitNews | LeavingNews | BrittlenessNews;

/** A daemon reaches no back end although others do, or reaches them again. */
export interface IsolationNews {
  readonly kind: 'isolation';
  /** Name of the daemon. */
  readonly daemon: string;
  readonly isIsolated: boolean;
}

/** What one daemon tells all others about the back ends. Kinds that only a newer build knows are ignored. */
export type BackendNews = BackendNotification | IsolationNews;

/** Forwards back end notices from the daemon that received them to other daemons. */
export interface BackendNewsMessage {
  readonly from: string;
  readonly news: readonly BackendNews[];
}

export const backendNewsMethod = definePeerMethod<BackendNewsMessage, Record<string, never>>(
  'exchange.backend_news',
);
