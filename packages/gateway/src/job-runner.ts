/**
 * Runs jobs and decides how they end. The ledger of claims decides which daemon may run a job, and which outcome is final;
 * a daemon that finds the previous runner lost completes its run on its behalf.
 */
import type { Catalog } from '@woodbarrow/configuration';
import type { ClaimsClient } from '@woodbarrow/coordination';
import { WoodbarrowError, isKind, toWoodbarrowError, type ErrorKind } from '@woodbarrow/errors';
import type {
  ClaimResponse,
  Incarnation,
  JobEnd,
  JobRecord,
  SettleClaimRequest,
  SettleClaimResponse,
} from '@woodbarrow/protocol';
import {
  encodeText,
  readBody,
  sleep,
  type Clock,
  type HttpRequest,
  type HttpResponse,
} from '@woodbarrow/runtime';
import { CALLER_HEADERS } from './completion-request.js';
import type { CompletionService } from './completions.js';
import { errorBody, errorResponse } from './error-response.js';
import { endedRecord, runKey, type JobCopies } from './job-copies.js';
import { parseJobId } from './job-id.js';
import type { JobReplication } from './job-replication.js';

/** Options of {@link JobRunner}. */
export interface JobRunnerOptions {
  readonly completions: CompletionService;
  readonly claims: ClaimsClient;
  readonly catalog: Catalog;
  readonly copies: JobCopies;
  readonly replication: JobReplication;
  readonly clock: Clock;
  /** This run of the daemon. */
  readonly local: Incarnation;
  /** Returns a new request id, unique across all daemons. */
  readonly newRequestId: () => string;
  /** Called when a job that another daemon had begun got its outcome here. */
  readonly onTakeover?: (jobId: string, outcome: 'finished' | 'lost') => void;
}

/** What identifies a job and its claim. */
export type JobIdentity = Pick<JobRecord, 'id' | 'tenant' | 'submittedAt'>;

/** Time after its submission for which a job may be run, and for which its outcome is kept, in milliseconds. */
export const JOB_RETENTION_MS = 3_600_000;
/** The claim outlives the copies of a job, so that no daemon with a copy runs the job a second time. */
const CLAIM_LIFETIME_MS = 2 * JOB_RETENTION_MS;
/** All claims of a job's key are for the same work. */
const CLAIM_FINGERPRINT = 'job';
const CLAIM_LIMIT_MS = 5000;
const START_LIMIT_MS = 5000;
const RETRY_PAUSE_MS = 1000;
/** Maximum size of a stored result; a larger one would not fit into a message between daemons. */
export const MAX_RESULT_BYTES = 8 * 1024 * 1024;
/** Errors of a job that has not run and may run later. */
const TEMPORARY_KINDS: readonly ErrorKind[] = ['stopping', 'already_running', 'not_leader'];

/** Runs the jobs for which this daemon is responsible. */
export class JobRunner {
  /** Jobs that a task of this daemon sees to, and those of them that are being run. */
  private readonly attended = new Set<string>();
  private readonly executing = new Set<string>();

  constructor(private readonly options: JobRunnerOptions) {}

  /** Number of jobs that this daemon sees to. */
  get active(): number {
    return this.attended.size;
  }

  /** Whether this daemon is running the job now. */
  isExecuting(jobId: string): boolean {
    return this.executing.has(jobId);
  }

  /** Runs a job until it has a final outcome, another daemon is responsible for it, or `signal` aborts. */
  async run(jobId: string, signal: AbortSignal): Promise<void> {
    if (this.attended.has(jobId)) return;
    this.attended.add(jobId);
    try {
      for (let job = this.openJob(jobId); job !== undefined && !signal.aborted; job = this.openJob(jobId)) {
        await this.advance(job, signal);
        if (this.openJob(jobId) !== undefined) await sleep(this.options.clock, RETRY_PAUSE_MS, signal);
      }
    } finally {
      this.attended.delete(jobId);
    }
  }

  /**
   * Ends a job that was not accepted, so that no daemon with a copy runs it.
   *
   * @throws WoodbarrowError `outcome_unknown` when the ledger did not confirm it within `limitMs`.
   */
  async cancel(job: JobRecord, reason: WoodbarrowError, limitMs: number): Promise<void> {
    const end = await this.endOf(errorResponse(reason));
    const settled = await this.options.claims.settle(
      settlementOf(job, this.claimantHere, 'finished'),
      limitMs,
    );
    if (settled.state !== 'finished' || settled.claimant !== this.claimantHere)
      throw new WoodbarrowError('outcome_unknown', 'another daemon may run this job');
    this.options.copies.merge(endedRecord(job, end));
  }

