/** Jobs: requests that are accepted at once, run in the background, and can be polled at any daemon. */
import type { Catalog } from '@woodbarrow/configuration';
import { rankByRendezvous, type ClaimsClient } from '@woodbarrow/coordination';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { JobRecord } from '@woodbarrow/protocol';
import {
  BackgroundService,
  type Clock,
  type HttpHeaders,
  type HttpRequest,
  type Random,
} from '@woodbarrow/runtime';
import { CALLER_HEADERS } from './completion-request.js';
import type { CompletionService } from './completions.js';
import { JOB_RETENTION_MS, JobClaims } from './job-claims.js';
import { JobCopies } from './job-copies.js';
import { createJobSuffix, formatJobId, parseJobId } from './job-id.js';
import { COPIES_PER_JOB, JobReplication, type CollectedJob } from './job-replication.js';
import { JobRunner, lostJobError } from './job-runner.js';

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly completions: CompletionService;
  readonly claims: ClaimsClient;
  /** Returns a new request id, unique across all daemons. */
  readonly newRequestId: () => string;
  readonly catalog: Catalog;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether this daemon may start to run jobs: it has a current configuration. */
  readonly canRun: () => boolean;
  /** Called when a job that another daemon had begun got its outcome here. */
  readonly onTakeover?: (jobId: string, outcome: 'finished' | 'lost') => void;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const MAX_STORED_JOBS = 10_000;
const SWEEP_INTERVAL_MS = 1000;
const CANCEL_LIMIT_MS = 2000;
const FORWARDED_HEADERS: readonly string[] = ['content-type', ...Object.values(CALLER_HEADERS)];

/** Accepts, stores, replicates and runs jobs. */
export class JobService extends BackgroundService {
  private readonly copies = new JobCopies();
  private readonly replication: JobReplication;
  private readonly runner: JobRunner;

  constructor(private readonly options: JobServiceOptions) {
    super(options.clock, options.onTaskFailure);
    const { copies } = this;
    const { membership } = options;
    this.replication = new JobReplication({
      copies,
      membership,
      peers: options.peers,
      isExecuting: (jobId) => this.runner.isExecuting(jobId),
    });
    this.runner = new JobRunner({
      ...options,
      copies,
      replication: this.replication,
      claims: new JobClaims(options.claims, membership.local, options.clock),
    });
  }

  /** Number of jobs that this daemon sees to. */
  get active(): number {
    return this.runner.active;
  }

  /** Number of stored jobs. */
  get stored(): number {
    return this.copies.size;
  }

  /** Number of jobs that a planned stop must still hand over: the daemons responsible for them may lack a copy. */
  get pendingHandovers(): number {
    return this.replication.unconfirmedCopies;
  }

  /** Registers the handlers for requests of other daemons and starts the periodic sweep. */
  start(): void {
    this.replication.start();
    this.tasks.loop(
      'gateway.jobs',
      () => SWEEP_INTERVAL_MS,
      () => this.sweep(),
    );
  }

  /**
   * Accepts a job. If there are other daemons, at least one of them has stored the job before this resolves.
   *
   * @throws WoodbarrowError `queue_full` at the limit of stored jobs, `not_ready` when no other daemon stored the job,
   * `outcome_unknown` when one may have stored it and may run it.
   */
  async submit(request: HttpRequest, path: string, tenant: string): Promise<JobRecord> {
    if (this.copies.size >= MAX_STORED_JOBS)
      throw new WoodbarrowError(
        'queue_full',
        `this daemon has reached its limit of ${String(MAX_STORED_JOBS)} stored jobs`,
      );
    const job = this.newJob(request, path, tenant);
    this.copies.merge(job);
    const copyCount = await this.replication.replicate(job.id);
    if (copyCount === 0 && parseJobId(job.id)?.daemonIds.length !== 1) await this.refuse(job);
    this.run(job.id);
    return job;
  }

