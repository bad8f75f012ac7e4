/** What lasts of a verdict and of the evidence before it: records in the store of the deployment. */

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

/** A process that ended under a content; times of day, in milliseconds. */
export interface KeptMark {
  readonly processId: string;
  readonly begunAt: number;
  readonly endedAt: number;
  /** Set where the process ran the content in a trial. */
  readonly isTrial?: true;
}

/**
 * Evidence against a content that has no verdict yet, kept from the second of two ends in a row on, so that it outlasts the daemons that
 * know of it. First ends are kept apart, see {@link CrashBatchRecord}.
 */
export interface SuspectRecord {
  /** Name of the record, see {@link suspectName}. */
  readonly content: string;
  readonly suspect: string;
  readonly marks: readonly KeptMark[];
  readonly foundBy: string;
  /** Time of day, in milliseconds. */
  readonly at: number;
}

/** A process that ended under a content, and which content that was. */
export interface KeptEnd extends KeptMark {
  readonly suspect: string;
}

/**
 * Ends that no other record keeps yet, of all contents that one daemon knows of at the time: one worker that crashes leaves one for each request
 * that it ran, which is common, so that they share a record.
 */
export interface CrashBatchRecord {
  /** Name of the record; no content has it. */
  readonly content: string;
  readonly ends: readonly KeptEnd[];
  readonly foundBy: string;
  /** Time of day, in milliseconds. */
  readonly at: number;
}

/** The right to run a content apart from its like: whoever created the record has it, until the record is gone. */
export interface TrialRecord {
  /** Name of the record, see {@link trialName}. */
  readonly content: string;
  /** Content that is tried, and the process that runs it. */
  readonly trial: string;
  readonly processId: string;
  readonly foundBy: string;
  /** Time of day, in milliseconds. */
  readonly at: number;
}

/** What the store holds. */
export type QuarantineEntry = QuarantineRecord | SuspectRecord | CrashBatchRecord | TrialRecord;

/** Whether an entry is a verdict, and no evidence. */
export function isVerdict(entry: QuarantineEntry): entry is QuarantineRecord {
  return 'processes' in entry;
}

/** Name of the record of evidence against a content. */
export function suspectName(content: string): string {
  return `suspect-${content}`;
}

/** Name of the record of a trial of a content. */
export function trialName(content: string): string {
  return `trial-${content}`;
}

/** Port: the records in the store. Calls may throw, and may then have been carried out. */
export interface QuarantineStore {
  /** Enters a record; one that is there already stays. */
  create(record: QuarantineEntry): Promise<void>;
  /** Enters the record of a trial. Resolves with whether there was none of that name, so that it is this caller's. */
  claim(record: TrialRecord): Promise<boolean>;
  /** Removes a record; of a verdict, the content may run again. */
  remove(content: string): Promise<void>;
}

/** Time for which a content is not run, in milliseconds. By then it may have been mended what it struck. */
export const QUARANTINE_MS = 3_600_000;
