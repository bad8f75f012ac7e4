/** Messages of the gossip membership protocol. */
import { definePeerMethod } from './method.js';

/** Observed state of a member. For the same incarnation, a state later in this list replaces an earlier one. */
export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';

/** One run of a daemon process. */
export interface Incarnation {
  readonly id: string;
  /** Distinguishes the runs of the daemon; a later run has a higher number. */
  readonly instance: number;
}

/** One member, as spread by gossip. */
export interface MemberRecord extends Incarnation {
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  /** Capacity of the machine, in hundredths of a core. Members with the highest capacity are preferred for work on behalf of others. */
  readonly capacity: number;
  /** Counter that the member itself increments to refute a suspicion. */
  readonly refutation: number;
  readonly status: MemberStatus;
}

/** A probe or its response; both carry membership updates. */
export interface ProbeMessage {
  readonly from: string;
  readonly updates: readonly MemberRecord[];
  /** Digest of the sender's view of live members. */
  readonly digest: number;
  /** A number supplied by the embedding program, for example its current configuration revision. */
  readonly attachment: number;
  /** Era of the attachment; attachments are comparable within one era only. Absent if the embedding program supplies none. */
  readonly attachmentEra?: number;
}

/** Asks another member to probe a third one. */
export interface IndirectProbeRequest {
  readonly address: string;
  readonly timeoutMs: number;
}

export interface IndirectProbeResponse {
  readonly reached: boolean;
}

/** Synchronizes the complete member lists by exchanging the buckets that differ. */
export interface SyncRequest {
  readonly self: MemberRecord;
  /** One digest per bucket; an empty list requests all members. */
  readonly bucketDigests: readonly number[];
}

export interface SyncResponse {
  readonly differing: readonly number[];
  readonly members: readonly MemberRecord[];
}

/** Updates sent outside of probes, for example a planned leave. */
export interface UpdateMessage {
  readonly updates: readonly MemberRecord[];
}

export type Acknowledgement = Record<string, never>;

export const probeMethod = definePeerMethod<ProbeMessage, ProbeMessage>('membership.probe');
export const indirectProbeMethod = definePeerMethod<IndirectProbeRequest, IndirectProbeResponse>(
  'membership.indirectProbe',
);
export const syncMethod = definePeerMethod<SyncRequest, SyncResponse>('membership.sync');
export const updateMethod = definePeerMethod<UpdateMessage, Acknowledgement>('membership.update');
