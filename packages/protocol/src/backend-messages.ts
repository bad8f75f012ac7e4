/** Messages about what back ends say of themselves in their answers. */
import { definePeerMethod } from './method.js';

/** What is known of a back end's rate limit, and how old that is. */
export interface RateLimitReport {
  /** Over all daemons together; absent where the back end names none any more. */
  readonly requestsPerSecond?: number;
  /** Milliseconds since the answer that said so. */
  readonly heardAgoMs: number;
}

/** A change in what a back end says of its rate limit. */
export interface RateLimitNews {
  readonly kind: 'rate_limit';
  readonly backEndId: string;
  readonly rateLimit: RateLimitReport;
}

/** A back end has said that it leaves. */
export interface LeavingNews {
  readonly kind: 'leaving';
  readonly backEndId: string;
}

/** What a back end said to one daemon. */
export type BackendNews = RateLimitNews | LeavingNews;

/** News from a daemon that heard it to all others. */
export interface BackendNewsMessage {
  readonly from: string;
  readonly news: readonly BackendNews[];
}

export const backendNewsMethod = definePeerMethod<BackendNewsMessage, Record<string, never>>(
  'exchange.backend_news',
);
