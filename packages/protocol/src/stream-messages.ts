/** Messages that share where streams began, so that any daemon can take them up at the same software version. */
import { definePeerMethod } from './method.js';

/** Origin of one stream. Field names are short because there is an entry for each stream. */
export interface StreamOriginEntry {
  /** Id of the request that brought the stream's first event. */
  readonly i: string;
  /** Service. */
  readonly s: string;
  /** Software version of the worker that began the stream. */
  readonly v: string;
  /** Milliseconds for which the stream may still be taken up. */
  readonly r: number;
}

/** Asks a daemon to keep copies of the origins of streams that another one began. */
export interface KeepStreamOriginsMessage {
  readonly from: string;
  readonly entries: readonly StreamOriginEntry[];
}

export const keepStreamOriginsMethod = definePeerMethod<KeepStreamOriginsMessage, Record<string, never>>(
  'streams.keep_origins',
);

/** Asks a daemon for the origin of a stream. */
export interface FindStreamOriginMessage {
  readonly streamId: string;
}

/** Answer to {@link FindStreamOriginMessage}. */
export interface FindStreamOriginAnswer {
  /** Absent if the daemon does not know the stream. */
  readonly origin?: StreamOriginEntry;
}

export const findStreamOriginMethod = definePeerMethod<FindStreamOriginMessage, FindStreamOriginAnswer>(
  'streams.find_origin',
);
