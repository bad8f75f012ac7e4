/** What lasts of a verdict: one record a content, in the store of the deployment. */

/** A content that is not run for a while. */
export interface QuarantineRecord {
  /** Digest of the content; the record's name. */
  readonly content: string;
  /** Processes that ended under it. */
  readonly processes: readonly string[];
  /** Route and id of the attempt that was under way when it was found out; empty for a load. */
  readonly route: string;
  readonly requestId: string;
  /** Of a load: the service, and the model, or `model/adapter@version`, that it loads. */
  readonly load?: string;
  /** Daemon that found it out. */
  readonly foundBy: string;
  /** Time of day, in milliseconds. */
  readonly at: number;
}

/** Port: the records in the store. Calls may throw, and may then have been carried out. */
export interface QuarantineStore {
  /** Enters a record; one that is there already stays. */
  create(record: QuarantineRecord): Promise<void>;
  /** Removes a record: the content may run again. */
  remove(content: string): Promise<void>;
}

/** Time for which a content is not run, in milliseconds. By then it may have been mended what it struck. */
export const QUARANTINE_MS = 3_600_000;
