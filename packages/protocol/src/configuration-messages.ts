/** Messages that distribute the platform configuration between daemons. */
import type { Acknowledgement } from './membership-messages.js';
import { definePeerMethod } from './method.js';

/** One platform object as sent between daemons. A null value marks a deletion. */
export interface ConfigurationEntry {
  readonly key: string;
  /** Platform revision of the object's last change. */
  readonly revision: number;
  readonly value: object | null;
}

/** The changes between two revisions, or a full snapshot. */
export interface ConfigurationUpdate {
  /** Minimum revision that the receiver must have applied; 0 marks a full snapshot. */
  readonly baseRevision: number;
  readonly revision: number;
  readonly entries: readonly ConfigurationEntry[];
}

/** An update forwarded down the distribution tree. */
export interface PushRequest {
  readonly update: ConfigurationUpdate;
  /** Peer addresses to which the receiver forwards the update. */
  readonly forwardTo: readonly string[];
}

export interface PullRequest {
  /** Revision that the caller has applied. */
  readonly revision: number;
}

export interface PullResponse {
  /** Absent if the responder has no newer revision than the caller. */
  readonly update?: ConfigurationUpdate;
  /** Revision of the responder; 0 while it has not yet confirmed that it is up to date. */
  readonly revision: number;
}

export const pushConfigurationMethod = definePeerMethod<PushRequest, Acknowledgement>('configuration.push');
export const pullConfigurationMethod = definePeerMethod<PullRequest, PullResponse>('configuration.pull');
