/** Messages by which daemons tell each other their load, their claims and what they have read of the store. */
import { definePeerMethod } from './method.js';
import type { BackendNews } from './backend-messages.js';
import type { CrashMarkReport } from './crash-messages.js';
import type { ResidencyChange, ZoneClaim } from './residency-messages.js';

/** Work on one target of one back end; the names are short because there are many. */
export interface LoadEntry {
  /** Back end. */
  readonly b: string;
  /** Target, `model` or `model/adapter`; empty for back ends without models, and in summaries. */
  readonly t: string;
  /** Requests under way. */
  readonly r: number;
  /** Prompt tokens not yet read. */
  readonly u: number;
  /** Tokens held. */
  readonly h: number;
  /** Milliseconds until the last of the requests is expected to have ended. */
  readonly e: number;
}

/** Recent requests for a model. */
export interface DemandEntry {
  /** Model. */
  readonly m: string;
  /** Their number, older ones counting less. */
  readonly w: number;
}

/** A zone and the daemon that coordinates it. */
export interface RelayedClaim extends ZoneClaim {
  readonly holder: string;
  /** Peer address of the holder. */
  readonly address: string;
}

/** How far a daemon has come with records of the store. */
export interface RecordPosition {
  /** Era of the store in which the revision counts; absent from daemons that know no eras. */
  readonly era?: number;
  /** Revision of the newest record seen; 0 before the first listing. */
  readonly revision: number;
  /** Highest version that the records carry themselves; absent where they carry none. */
  readonly version?: number;
}

/** How far the sender has followed the records of one kind. */
export interface SourcePosition extends RecordPosition {
  /** Kind of the records. */
  readonly source: string;
  /** Digest of the names of all records. */
  readonly names: number;
}

/** State of the part of the deployment that the sender speaks for. */
export interface StateReport {
  readonly loads: readonly LoadEntry[];
  readonly demand: readonly DemandEntry[];
  readonly claims: readonly RelayedClaim[];
}

/** What a daemon tells a relay. */
export interface StateReportMessage {
  readonly from: string;
  /** Whether the sender is a relay, and speaks for the daemons attached to it. */
  readonly isRelay: boolean;
  readonly state: StateReport;
  readonly positions: readonly SourcePosition[];
  /** Whether the sender cannot follow the store itself at present. */
  readonly needsRecords: boolean;
  /** Absent from daemons that know no such marks. */
  readonly crashMarks?: CrashMarkReport;
}

/** One record of the store. */
export interface RecordEntry {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
}

/** One record as sent: its value, or the compressed JSON text of a large one. */
export interface SentRecord {
  readonly name: string;
  readonly revision: number;
  readonly value?: unknown;
  /** Raw deflate of the JSON text of the value. */
  readonly packed?: Uint8Array;
}

/** What a daemon lacks of the records of one kind. */
export interface RecordUpdate {
  readonly source: string;
  /** Era of the store in which all revisions of the update count; absent from daemons that know no eras. */
  readonly era?: number;
  /** Revision up to which the sender knows every change. */
  readonly revision: number;
  readonly records: readonly RecordEntry[];
  /** Names of all records there are; absent where the receiver has just these. */
  readonly names?: readonly string[];
}

/** An update as sent. */
export interface SentUpdate extends Omit<RecordUpdate, 'records'> {
  readonly records: readonly SentRecord[];
}

/** Answer to a report. */
export interface StateReportAnswer {
  /** State of the part of the deployment that the answering relay speaks for. */
  readonly state: StateReport;
  /** Whether the answering daemon is a relay, and does not follow the store. */
  readonly isRelay: boolean;
  readonly needsRecords: boolean;
  /** Empty unless asked for. */
  readonly updates: readonly SentUpdate[];
  readonly crashMarks?: CrashMarkReport;
}

/** A daemon's report to the relay of its choice, which answers after a while or when something urgent comes. */
export interface AttachMessage extends StateReportMessage {
  /** Whether loads by target and the demand for models are wanted as well. */
  readonly needsDetail: boolean;
}

/** What a relay tells a daemon that is attached to it. */
export interface AttachAnswer {
  /** False where the receiver is no relay: nothing else counts. */
  readonly isRelay: boolean;
  /** State of all others. */
  readonly state: StateReport;
  readonly updates: readonly SentUpdate[];
  readonly changes: readonly ResidencyChange[];
  /** What back ends said to other daemons lately; absent where nothing is new. */
  readonly backendNews?: readonly BackendNews[];
  readonly crashMarks?: CrashMarkReport;
}

export const stateReportMethod = definePeerMethod<StateReportMessage, StateReportAnswer>('exchange.report');
export const attachMethod = definePeerMethod<AttachMessage, AttachAnswer>('exchange.attach');