  /**
   * Determines what became of a job of which no daemon in reach has a copy: `unclaimed` if no daemon has begun it, `lost` if
   * its result is lost and it may have run, `unreachable` if an absent daemon may still have its result.
   *
   * @param mayReturn Whether an absent daemon that may store the job may only be cut off.
   * @throws WoodbarrowError `not_leader` or `outcome_unknown` when the ledger did not answer.
   */
  async describeMissing(job: JobIdentity, mayReturn: boolean): Promise<'unclaimed' | 'lost' | 'unreachable'> {
    const { claims } = this.options;
    const request = { key: claimKeyOf(job), ageMs: Math.ceil(this.ageOf(job)) };
    const { state, claimant = '' } = await claims.describe(request, CLAIM_LIMIT_MS);
    if (state === 'none') return 'unclaimed';
    if (state === 'abandoned') return 'lost';
    const mayHaveResult = state === 'finished' || state === 'unknown';
    if (mayHaveResult && mayReturn) return 'unreachable';
    // The ledger refuses this while the claimant's daemon is present.
    const settled = await claims.settle(settlementOf(job, claimant, 'abandoned'), CLAIM_LIMIT_MS);
    return settled.state === 'running' ? 'unreachable' : 'lost';
  }

  /** Returns the job if it has no final outcome and this daemon must see to it. */
  private openJob(jobId: string): JobRecord | undefined {
    const { copies, replication } = this.options;
    const job = copies.get(jobId);
    if (job === undefined || job.end !== undefined) return undefined;
    const hasOwnProposal = findProposal(job, this.claimantHere) !== undefined;
    return hasOwnProposal || replication.isResponsible(job) ? job : undefined;
  }

  /** One attempt to run the job, or to find out how another daemon's run ended. */
  private async advance(job: JobRecord, signal: AbortSignal): Promise<void> {
    const response = await this.claim(job);
    switch (response?.outcome) {
      case 'granted':
        return this.runClaimed(job, signal);
      case 'finished':
        return this.adoptOutcome(job, response.claimant);
      case 'abandoned':
        return this.finish(job, lostEnd());
      case 'lost':
      case 'unknown':
        return this.settleLost(job, response.claimant);
      case 'running':
      case 'mismatch':
      case undefined:
        // Tried again by the next attempt.
        return;
    }
  }

  /** Claims the job; undefined when the ledger did not answer. */
  private async claim(job: JobRecord): Promise<ClaimResponse | undefined> {
    const { claims, local } = this.options;
    const request = {
      key: claimKeyOf(job),
      claimant: this.claimantHere,
      daemon: { id: local.id, instance: local.instance },
      fingerprint: CLAIM_FINGERPRINT,
      lifetimeMs: CLAIM_LIFETIME_MS,
      ageMs: Math.ceil(this.ageOf(job)),
    };
    try {
      return await claims.claim(request, CLAIM_LIMIT_MS);
    } catch (error) {
      if (isKind(error, 'outcome_unknown', 'queue_full')) return undefined;
      throw error;
    }
  }

  /** Identifies this daemon as claimant. It is the same for all attempts, since only one of them is in progress. */
  private get claimantHere(): string {
    return runKey(this.options.local);
  }

  private async runClaimed(job: JobRecord, signal: AbortSignal): Promise<void> {
    const { copies, replication, claims } = this.options;
    // A proposal is the outcome of an earlier attempt here whose settlement the ledger did not acknowledge.
    if (findProposal(job, this.claimantHere) === undefined) {
      const response = await this.execute(job, signal);
      if (response === undefined) {
        await claims.settle(settlementOf(job, this.claimantHere, 'released'));
        return;
      }
      copies.merge({ ...job, proposals: [await this.endOf(response)] });
      // The result must be able to survive this daemon before the ledger makes it final.
      await replication.replicate(job.id);
    }
    await this.applySettlement(job, await this.settle(job, this.claimantHere, 'finished'));
  }

  /**
   * Runs the job. Returns its response, or undefined when it has not run and may be tried again.
   *
   * @throws WoodbarrowError when this daemon is stopped during the run.
   */
  private async execute(job: JobRecord, signal: AbortSignal): Promise<HttpResponse | undefined> {
    this.executing.add(job.id);
    try {
      return await this.complete(job, signal);
    } catch (thrown) {
      const error = toWoodbarrowError(thrown);
      if (error.ran !== 'yes' && TEMPORARY_KINDS.includes(error.kind)) return undefined;
      if (!signal.aborted) return errorResponse(error);
      if (error.ran === 'no') return undefined;
      throw error;
    } finally {
      this.executing.delete(job.id);
    }
  }

  private async complete(job: JobRecord, signal: AbortSignal): Promise<HttpResponse> {
    const { completions, catalog, claims } = this.options;
    const tenant = catalog.tenant(job.tenant);
    if (tenant === undefined) throw new WoodbarrowError('not_found', 'the tenant of this job does not exist');
    if (this.ageOf(job) > JOB_RETENTION_MS)
      throw new WoodbarrowError('wait_expired', `the job was not run within ${String(JOB_RETENTION_MS)} ms`);
    const headers = this.headersOf(job);
    const request: HttpRequest = { method: 'POST', path: job.path, headers, body: job.body, signal };
    const startRequest = { key: claimKeyOf(job), claimant: this.claimantHere };
    const response = await completions.complete(request, job.path, tenant, this.options.newRequestId(), {
      jobId: job.id,
      beforeDispatch: () => claims.start(startRequest, START_LIMIT_MS),
    });
    return { ...response, body: await readBody(response.body) };
  }

