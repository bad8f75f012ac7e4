/** Messages of the coordination package: leases with replicated records, and claims. */
import type { Acknowledgement, Incarnation } from './membership-messages.js';
import { definePeerMethod } from './method.js';

/** One voter: a single run of a daemon process. */
export interface Voter {
  readonly id: string;
  readonly address: string;
  readonly instance: number;
}

/** The voters of a group in one epoch, as recorded in the platform. */
export interface VoterSet {
  readonly group: string;
  readonly epoch: number;
  readonly voters: readonly Voter[];
}

/** One replicated record. A null value marks a deletion. */
export interface LeaseRecord {
  readonly key: string;
  readonly term: number;
  readonly sequence: number;
  readonly value: object | null;
}

/** Identifies a voter in one epoch; a voter refuses messages for an earlier run or epoch. */
export interface Seat {
  readonly group: string;
  readonly epoch: number;
  readonly instance: number;
}

export interface AcquireRequest {
  readonly seat: Seat;
  /** Included when the voter has not received this epoch yet. */
  readonly set?: VoterSet;
  readonly holder: string;
  readonly holderAddress: string;
  readonly term: number;
  readonly durationMs: number;
  /** True when the sender already holds this term. */
  readonly renewal: boolean;
}

/** A voter's decision on a lease request, with the reason for a refusal. */
export type VoteOutcome = 'granted' | 'held' | 'old_term' | 'unknown_epoch' | 'old_epoch' | 'not_a_voter';

export interface AcquireResponse {
  readonly outcome: VoteOutcome;
  /** Highest term granted in this epoch. */
  readonly term: number;
  /** Holder of that term's lease; absent once it has expired. */
  readonly holder?: string;
  readonly holderAddress?: string;
  readonly remainingMs: number;
  /** All replicated records; included only in the first grant of a term. */
  readonly records?: readonly LeaseRecord[];
}

export interface WriteRequest {
  readonly seat: Seat;
  readonly term: number;
  readonly records: readonly LeaseRecord[];
}

export interface WriteResponse {
  readonly accepted: boolean;
}

export interface ReleaseRequest {
  readonly seat: Seat;
  readonly term: number;
}

/** Closes an epoch at a voter before the next epoch starts. */
export interface SealRequest {
  readonly seat: Seat;
}

export interface SealResponse {
  readonly sealed: boolean;
  readonly records: readonly LeaseRecord[];
}

export interface DescribeLeaseRequest {
  readonly group: string;
}

export interface DescribeLeaseResponse {
  readonly epoch: number;
  readonly holder?: string;
  readonly holderAddress?: string;
  readonly remainingMs: number;
}

export const acquireMethod = definePeerMethod<AcquireRequest, AcquireResponse>('lease.acquire');
export const writeMethod = definePeerMethod<WriteRequest, WriteResponse>('lease.write');
export const releaseMethod = definePeerMethod<ReleaseRequest, Acknowledgement>('lease.release');
export const sealMethod = definePeerMethod<SealRequest, SealResponse>('lease.seal');
export const describeLeaseMethod = definePeerMethod<DescribeLeaseRequest, DescribeLeaseResponse>(
  'lease.describe',
);

/** Requests the exclusive right to run the work identified by an idempotency key. */
export interface ClaimRequest {
  readonly key: string;
  /** Identifies the attempt; the same claimant may repeat its request. */
  readonly claimant: string;
  /** Daemon that the claimant runs on. A claim without one is never taken over. */
  readonly daemon?: Incarnation;
  /** Digest of the work, to detect a key reused for different work. */
  readonly fingerprint: string;
  /** Retention time of the key, in milliseconds. */
  readonly lifetimeMs: number;
  /** Age of the key in milliseconds, if the caller stated it. */
  readonly ageMs?: number;
  /** Id of the job that the work belongs to; the job stores the response. */
  readonly jobId?: string;
}

/**
 * Result of a claim:
 *
 * - `granted`: the claimant holds the key, and must start the claim before it begins the work.
 * - `running`: another claimant holds the key.
 * - `lost`: the work was started, and the daemon of its claimant has ended without settling the claim.
 * - `finished`: the work has ended.
 * - `abandoned`: the claim was given up after its claimant was lost; the work may have run.
 * - `unknown`: the ledger cannot determine whether the key was used before.
 * - `mismatch`: the key was used for different work.
 */
export type ClaimOutcome = 'granted' | 'running' | 'lost' | 'finished' | 'abandoned' | 'unknown' | 'mismatch';

export interface ClaimResponse {
  readonly outcome: ClaimOutcome;
  /** Claimant that holds or held the key; absent with `unknown` and `mismatch`. */
  readonly claimant?: string;
  /** With `finished`, the stored response while it is retained. */
  readonly answer?: Uint8Array;
  /** With `finished`, id of the job that stores the response. */
  readonly jobId?: string;
}

/** States that the work of a claim is about to begin; from then on no other claimant is granted the key. */
export interface StartClaimRequest {
  readonly key: string;
  readonly claimant: string;
}

export interface StartClaimResponse {
  /** False when the claimant no longer holds the key, and must not begin the work. */
  readonly started: boolean;
}

/**
 * Ends a claim: `finished` by its claimant or on its behalf, `released` if the work is certain not to have run, or
 * `abandoned` once the claimant is lost. The first settlement is final, except for a release.
 */
export interface SettleClaimRequest {
  readonly key: string;
  readonly claimant: string;
  readonly result: 'finished' | 'released' | 'abandoned';
  /** What the claim carried; a ledger that has lost the claim needs it to record its end. */
  readonly claim?: Pick<ClaimRequest, 'fingerprint' | 'lifetimeMs'>;
  readonly answer?: Uint8Array;
}

/**
 * State of a claim after a settlement. It differs from the requested result when the claim was settled before, or when
 * it belongs to another claimant. `running` means that it has not been settled, `released` that the key is not claimed.
 */
export interface SettleClaimResponse {
  readonly state: 'running' | 'finished' | 'released' | 'abandoned';
  /** Claimant whose work the state refers to; absent with `released`. */
  readonly claimant?: string;
}

/** Asks for the state of a claim without claiming its key. */
export interface DescribeClaimRequest {
  readonly key: string;
  /** Age of the key in milliseconds. */
  readonly ageMs: number;
}

export interface DescribeClaimResponse {
  /** `none` means that the key was certainly not claimed. */
  readonly state: 'none' | 'unknown' | 'waiting' | 'started' | 'finished' | 'abandoned';
  /** Claimant that holds or held the key; absent with `none` and `unknown`. */
  readonly claimant?: string;
}

export const claimMethod = definePeerMethod<ClaimRequest, ClaimResponse>('claims.claim');
export const startClaimMethod = definePeerMethod<StartClaimRequest, StartClaimResponse>('claims.start');
export const settleClaimMethod = definePeerMethod<SettleClaimRequest, SettleClaimResponse>('claims.settle');
export const describeClaimMethod = definePeerMethod<DescribeClaimRequest, DescribeClaimResponse>(
  'claims.describe',
);
