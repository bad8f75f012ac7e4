/** Messages about models resident on workers, and about load. */
import { definePeerMethod } from './method.js';

/** A wish that a model or adapter be made resident in the receiver's zone. */
export interface ResidencyDemandMessage {
  /** Zone whose coordinator is asked. */
  readonly zone: string;
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
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
  /** Set when the request comes back once when told to: the longest time after which it does, in milliseconds. */
  readonly longestReturnMs?: number;
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
  readonly resident: boolean;
}

/** News from a zone's coordinator to all daemons. */
export interface ResidencyChangedMessage {
  /** Daemon that announces them. */
  readonly from: string;
  readonly changes: readonly ResidencyChange[];
}

/** A zone that the sender coordinates. */
export interface ZoneClaim {
  readonly zone: string;
  readonly fence: number;
  /** Loads from the weight store under way on the zone's workers; all zones share its link. */
  readonly storeLoads: number;
  /** Revision of the lease's record after the last write of the sender that the store confirmed. */
  readonly leaseRevision: number;
  /** Milliseconds since that write began, when the claim was first told. */
  readonly confirmedAgoMs: number;
}

export type ResidencyAcknowledgement = Record<string, never>;

export const residencyDemandMethod = definePeerMethod<ResidencyDemandMessage, ResidencyDemandAnswer>(
  'residency.demand',
);
export const residencyChangedMethod = definePeerMethod<ResidencyChangedMessage, ResidencyAcknowledgement>(
  'residency.changed',
);
