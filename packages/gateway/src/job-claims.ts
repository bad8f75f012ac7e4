/** Claims of jobs. Each job runs under a claim of its own, and the settlement of that claim decides how the job ended. */
import type { ClaimsClient } from '@woodbarrow/coordination';
import { isKind } from '@woodbarrow/errors';
import type {
  ClaimResponse,
  DescribeClaimResponse,
  Incarnation,
  JobRecord,
  SettleClaimRequest,
  SettleClaimResponse,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { runKey } from './job-copies.js';
import { parseJobId } from './job-id.js';

/** What identifies a job and its claim. */
export type JobIdentity = Pick<JobRecord, 'id' | 'tenant' | 'submittedAt'>;

/** Time after its submission for which a job may be run, and for which its outcome is kept, in milliseconds. */
export const JOB_RETENTION_MS = 3_600_000;
/** The claim outlives the copies of a job, so that no daemon with a copy runs the job a second time. */
const CLAIM_LIFETIME_MS = 2 * JOB_RETENTION_MS;
/** All claims of a job's key are for the same work. */
const CLAIM_FINGERPRINT = 'job';
/** Time after which a call to the ledger is given up, in milliseconds. */
const CALL_LIMIT_MS = 5000;

/** Makes the claims of one daemon. */
export class JobClaims {
  /** Identifies this run of the daemon as claimant. It is the same for all attempts, of which one is in progress at a time. */
  readonly claimantHere: string;

  constructor(
    private readonly claims: ClaimsClient,
    private readonly local: Incarnation,
    private readonly clock: Clock,
  ) {
    this.claimantHere = runKey(local);
  }

  /** Milliseconds since a job was submitted. */
  ageOf({ submittedAt }: JobIdentity): number {
    return Math.max(0, this.clock.wall() - submittedAt);
  }

  /** Claims a job for this daemon; undefined when the ledger did not answer. */
  async claim(job: JobIdentity): Promise<ClaimResponse | undefined> {
    const { id, instance } = this.local;
    const request = {
      key: keyOf(job),
      claimant: this.claimantHere,
      daemon: { id, instance },
      fingerprint: CLAIM_FINGERPRINT,
      lifetimeMs: CLAIM_LIFETIME_MS,
      ageMs: Math.ceil(this.ageOf(job)),
    };
    try {
      return await this.claims.claim(request, CALL_LIMIT_MS);
    } catch (error) {
      if (isKind(error, 'outcome_unknown', 'queue_full')) return undefined;
      throw error;
    }
  }

  /** States that the run of a job is about to begin. @throws as {@link ClaimsClient.start}; the run must then not begin. */
  start(job: JobIdentity): Promise<void> {
    return this.claims.start({ key: keyOf(job), claimant: this.claimantHere }, CALL_LIMIT_MS);
  }

  /** Releases the claim of a job that has not run. Resolves once the ledger has acknowledged it. */
  async release(job: JobIdentity): Promise<void> {
    await this.claims.settle(settlementOf(job, this.claimantHere, 'released'));
  }

  /**
   * Settles the claim of a job, by default that of this daemon.
   *
   * @param limitMs Milliseconds after which to stop retrying.
   * @returns the final state of the claim, or undefined when the ledger did not acknowledge the settlement.
   */
  async settle(
    job: JobIdentity,
    result: 'finished' | 'abandoned',
    claimant = this.claimantHere,
    limitMs = CALL_LIMIT_MS,
  ): Promise<SettleClaimResponse | undefined> {
    try {
      return await this.claims.settle(settlementOf(job, claimant, result), limitMs);
    } catch (error) {
      if (isKind(error, 'outcome_unknown')) return undefined;
      throw error;
    }
  }

  /** Returns the state of a job's claim. @throws WoodbarrowError `not_leader` when the ledger did not answer. */
  describe(job: JobIdentity): Promise<DescribeClaimResponse> {
    return this.claims.describe({ key: keyOf(job), ageMs: Math.ceil(this.ageOf(job)) }, CALL_LIMIT_MS);
  }
}

function settlementOf(
  job: JobIdentity,
  claimant: string,
  result: SettleClaimRequest['result'],
): SettleClaimRequest {
  const claim = { fingerprint: CLAIM_FINGERPRINT, lifetimeMs: CLAIM_LIFETIME_MS };
  return { key: keyOf(job), claimant, result, claim };
}

function keyOf({ id, tenant }: JobIdentity): string {
  return `${tenant}/job/${parseJobId(id)?.suffix ?? id}`;
}
