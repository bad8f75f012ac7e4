/** What daemons tell each other of processes of back ends that ended while they ran a request. */

/** One process that ended while it ran, or may have run, a content; the names are short because there may be many. */
export interface CrashMarkEntry {
  /** Digest of the request's content. */
  readonly c: string;
  /** The process: id of the back end, which each start of it changes. */
  readonly p: string;
  /** Milliseconds since the request was sent to it. */
  readonly b: number;
  /** Milliseconds since the process was seen to have ended. */
  readonly e: number;
  /** Set once a later run of the same content ended well: the mark then counts no more. */
  readonly x?: true;
  /** Set where the process ended while it ran the content apart from all others that had ended several. */
  readonly t?: true;
}

/** The marks that a daemon knows. */
export interface CrashMarkReport {
  /** Digest of all of them; 0 when there are none. */
  readonly digest: number;
  /** All of them; absent where the receiver is known to have the same. */
  readonly marks?: readonly CrashMarkEntry[];
}
