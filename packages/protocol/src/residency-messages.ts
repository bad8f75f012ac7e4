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
  /** Set for a load that the weight store schedule counts; absent for all others. */
  readonly fromStore?: boolean;
}

/** Why a zone wants a load from the weight store, in the order in which the scheduler serves the kinds. */
export type StoreWishKind =
  /** The model is asked for and no worker holds it. */
  | 'first'
  /** The model's holders are overloaded. */
  | 'replica'
  /** The model is not asked for yet, and no worker holds it or has a copy. */
  | 'ahead';

/** A load from the weight store that a zone wants. Times are in milliseconds as of the report. */
export interface StoreWish {
  readonly service: string;
  readonly model: string;
  readonly kind: StoreWishKind;
  /** Number of demands that wait for the model in the zone. */
  readonly waiting: number;
  /** Time until the last of them expires; 0 without any. */
  readonly waitingForMs: number;
  /** Recent requests per second, over all daemons, that the load would let be served. */
  readonly requestsPerS: number;
  /** Time of the load at full speed. */
  readonly loadMs: number;
  /** Best worker of the zone for the load. */
  readonly worker: string;
  /** Expected cost of the load there. */
  readonly costMs: number;
  /** Time until that worker could start the load. */
  readonly startableInMs: number;
}

/** A load from the weight store in progress. */
export interface StoreLoadUnderWay {
  readonly service: string;
  readonly model: string;
  readonly kind: StoreWishKind;
  readonly readyInMs: number;
}

/** Number of concurrent loads that the link to the weight store carries at full speed, as measured. */
export interface LinkMeasurement {
  readonly capacity: number;
  readonly measuredAgoMs: number;
}

/** Complete list of a zone's wishes and loads in progress, sent to the scheduler of the weight store. */
export interface StoreWishesMessage {
  readonly zone: string;
  /** Fence of the zone's lease: another coordinator does not know the loads of its predecessor. */
  readonly fence: number;
  readonly wishes: readonly StoreWish[];
  readonly loading: readonly StoreLoadUnderWay[];
  /** Absent until a load has been measured. */
  readonly link?: LinkMeasurement;
}

/** A load that the receiver may start now. */
export interface StoreGrant {
  readonly service: string;
  readonly model: string;
  readonly kind: StoreWishKind;
  /** Milliseconds after which it expires. */
  readonly expiresInMs: number;
}

/** When the scheduler expects a model's load to start. */
export interface ExpectedStoreStart {
  readonly service: string;
  readonly model: string;
  readonly startInMs: number;
}

/** Response of the scheduler of the weight store. */
export interface StoreWishesAnswer {
  readonly grants: readonly StoreGrant[];
  /** Expected starts of the other wishes of the zone. */
  readonly expected: readonly ExpectedStoreStart[];
  /** Expected start of a load that is not listed. */
  readonly nextStartInMs: number;
  /** Newest measurement of all zones; absent while there is none. */
  readonly link?: LinkMeasurement;
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
export const storeWishesMethod = definePeerMethod<StoreWishesMessage, StoreWishesAnswer>(
  'residency.store-wishes',
);
export const residencyChangedMethod = definePeerMethod<ResidencyChangedMessage, ResidencyAcknowledgement>(
  'residency.changed',
);
