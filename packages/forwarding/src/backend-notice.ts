/** What a back end says of itself in the head of an answer. */

/** What the head of one answer says of a rate limit. */
export type RateLimitNotice =
  /** Names none: the back end takes what comes. */
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly requestsPerSecond: number }
  /** The value means nothing, and changes nothing. */
  | { readonly kind: 'malformed'; readonly value: string };

/** What the head of one answer says. */
export interface BackendNotice {
  /** Requests a second that the back end takes from all daemons together. */
  readonly rateLimit: RateLimitNotice;
}