  /**
   * Returns a job from this daemon or from another one that stores it.
   *
   * @throws WoodbarrowError `not_found`, `not_ready` while daemons that may store the job cannot be reached,
   * `outcome_unknown` when all copies of the job are lost.
   */
  async fetch(jobId: string, tenant: string): Promise<JobRecord> {
    const local = this.copies.get(jobId);
    if (local?.end !== undefined) return ofTenant(local, tenant);
    const collected = await this.replication.collect(jobId);
    if (collected.record !== undefined) return ofTenant(collected.record, tenant);
    throw await this.describeMissing(jobId, tenant, collected);
  }

  private newJob(request: HttpRequest, path: string, tenant: string): JobRecord {
    const { membership, random, clock } = this.options;
    const { id, instance } = membership.local;
    const submittedAt = Math.floor(clock.wall());
    const suffix = createJobSuffix(submittedAt, random);
    const others = membership.eligible().filter((member) => member.id !== id);
    const backups = rankByRendezvous(suffix, others).slice(0, COPIES_PER_JOB - 1);
    return {
      id: formatJobId([id, ...backups.map((member) => member.id)], suffix),
      tenant,
      acceptedBy: { id, instance },
      path,
      headers: pickHeaders(request.headers),
      body: request.body,
      submittedAt,
      proposals: [],
    };
  }

  /** Refuses a job that no other daemon is known to have stored. */
  private async refuse(job: JobRecord): Promise<never> {
    const error = new WoodbarrowError('not_ready', 'no other daemon could store a copy of the job');
    // Another daemon may have stored the job although its response was lost.
    await this.runner.cancel(job, error, CANCEL_LIMIT_MS);
    throw error;
  }

  private run(jobId: string): void {
    this.tasks.spawn(`gateway.job.${jobId}`, (signal) => this.runner.run(jobId, signal));
  }

  /** Deletes expired jobs, copies jobs to daemons that lack them, and runs the jobs this daemon is responsible for. */
  private async sweep(): Promise<void> {
    const now = this.options.clock.wall();
    for (const { record } of this.copies.all()) {
      const isExpired = now - record.submittedAt > JOB_RETENTION_MS;
      if (record.end !== undefined && isExpired) this.copies.delete(record.id);
      else if (record.end === undefined && this.options.canRun()) this.runIfResponsible(record);
    }
    await this.replication.repair();
  }

  private runIfResponsible(job: JobRecord): void {
    if (this.replication.isResponsible(job)) this.run(job.id);
  }

  /** Returns the error for a job of which no daemon in reach has a copy. */
  private async describeMissing(
    jobId: string,
    tenant: string,
    { isIncomplete, mayReturn, hasAbsentKeeper }: CollectedJob,
  ): Promise<WoodbarrowError> {
    const noSuchJob = new WoodbarrowError('not_found', 'no such job');
    const submittedAt = parseJobId(jobId)?.submittedAt;
    if (submittedAt === undefined || this.options.clock.wall() - submittedAt > JOB_RETENTION_MS)
      return noSuchJob;
    const unreachable = new WoodbarrowError(
      'not_ready',
      'the daemons that may store this job cannot be reached',
    );
    if (isIncomplete) return unreachable;
    try {
      const state = await this.runner.describeMissing({ id: jobId, tenant, submittedAt }, mayReturn);
      if (state === 'lost') return lostJobError();
      if (state === 'unreachable') return unreachable;
      return hasAbsentKeeper ? unreachable : noSuchJob;
    } catch {
      // The ledger did not answer, so nothing is known about the job.
      return unreachable;
    }
  }
}

function ofTenant(job: JobRecord, tenant: string): JobRecord {
  if (job.tenant !== tenant) throw new WoodbarrowError('not_found', 'no such job');
  return job;
}

function pickHeaders(headers: HttpHeaders): Record<string, string> {
  const picked: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (value !== undefined) picked[name] = value;
  }
  return picked;
}
