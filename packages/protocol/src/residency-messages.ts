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
  /** Daemon that announces them. */
  readonly from: string;
  readonly changes: readonly ResidencyChange[];
}

/** A zone that the sender coordinates. */
export interface ZoneClaim {
  readonly zone: string;
  readonly fence: number;
}

export type ResidencyAcknowledgement = Record<string, never>;

export const residencyDemandMethod = definePeerMethod<ResidencyDemandMessage, ResidencyDemandAnswer>(
  'residency.demand',
);
export const residencyChangedMethod = definePeerMethod<ResidencyChangedMessage, ResidencyAcknowledgement>(
  'residency.changed',
);
