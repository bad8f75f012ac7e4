/** Messages by which daemons share their load, zone claims and progress in reading the store. */
import { definePeerMethod } from './method.js';
import type { BackendNews } from './backend-messages.js';
import type { CrashMarkReport } from './crash-messages.js';
import type { ResidencyChange, ZoneClaim } from './residency-messages.js';

/** Load of one target on one back end. Field names are short because there are many entries. */
export interface LoadEntry {
  /** Back end id. */
  readonly b: string;
  /** Target, `model` or `model/adapter`; empty for back ends without models, and in summaries. */
  readonly t: string;
  /** Requests in progress. */
  readonly r: number;
  /** Prompt tokens not yet processed. */
  readonly u: number;
  /** Tokens held in memory by the requests in progress. */
  readonly h: number;
  /** Milliseconds until the last request in progress is expected to finish. */
  readonly e: number;
}

/** Recent demand for a model. */
export interface DemandEntry {
  /** Model name. */
  readonly m: string;
  /** Number of recent requests, weighted by recency. */
  readonly w: number;
}

/** Pace of one worker. All figures are integers, which take less space. */
export interface PaceReport {
  /** Back end id. */
  readonly b: string;
  /** Mean of the reported figures, in percent of the usual time. */
  readonly p: number;
  /** Number of figures, weighted by recency, in hundredths. */
  readonly w: number;
}

/** A zone claim with the daemon that made it. */
export interface RelayedClaim extends ZoneClaim {
  readonly holder: string;
  /** Peer address of the holder. */
  readonly address: string;
}

/** Position up to which a daemon has read records of the store. */
export interface RecordPosition {
  /** Era of the store to which the revision belongs; absent from daemons without support for eras. */
  readonly era?: number;
  /** Highest revision received; 0 before the first listing. */
  readonly revision: number;
  /** Highest version number inside the records; absent if the records have none. */
  readonly version?: number;
}

/** Position up to which the sender has read the records of one kind. */
export interface SourcePosition extends RecordPosition {
  /** Kind of the records. */
  readonly source: string;
  /** Digest of the names of all records of this kind. */
  readonly names: number;
}

/** State of the part of the deployment that a daemon reports on. */
export interface StateReport {
  readonly loads: readonly LoadEntry[];
  readonly demand: readonly DemandEntry[];
  readonly claims: readonly RelayedClaim[];
  /**
   * Pace of the workers that report it. Absent if there are none, from daemons without support for it, and from reports that
   * follow soon after one with paces; the previous ones then stay in effect until they expire.
   */
  readonly paces?: readonly PaceReport[];
}

/** Report of a daemon to a relay. */
export interface StateReportMessage {
  readonly from: string;
  /** Whether the sender is a relay that also reports for the daemons attached to it. */
  readonly isRelay: boolean;
  readonly state: StateReport;
  readonly positions: readonly SourcePosition[];
  /** Whether the sender currently cannot read the store itself and needs records from the relay. */
  readonly needsRecords: boolean;
  /** Absent from daemons without support for crash records. */
  readonly crashMarks?: CrashMarkReport;
}

/** One record of the store. */
export interface RecordEntry {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
}

/** One record as sent: its value, or for large records the compressed JSON text of the value. */
export interface SentRecord {
  readonly name: string;
  readonly revision: number;
  readonly value?: unknown;
  /** Raw deflate of the JSON text of the value. */
  readonly packed?: Uint8Array;
}

/** Records of one kind that the receiver lacks. */
export interface RecordUpdate {
  readonly source: string;
  /** Era of the store to which all revisions of the update belong; absent from daemons without support for eras. */
  readonly era?: number;
  /** Revision up to which the sender has received every change. */
  readonly revision: number;
  readonly records: readonly RecordEntry[];
  /** Names of all existing records; absent if the receiver already has exactly these. */
  readonly names?: readonly string[];
}

/** A {@link RecordUpdate} as sent, with large records compressed. */
export interface SentUpdate extends Omit<RecordUpdate, 'records'> {
  readonly records: readonly SentRecord[];
}

/** Response to a report. */
export interface StateReportAnswer {
  /** State of the part of the deployment that the responding relay reports on. */
  readonly state: StateReport;
  /** Whether the responder is a relay. */
  readonly isRelay: boolean;
  /** Whether the responder currently cannot read the store itself and needs records from the sender. */
  readonly needsRecords: boolean;
  /** Empty unless the report requested records. */
  readonly updates: readonly SentUpdate[];
  readonly crashMarks?: CrashMarkReport;
}

/** A daemon's report to the relay it is attached to. The relay responds after a delay, or at once if something urgent arrives. */
export interface AttachMessage extends StateReportMessage {
  /** Whether the response should include loads by target and the demand for models. */
  readonly needsDetail: boolean;
}

/** Response of a relay to an attached daemon. */
export interface AttachAnswer {
  /** False if the responder is not a relay; all other fields are then to be ignored. */
  readonly isRelay: boolean;
  /** State of the rest of the deployment. */
  readonly state: StateReport;
  readonly updates: readonly SentUpdate[];
  readonly changes: readonly ResidencyChange[];
  /** Recent back end notices received by other daemons; absent if there are none. */
  readonly backendNews?: readonly BackendNews[];
  readonly crashMarks?: CrashMarkReport;
}

export const stateReportMethod = definePeerMethod<StateReportMessage, StateReportAnswer>('exchange.report');
export const attachMethod = definePeerMethod<AttachMessage, AttachAnswer>('exchange.attach');
