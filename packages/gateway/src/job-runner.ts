/**
 * Runs jobs and decides how they end. The ledger of claims decides which daemon may run a job, and which outcome is final;
 * a daemon that finds the previous runner lost completes its run on its behalf.
 */
import type { Catalog } from '@woodbarrow/configuration';
import { WoodbarrowError, toWoodbarrowError, type ErrorKind } from '@woodbarrow/errors';
import type { JobEnd, JobRecord, SettleClaimResponse } from '@woodbarrow/protocol';
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
import { JOB_RETENTION_MS, type JobClaims, type JobIdentity } from './job-claims.js';
import { endedRecord, type JobCopies } from './job-copies.js';
import type { JobReplication } from './job-replication.js';

/** Options of {@link JobRunner}. */
export interface JobRunnerOptions {
  readonly completions: CompletionService;
  readonly claims: JobClaims;
  readonly catalog: Catalog;
  readonly copies: JobCopies;
  readonly replication: JobReplication;
  readonly clock: Clock;
  /** Returns a new request id, unique across all daemons. */
  readonly newRequestId: () => string;
  /** Called when a job that another daemon had begun got its outcome here. */
  readonly onTakeover?: (jobId: string, outcome: 'finished' | 'lost') => void;
}

const RETRY_PAUSE_MS = 1000;
/** Maximum size of a stored result; a larger one would not fit into a message between daemons. */
const MAX_RESULT_BYTES = 8 * 1024 * 1024;
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
    const { claims, copies } = this.options;
    const end = await this.endOf(errorResponse(reason));
    const settled = await claims.settle(job, 'finished', claims.claimantHere, limitMs);
    if (settled?.state !== 'finished' || settled.claimant !== claims.claimantHere)
      throw new WoodbarrowError('outcome_unknown', 'another daemon may run this job');
    copies.merge(endedRecord(job, end));
  }

  /**
   * Determines what became of a job of which no daemon in reach has a copy: `unclaimed` if no daemon has begun it, `lost` if
   * its result is lost and it may have run, `unreachable` if an absent daemon may still have its result.
   *
   * @param mayReturn Whether an absent daemon that may store the job may only be cut off.
   * @throws WoodbarrowError `not_leader` when the ledger did not answer.
   */
  async describeMissing(job: JobIdentity, mayReturn: boolean): Promise<'unclaimed' | 'lost' | 'unreachable'> {
    const { claims } = this.options;
    const { state, claimant = '' } = await claims.describe(job);
    if (state === 'none') return 'unclaimed';
    if (state === 'abandoned') return 'lost';
    const mayHaveResult = state === 'finished' || state === 'unknown';
    if (mayHaveResult && mayReturn) return 'unreachable';
    // The ledger refuses this while the claimant's daemon is present.
    const settled = await claims.settle(job, 'abandoned', claimant);
    return settled === undefined || settled.state === 'running' ? 'unreachable' : 'lost';
  }

  /** Returns the job if it has no final outcome and this daemon must see to it. */
  private openJob(jobId: string): JobRecord | undefined {
    const { copies, replication, claims } = this.options;
    const job = copies.get(jobId);
    if (job === undefined || job.end !== undefined) return undefined;
    const hasOwnProposal = findProposal(job, claims.claimantHere) !== undefined;
    return hasOwnProposal || replication.isResponsible(job) ? job : undefined;
  }

  /** One attempt to run the job, or to find out how another daemon's run ended. */
  private async advance(job: JobRecord, signal: AbortSignal): Promise<void> {
    const response = await this.options.claims.claim(job);
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

  private async runClaimed(job: JobRecord, signal: AbortSignal): Promise<void> {
    const { copies, replication, claims } = this.options;
    // A proposal is the outcome of an earlier attempt here whose settlement the ledger did not acknowledge.
    if (findProposal(job, claims.claimantHere) === undefined) {
      const response = await this.execute(job, signal);
      if (response === undefined) return claims.release(job);
      copies.merge({ ...job, proposals: [await this.endOf(response)] });
      // The result must be able to survive this daemon before the ledger makes it final.
      await replication.replicate(job.id);
    }
    await this.applySettlement(job, await claims.settle(job, 'finished'));
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
    const { completions, catalog, claims, newRequestId } = this.options;
    const tenant = catalog.tenant(job.tenant);
    if (tenant === undefined) throw new WoodbarrowError('not_found', 'the tenant of this job does not exist');
    if (claims.ageOf(job) > JOB_RETENTION_MS)
      throw new WoodbarrowError('wait_expired', `the job was not run within ${String(JOB_RETENTION_MS)} ms`);
    const headers = this.headersOf(job);
    const request: HttpRequest = { method: 'POST', path: job.path, headers, body: job.body, signal };
    const response = await completions.complete(request, job.path, tenant, newRequestId(), {
      jobId: job.id,
      beforeDispatch: () => claims.start(job),
    });
    return { ...response, body: await readBody(response.body) };
  }

  /** Headers of the request; the age that the caller stated for its own idempotency key grows with the age of the job. */
  private headersOf(job: JobRecord): Record<string, string> {
    const statedAge = job.headers[CALLER_HEADERS.idempotencyKeyAge];
    if (statedAge === undefined) return { ...job.headers };
    const age = Math.ceil(Number(statedAge) + this.options.claims.ageOf(job));
    return { ...job.headers, [CALLER_HEADERS.idempotencyKeyAge]: String(age) };
  }

  private async endOf({ status, body }: HttpResponse): Promise<JobEnd> {
    const result = await readBody(body);
    const claimant = this.options.claims.claimantHere;
    if (result.byteLength <= MAX_RESULT_BYTES) return { claimant, status, body: result };
    const error = new WoodbarrowError(
      'limit_exceeded',
      `the result has ${String(result.byteLength)} bytes; the limit of a job is ${String(MAX_RESULT_BYTES)} bytes`,
      { ran: 'yes' },
    );
    return this.endOf(errorResponse(error));
  }

  /** Settles a job whose runner is lost: with an outcome that the runner had copied, or else as lost. */
  private async settleLost(job: JobRecord, claimant: string | undefined): Promise<void> {
    const { replication, claims } = this.options;
    const collected = await replication.collect(job.id);
    if (collected.isExecuted || collected.isIncomplete) return;
    const { end, proposals } = collected.record ?? job;
    if (end !== undefined) return this.finish(job, end);
    const proposal = proposals.find((candidate) => claimant === undefined || candidate.claimant === claimant);
    const result = proposal === undefined ? 'abandoned' : 'finished';
    await this.applySettlement(job, await claims.settle(job, result, proposal?.claimant ?? claimant));
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
    const { copies, replication, claims, onTakeover } = this.options;
    copies.merge(endedRecord(job, end));
    if (end.claimant !== claims.claimantHere)
      onTakeover?.(job.id, end.claimant === undefined ? 'lost' : 'finished');
    await replication.replicate(job.id);
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

function findProposal(job: JobRecord, claimant: string | undefined): JobEnd | undefined {
  return job.proposals.find((proposal) => proposal.claimant === claimant);
}
