/** Stored records of verdicts, crash evidence and trials. */

/** A verdict: the content is refused until the record expires. */
export interface QuarantineRecord {
  /** Digest of the content, which is the name of the record. */
  readonly content: string;
  /** Ids of the processes that ended while they ran the content. */
  readonly processes: readonly string[];
  /** Route and id of the request whose crash led to the verdict; empty for a load. */
  readonly route: string;
  readonly requestId: string;
  /** Loaded target: the service and either the model or `model/adapter@version`. Only set for loads. */
  readonly load?: string;
  /** Name of the daemon that wrote the record. */
  readonly foundBy: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** A stored crash mark. Times are wall-clock times in milliseconds. */
export interface StoredMark {
  readonly processId: string;
  readonly begunAt: number;
  readonly endedAt: number;
  /** Set if the process ran the content in a trial. */
  readonly isTrial?: true;
  /** Set if the content is a prompt part that had been part of a complete answer before. */
  readonly wasServed?: true;
  /** Hashes of the ids of requests that ran the content on the process, as in a crash mark. */
  readonly attempts?: readonly number[];
}

/**
 * Evidence against a content without a verdict, stored from its second consecutive crash so that it
 * survives the loss of the daemons that observed it. Earlier crashes are stored in a
 * {@link CrashBatchRecord}.
 */
export interface SuspectRecord {
  /** Name of the record, see {@link suspectName}. */
  readonly content: string;
  readonly suspect: string;
  readonly marks: readonly StoredMark[];
  readonly foundBy: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** A stored crash mark with its content. */
export interface StoredCrash extends StoredMark {
  readonly suspect: string;
}

/**
 * Crash marks of several contents that no other record contains. They share a record because a crashed
 * worker leaves a mark for each request that it ran.
 */
export interface CrashBatchRecord {
  /** Name of the record; never equal to a content. */
  readonly content: string;
  readonly ends: readonly StoredCrash[];
  readonly foundBy: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/**
 * The right to run a content in a trial. Held by the daemon that created the record until the record
 * is removed. It stays if the process ended, or if the daemon has not told how the run ended, so that
 * the number of such runs is limited whatever daemons know of each other.
 */
export interface TrialRecord {
  /** Name of the record, see {@link trialName}. */
  readonly content: string;
  /** Content in the trial. `processId` is the process that runs it. */
  readonly trial: string;
  readonly processId: string;
  readonly foundBy: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** Any record of the quarantine. */
export type QuarantineEntry = QuarantineRecord | SuspectRecord | CrashBatchRecord | TrialRecord;

/** Returns whether a record is a verdict. */
export function isVerdict(entry: QuarantineEntry): entry is QuarantineRecord {
  return 'processes' in entry;
}

/** Returns the name of the record of evidence against a content. */
export function suspectName(content: string): string {
  return `suspect-${content}`;
}

/** Returns the name of the record of a content's trial. @param failed Number of its earlier trials whose records stay. */
export function trialName(content: string, failed = 0): string {
  return failed === 0 ? `trial-${content}` : `trial-${content}-${String(failed)}`;
}

/** Port to the stored records. A call that throws may still have taken effect. */
export interface QuarantineStore {
  /** Creates a record. An existing record of that name is not changed. */
  create(record: QuarantineEntry): Promise<void>;
  /** Creates the record of a trial. Returns false if a record of that name already exists. */
  claim(record: TrialRecord): Promise<boolean>;
  /** Removes a record. Removing a verdict allows its content to run again. */
  remove(content: string): Promise<void>;
}

/** Lifetime of a verdict in milliseconds. By then the defect that the content triggers may be fixed. */
export const QUARANTINE_MS = 3_600_000;
