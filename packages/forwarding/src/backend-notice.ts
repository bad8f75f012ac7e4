/** Notices that a back end gives in the headers of its answers. */

/** One field of a notice. */
export type NoticeField<Value> =
  /** The header is absent. */
  | { readonly kind: 'none' }
  | { readonly kind: 'said'; readonly value: Value }
  /** The text cannot be parsed; it is ignored. */
  | { readonly kind: 'malformed'; readonly text: string };

/** Notice in the headers of one answer. */
export interface BackendNotice {
  /** Rate limit of the back end over all daemons, in requests per second. */
  readonly requestsPerSecond: NoticeField<number>;
  /** The back end will exit soon and accepts no new requests. */
  readonly leaving: NoticeField<true>;
  /** The back end falls over when it has to decline more requests than this in a second for want of room. */
  readonly declinesPerSecond: NoticeField<number>;
  /** Milliseconds for which this daemon should send no requests to the back end. */
  readonly pauseMs: NoticeField<number>;
}

/** Notice without any field. */
export const EMPTY_NOTICE: BackendNotice = {
  requestsPerSecond: { kind: 'none' },
  leaving: { kind: 'none' },
  declinesPerSecond: { kind: 'none' },
  pauseMs: { kind: 'none' },
};
