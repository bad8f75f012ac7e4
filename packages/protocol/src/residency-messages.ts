/** Messages about models resident on workers, and about load. */
import { definePeerMethod } from './method.js';

/** A wish that a model or adapter be made resident in the receiver's zone. */
export interface ResidencyDemandMessage {
  /** Zone whose coordinator is asked. */
  readonly zone: string;
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
  /** The only version of the adapter that will do; any when absent. */
  readonly adapterVersion?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Milliseconds after which it no longer helps. */
  readonly withinMs: number;
  /** Workers that the sender cannot use now. */
  readonly without: readonly string[];
  /** Milliseconds after which an answer to the request earns less; `withinMs` when absent. */
  readonly targetMs?: number;
  /** Wants one more replica beside those there are. */
  readonly another?: boolean;
  /** Whether the weight store may be used: not while a worker has a copy that can be loaded in much less time. */
  readonly mayUseStore: boolean;
  /** Only asks how long it would take: nothing is loaded, and the answer tells it as `retryAfterMs`. */
  readonly quote?: boolean;
}

/** Answer to a demand, sent when the target is resident or will not be in time. */
export interface ResidencyDemandAnswer {
  readonly held: boolean;
  /** Empty unless held. */
  readonly backEndId: string;
  readonly retryAfterMs: number;
  readonly reason: string;
  /** Of a quote: milliseconds for which the load would occupy a worker. */
  readonly occupiesMs?: number;
}

/** A target that is, or is no longer, resident on a worker. */
export interface ResidencyChange {
  readonly backEndId: string;
  readonly model: string;
  readonly adapter?: string;
  readonly adapterVersion?: number;
  readonly resident: boolean;
}

/** News from a zone's coordinator to all daemons. */
export interface ResidencyChangedMessage {
  /** Daemon that announces them. */
  readonly from: string;
  readonly changes: readonly ResidencyChange[];
}

/** A load under way. */
export interface LoadUnderWay {
  readonly model: string;
  /** Milliseconds until the model is expected to be resident, when it was told. */
  readonly readyInMs: number;
}

/** A zone that the sender coordinates. */
export interface ZoneClaim {
  readonly zone: string;
  readonly fence: number;
  /** Loads from the weight store under way on the zone's workers; all zones share its link. */
  readonly storeLoads: number;
  /** Models that the zone's workers load now: no other zone loads them as well. */
  readonly loading: readonly LoadUnderWay[];
  /** Revision of the lease's record after the last write of the sender that the store confirmed. */
  readonly leaseRevision: number;
  /** Era of the store in which that revision counts; absent from daemons that know no eras. */
  readonly leaseEra?: number;
  /** Milliseconds since that write began, when the claim was first told. */
  readonly confirmedAgoMs: number;
}

/** Word of a lease's holder to a witness that it still uses the lease. */
export interface LeaseContactMessage {
  /** Name of the lease. */
  readonly lease: string;
  /** Era and revision of its record as the holder knows it; the era is absent from daemons that know none. */
  readonly era?: number;
  readonly revision: number;
}

/** Answer of a witness to a holder. */
export interface LeaseContactAnswer {
  readonly accepted: boolean;
  /** The witness's run: another one than the holder named counts for nothing. */
  readonly instance: number;
}

/** Wish of a candidate that the holder of a lease be refused. */
export interface LeaseRefusalMessage {
  readonly lease: string;
  /** Era and revision of the record that the candidate is about to replace; the era is absent from daemons that know none. */
  readonly era?: number;
  readonly revision: number;
}

/** Answer of a witness to a candidate. */
export interface LeaseRefusalAnswer {
  readonly agreed: boolean;
  readonly lastContactAgoMs: number;
  readonly instance: number;
}

/** Word to a daemon that was started again: a zone's lease is still recorded as its own. */
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
