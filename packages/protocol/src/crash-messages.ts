/** Messages that share crash records: back end processes that exited while they ran a request. */

/** Crash of one process that was, or may have been, running a request. Field names are short because there may be many entries. */
export interface CrashMarkEntry {
  /** Digest of the request's content, which identifies repeated requests. */
  readonly c: string;
  /** Id of the back end process; it changes with each start. */
  readonly p: string;
  /** Milliseconds since the request was sent to the process. */
  readonly b: number;
  /** Milliseconds since the exit of the process was observed. */
  readonly e: number;
  /** Set once a later run of the same content succeeded, which invalidates this entry. */
  readonly x?: true;
  /** Set if the crash happened in a trial, in which the content ran separately from other contents with several crashes. */
  readonly t?: true;
  /** Set if the content is a prompt part that had been part of a complete answer before. */
  readonly s?: true;
  /** Hashes of the ids of requests that ran the content on the process; two are enough to tell one from several. */
  readonly a?: readonly number[];
}

/** The crash records that a daemon has. */
export interface CrashMarkReport {
  /** Digest of all records; 0 when there are none. */
  readonly digest: number;
  /** All records; absent if the receiver already has the same ones or was sent them recently. */
  readonly marks?: readonly CrashMarkEntry[];
}