  private ageOf({ submittedAt }: JobIdentity): number {
    return Math.max(0, this.options.clock.wall() - submittedAt);
  }

  /** Headers of the request; the age that the caller stated for its own idempotency key grows with the age of the job. */
  private headersOf(job: JobRecord): Record<string, string> {
    const statedAge = job.headers[CALLER_HEADERS.idempotencyKeyAge];
    if (statedAge === undefined) return { ...job.headers };
    const age = Math.ceil(Number(statedAge) + this.ageOf(job));
    return { ...job.headers, [CALLER_HEADERS.idempotencyKeyAge]: String(age) };
  }

  private async endOf({ status, body }: HttpResponse): Promise<JobEnd> {
    const result = await readBody(body);
    if (result.byteLength <= MAX_RESULT_BYTES) return { claimant: this.claimantHere, status, body: result };
    const error = new WoodbarrowError(
      'limit_exceeded',
      `the result has ${String(result.byteLength)} bytes; the limit of a job is ${String(MAX_RESULT_BYTES)} bytes`,
      { ran: 'yes' },
    );
    return this.endOf(errorResponse(error));
  }

  /** Settles a job whose runner is lost: with an outcome that the runner had copied, or else as lost. */
  private async settleLost(job: JobRecord, claimant: string | undefined): Promise<void> {
    const collected = await this.options.replication.collect(job.id);
    if (collected.isExecuted || collected.isIncomplete) return;
    const { end, proposals } = collected.record ?? job;
    if (end !== undefined) return this.finish(job, end);
    const proposal = proposals.find((candidate) => claimant === undefined || candidate.claimant === claimant);
    const settled = await this.settle(
      job,
      proposal?.claimant ?? claimant ?? this.claimantHere,
      proposal === undefined ? 'abandoned' : 'finished',
    );
    await this.applySettlement(job, settled);
  }

  private async applySettlement(job: JobRecord, settled: SettleClaimResponse | undefined): Promise<void> {
    if (settled?.state === 'finished') await this.adoptOutcome(job, settled.claimant);
    else if (settled?.state === 'abandoned') await this.finish(job, lostEnd());
  }

  /** Ends the job with the outcome that the ledger has made final, as some daemon has copied it. */
  private async adoptOutcome(job: JobRecord, claimant: string | undefined): Promise<void> {
    const { copies, replication } = this.options;
    const ownProposal = findProposal(copies.get(job.id) ?? job, claimant);
    if (ownProposal !== undefined) return this.finish(job, ownProposal);
    const { record, isIncomplete, mayReturn } = await replication.collect(job.id);
    const outcome = record?.end ?? (record === undefined ? undefined : findProposal(record, claimant));
    if (outcome !== undefined) return this.finish(job, outcome);
    // An absent daemon that is only cut off may return with the outcome.
    if (!isIncomplete && !mayReturn) return this.finish(job, lostEnd());
  }

  private async finish(job: JobRecord, end: JobEnd): Promise<void> {
    const { copies, replication, onTakeover } = this.options;
    copies.merge(endedRecord(job, end));
    if (end.claimant !== this.claimantHere)
      onTakeover?.(job.id, end.claimant === undefined ? 'lost' : 'finished');
    await replication.replicate(job.id);
  }

  /** Settles the claim of a job; undefined when the ledger did not acknowledge it. */
  private async settle(
    job: JobRecord,
    claimant: string,
    result: SettleClaimRequest['result'],
  ): Promise<SettleClaimResponse | undefined> {
    try {
      return await this.options.claims.settle(settlementOf(job, claimant, result), CLAIM_LIMIT_MS);
    } catch (error) {
      if (isKind(error, 'outcome_unknown')) return undefined;
      throw error;
    }
  }
}

/** Error of a job whose runner was lost before it copied a result to another daemon. */
export function lostJobError(): WoodbarrowError {
  return new WoodbarrowError(
    'outcome_unknown',
    'the daemon that ran this job was lost before it reported a result; the job may have run',
  );
}

/** Outcome of a lost job, the same at each daemon. */
function lostEnd(): JobEnd {
  const error = lostJobError();
  return { status: error.responseSpec.status, body: encodeText(JSON.stringify(errorBody(error))) };
}

function settlementOf(
  job: JobIdentity,
  claimant: string,
  result: SettleClaimRequest['result'],
): SettleClaimRequest {
  const claim = { fingerprint: CLAIM_FINGERPRINT, lifetimeMs: CLAIM_LIFETIME_MS };
  return { key: claimKeyOf(job), claimant, result, claim };
}

function claimKeyOf({ id, tenant }: JobIdentity): string {
  return `${tenant}/job/${parseJobId(id)?.suffix ?? id}`;
}

function findProposal(job: JobRecord, claimant: string | undefined): JobEnd | undefined {
  return job.proposals.find((proposal) => proposal.claimant === claimant);
}
