/** What a back end says of itself in the head of an answer. */

/** One thing that it may say of itself. */
export type NoticeField<Value> =
  /** It says nothing of it. */
  | { readonly kind: 'none' }
  | { readonly kind: 'said'; readonly value: Value }
  /** The text cannot be read, and changes nothing. */
  | { readonly kind: 'malformed'; readonly text: string };

/** What the head of one answer says. */
export interface BackendNotice {
  /** Requests a second that the back end takes from all daemons together. */
  readonly requestsPerSecond: NoticeField<number>;
  /** The back end will end soon, and takes no new requests. */
  readonly leaving: NoticeField<true>;
  /** Milliseconds for which the back end wants no requests from this daemon. */
  readonly pauseMs: NoticeField<number>;
}

/** A notice that says nothing. */
export const EMPTY_NOTICE: BackendNotice = {
  requestsPerSecond: { kind: 'none' },
  leaving: { kind: 'none' },
  pauseMs: { kind: 'none' },
};
