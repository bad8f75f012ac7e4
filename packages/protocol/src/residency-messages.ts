/** Messages about models resident on workers, and about load. */
import { definePeerMethod } from './method.js';

/** A wish that a model or adapter be made resident in the receiver's zone. */
export interface ResidencyDemandMessage {
  /** Zone whose coordinator is asked. */
  readonly zone: string;
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
  /** The worker that must hold it; any of the zone when absent. */
  readonly backEndId?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Milliseconds after which it no longer helps. */
  readonly withinMs: number;
  /** Workers that the sender cannot use now. */
  readonly without: readonly string[];
  /** Wants one more replica beside those there are. */
  readonly another?: boolean;
}

/** Answer to a demand, sent when the target is resident or will not be in time. */
export interface ResidencyDemandAnswer {
  readonly held: boolean;
  /** Empty unless held. */
  readonly backEndId: string;
  readonly retryAfterMs: number;
  readonly reason: string;
}

/** A target that is, or is no longer, resident on a worker. */
export interface ResidencyChange {
  readonly backEndId: string;
  readonly model: string;
  readonly adapter?: string;
  readonly resident: boolean;
}

/** News from a zone's coordinator to all daemons. */
export interface ResidencyChangedMessage {
  readonly changes: readonly ResidencyChange[];
}

/** A zone that the sender coordinates. */
export interface ZoneClaim {
  readonly zone: string;
  readonly fence: number;
}

/** Work of the sender on one target of one back end; the names are short because there are many. */
export interface LoadEntry {
  /** Back end. */
  readonly b: string;
  /** Target, `model` or `model/adapter`; empty for back ends without models. */
  readonly t: string;
  /** Requests under way. */
  readonly r: number;
  /** Prompt tokens not yet read. */
  readonly u: number;
  /** Tokens held. */
  readonly h: number;
  /** Requests started since the last report. */
  readonly s: number;
}

/** How far the sender has followed a source of configuration or back ends. */
export interface SourcePosition {
  readonly source: string;
  readonly revision: number;
}

/** What a daemon tells all others again and again. */
export interface LoadReportMessage {
  readonly from: string;
  readonly claims: readonly ZoneClaim[];
  readonly loads: readonly LoadEntry[];
  readonly positions: readonly SourcePosition[];
}

export type ResidencyAcknowledgement = Record<string, never>;

export const residencyDemandMethod = definePeerMethod<ResidencyDemandMessage, ResidencyDemandAnswer>(
  'residency.demand',
);
export const residencyChangedMethod = definePeerMethod<ResidencyChangedMessage, ResidencyAcknowledgement>(
  'residency.changed',
);
export const loadReportMethod = definePeerMethod<LoadReportMessage, ResidencyAcknowledgement>('load.report');
