/** Messages about the models resident on workers, zone claims and lease witnesses. */
import { definePeerMethod } from './method.js';

/** Requests that a model or adapter be made resident in a zone that the receiver coordinates. */
export interface ResidencyDemandMessage {
  /** Zone whose coordinator is asked. */
  readonly zone: string;
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
  /** Required version of the adapter; any version if absent. */
  readonly adapterVersion?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Milliseconds after which residency is no longer useful to the sender. */
  readonly withinMs: number;
  /** Workers that the sender currently cannot use. */
  readonly without: readonly string[];
  /** Target time in milliseconds, after which a response to the request has less value; `withinMs` if absent. */
  readonly targetMs?: number;
  /** Requests one replica in addition to the existing ones. */
  readonly another?: boolean;
  /** Whether loading from the weight store is allowed; false while a worker has a copy that loads much faster. */
  readonly mayUseStore: boolean;
  /** Requests only an estimate: nothing is loaded, and `retryAfterMs` of the response is the expected time. */
  readonly quote?: boolean;
}

/** Response to a demand, sent once the target is resident or cannot become resident in time. */
export interface ResidencyDemandAnswer {
  /** Whether the target is resident. */
  readonly held: boolean;
  /** Back end that has the target; empty unless `held`. */
  readonly backEndId: string;
  readonly retryAfterMs: number;
  readonly reason: string;
  /** For a quote: milliseconds for which the load would occupy a worker. */
  readonly occupiesMs?: number;
}

/** A target that became resident on a worker or is no longer resident there. */
export interface ResidencyChange {
  readonly backEndId: string;
  readonly model: string;
  readonly adapter?: string;
  readonly adapterVersion?: number;
  readonly resident: boolean;
}

/** Residency changes that a zone coordinator announces to all daemons. */
export interface ResidencyChangedMessage {
  /** Daemon that announces the changes. */
  readonly from: string;
  readonly changes: readonly ResidencyChange[];
}

/** A load in progress. */
export interface LoadUnderWay {
  readonly model: string;
  /** Milliseconds until the model is expected to be resident, as of the time of the report. */
  readonly readyInMs: number;
  /** Worker that loads it; absent from daemons of an older version. */
  readonly backEndId?: string;
}

/** Announces that the sender coordinates a zone, with its lease and the loads in progress. */
export interface ZoneClaim {
  readonly zone: string;
  readonly fence: number;
  /** Number of loads from the weight store in progress on the zone's workers; all zones share the link to the store. */
  readonly storeLoads: number;
  /** Models that the zone's workers are loading; other zones do not load them at the same time. */
  readonly loading: readonly LoadUnderWay[];
  /** Revision of the lease record after the sender's last write that the store confirmed. */
  readonly leaseRevision: number;
  /** Era of the store to which that revision belongs; absent from daemons without support for eras. */
  readonly leaseEra?: number;
  /** Milliseconds since that write began, as of the time the claim was first reported. */
  readonly confirmedAgoMs: number;
}

/** Notifies a witness that the holder of a lease still uses it. */
export interface LeaseContactMessage {
  /** Name of the lease. */
  readonly lease: string;
  /** Era and revision of the lease record as cached by the holder; the era is absent from daemons without support for eras. */
  readonly era?: number;
  readonly revision: number;
}

/** Response of a witness to a lease holder. */
export interface LeaseContactAnswer {
  readonly accepted: boolean;
  /** Identifies the run of the witness process; the holder ignores a response from any other run than the one it named. */
  readonly instance: number;
}

/** A candidate asks a witness to refuse the current holder of a lease from now on. */
export interface LeaseRefusalMessage {
  readonly lease: string;
  /** Era and revision of the lease record that the candidate is about to replace; the era is absent from daemons without support for eras. */
  readonly era?: number;
  readonly revision: number;
}

/** Response of a witness to a candidate. */
export interface LeaseRefusalAnswer {
  readonly agreed: boolean;
  readonly lastContactAgoMs: number;
  readonly instance: number;
}

/** Notifies a restarted daemon that it is still recorded as the holder of a zone's lease. */
export interface LeaseResumeMessage {
  readonly zone: string;
}

export type ResidencyAcknowledgement = Record<string, never>;

export const residencyDemandMethod = definePeerMethod<ResidencyDemandMessage, ResidencyDemandAnswer>(
  'residency.demand',
);
export const leaseContactMethod = definePeerMethod<LeaseContactMessage, LeaseContactAnswer>(
  'residency.lease_contact',
);
export const leaseRefusalMethod = definePeerMethod<LeaseRefusalMessage, LeaseRefusalAnswer>(
  'residency.lease_refusal',
);
export const leaseResumeMethod = definePeerMethod<LeaseResumeMessage, ResidencyAcknowledgement>(
  'residency.lease_resume',
);
export const residencyChangedMethod = definePeerMethod<ResidencyChangedMessage, ResidencyAcknowledgement>(
  'residency.changed',
);
