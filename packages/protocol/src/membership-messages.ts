/** Messages of the membership package. */
import { definePeerMethod } from './method.js';

/** What is believed of a member. Later states win over earlier ones of the same incarnation. */
export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';

/** One member as gossiped. */
export interface MemberRecord {
  readonly id: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  /** What its machine bears, in hundredths of a core: work for others goes to those that bear most. */
  readonly capacity: number;
  /** Identifies one run of the process; a later run has a higher number. */
  readonly instance: number;
  /** Raised by the member itself to refute a suspicion. */
  readonly refutation: number;
  readonly status: MemberStatus;
}

/** A probe and its answer both carry news. */
export interface ProbeMessage {
  readonly from: string;
  readonly updates: readonly MemberRecord[];
  /** Digest of the sender's view of live members. */
  readonly digest: number;
  /** A number of the embedding program, for example the configuration revision in force. */
  readonly attachment: number;
  /** Attachments are compared within one era only; absent where the embedding program tells of none. */
  readonly attachmentEra?: number;
}

/** Asks a third member to probe. */
export interface IndirectProbeRequest {
  readonly address: string;
  readonly timeoutMs: number;
}

export interface IndirectProbeResponse {
  readonly reached: boolean;
}

/** Exchange of whole views, by buckets that differ. */
export interface SyncRequest {
  readonly self: MemberRecord;
  /** One digest a bucket; an empty list asks for everything. */
  readonly bucketDigests: readonly number[];
}

export interface SyncResponse {
  readonly differing: readonly number[];
  readonly members: readonly MemberRecord[];
}

/** News sent outside the probes, for example a planned leave. */
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
