/**
 * Jobs are submitted once and can be polled at any daemon. A job's id lists the daemons that store a copy of it.
 * The first of them that is present runs the job, under a claim on the job's key, which guards against a second execution.
 */
import type { Catalog } from '@woodbarrow/configuration';
import { rankByRendezvous } from '@woodbarrow/coordination';
import { WoodbarrowError, isKind } from '@woodbarrow/errors';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import { fetchJobMethod, storeJobMethod, type JobRecord } from '@woodbarrow/protocol';
import {
  BackgroundService,
  readBody,
  type Clock,
  type HttpHeaders,
  type HttpRequest,
  type HttpResponse,
  type Random,
} from '@woodbarrow/runtime';
import { CALLER_HEADERS } from './completion-request.js';
import type { CompletionService } from './completions.js';
import { errorResponse } from './error-response.js';

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly completions: CompletionService;
  /** Returns a new request id, unique across all daemons. */
  readonly newRequestId: () => string;
  readonly catalog: Catalog;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const DAEMON_ID_SEPARATOR = '~';
const ID_PREFIX = 'job_';
/** Number of daemons that store a job, including the one that runs it. */
const COPIES_PER_JOB = 3;
const JOB_RETENTION_MS = 3_600_000;
const MAX_STORED_JOBS = 10_000;
const SWEEP_INTERVAL_MS = 2000;
const PEER_CALL_TIMEOUT_MS = 1500;
const FORWARDED_HEADERS: readonly string[] = ['content-type', ...Object.values(CALLER_HEADERS)];

/** Accepts, stores, replicates and runs jobs. */
export class JobService extends BackgroundService {
  private readonly jobs = new Map<string, JobRecord>();
  private readonly running = new Set<string>();

  constructor(private readonly options: JobServiceOptions) {
    super(options.clock, options.onTaskFailure);
  }

  /** Number of jobs that this daemon is running. */
  get active(): number {
    return this.running.size;
  }

  /** Registers the handlers for requests of other daemons and starts the periodic sweep. */
  start(): void {
    const { peers } = this.options;
    peers.handle(storeJobMethod, (request) => {
      this.storeLocally(request.job);
      return {};
    });
    peers.handle(fetchJobMethod, (request) => {
      const job = this.jobs.get(request.jobId);
      return job === undefined ? {} : { job };
    });
    this.tasks.loop(
      'gateway.jobs',
      () => SWEEP_INTERVAL_MS,
      () => {
        this.sweep();
        return Promise.resolve();
      },
    );
  }

  /**
   * Accepts a job. If there are other daemons, at least one of them has stored the job before this resolves.
   *
   * @throws WoodbarrowError `queue_full` at the limit of stored jobs, `not_ready` when no other daemon stored the job.
   */
  async submit(request: HttpRequest, path: string, tenant: string): Promise<JobRecord> {
    if (this.jobs.size >= MAX_STORED_JOBS)
      throw new WoodbarrowError('queue_full', 'this daemon has reached its limit of stored jobs');
    const { membership, random, clock } = this.options;
    const suffix = random.id();
    const others = membership.eligible().filter((member) => member.id !== membership.local.id);
    const backups = rankByRendezvous(suffix, others).slice(0, COPIES_PER_JOB - 1);
    const daemonIds = [membership.local.id, ...backups.map((member) => member.id)];
    const job: JobRecord = {
      id: `${ID_PREFIX}${[...daemonIds, suffix].join(DAEMON_ID_SEPARATOR)}`,
      tenant,
      state: 'queued',
      path,
      headers: pickHeaders(request.headers),
      body: request.body,
      submittedAt: clock.wall(),
    };
    const copies = await this.replicate(job);
    if (others.length > 0 && copies === 0)
      throw new WoodbarrowError('not_ready', 'no other daemon could store a copy of the job');
    this.storeLocally(job);
    this.run(job);
    return job;
  }

  /**
   * Returns a job from this daemon or from another one that stores it.
   *
   * @throws WoodbarrowError `not_found`
   */
  async fetch(jobId: string, tenant: string): Promise<JobRecord> {
    const local = this.jobs.get(jobId);
    let latest = local;
    if (local === undefined || local.state === 'queued') latest = (await this.fetchFromPeers(jobId)) ?? local;
    if (latest === undefined || latest.tenant !== tenant)
      throw new WoodbarrowError('not_found', 'no such job');
    return latest;
  }

  private async fetchFromPeers(jobId: string): Promise<JobRecord | undefined> {
    let found: JobRecord | undefined;
    for (const daemonId of daemonIdsOf(jobId)) {
      const member = this.options.membership.get(daemonId);
      if (member === undefined || daemonId === this.options.membership.local.id) continue;
      const response = await this.options.peers
        .call(member.address, fetchJobMethod, { jobId }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
        .catch(() => undefined);
      found = response?.job ?? found;
      if (found !== undefined && found.state !== 'queued') return found;
    }
    return found;
  }

  private storeLocally(job: JobRecord): void {
    const stored = this.jobs.get(job.id);
    // A late copy in state `queued` must not overwrite a finished job.
    if (stored !== undefined && stored.state !== 'queued') return;
    this.jobs.set(job.id, job);
  }

  /** Sends a job to the other daemons listed in its id. Returns the number of daemons that stored it. */
  private async replicate(job: JobRecord): Promise<number> {
    const { membership, peers } = this.options;
    const acknowledgements = await Promise.all(
      daemonIdsOf(job.id).map(async (daemonId) => {
        const member = membership.get(daemonId);
        if (member === undefined || daemonId === membership.local.id) return 0;
        return peers
          .call(member.address, storeJobMethod, { job }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
          .then(() => 1)
          .catch(() => 0);
      }),
    );
    return acknowledgements.reduce<number>((total, count) => total + count, 0);
  }

  private run(job: JobRecord): void {
    if (this.running.has(job.id)) return;
    this.running.add(job.id);
    this.tasks.spawn(`gateway.job.${job.id}`, async (signal) => {
      try {
        const response = await this.execute(job, signal);
        // The job stays queued, so that the next daemon in its id runs it after this daemon has stopped.
        if (signal.aborted || response === undefined) return;
        const result = await readBody(response.body);
        const finished: JobRecord = {
          ...job,
          state: response.status === 200 ? 'finished' : 'failed',
          status: response.status,
          result,
        };
        this.storeLocally(finished);
        await this.replicate(finished);
      } finally {
        this.running.delete(job.id);
      }
    });
  }

  /** Runs the job. Returns its response, or undefined when this daemon is stopping and did not run it. */
  private async execute(job: JobRecord, signal: AbortSignal): Promise<HttpResponse | undefined> {
    const tenant = this.options.catalog.tenant(job.tenant);
    const key = job.headers[CALLER_HEADERS.idempotencyKey] ?? job.id;
    const age = Math.max(0, this.options.clock.wall() - job.submittedAt);
    const headers = {
      ...job.headers,
      [CALLER_HEADERS.idempotencyKey]: key.slice(-MAX_JOB_KEY_LENGTH),
      [CALLER_HEADERS.idempotencyKeyAge]: String(Math.round(age)),
    };
    try {
      if (tenant === undefined)
        throw new WoodbarrowError('not_found', 'the tenant of this job does not exist');
      const request = { method: 'POST', path: job.path, headers, body: job.body, signal };
      return await this.options.completions.complete(request, job.path, tenant, this.options.newRequestId());
    } catch (error) {
      if (isKind(error, 'stopping')) return undefined;
      return errorResponse(error);
    }
  }

  /** Deletes expired jobs, and runs queued jobs when all daemons before this one in the job's id are absent. */
  private sweep(): void {
    const now = this.options.clock.wall();
    for (const [id, job] of this.jobs) {
      if (now - job.submittedAt > JOB_RETENTION_MS && !this.running.has(id)) this.jobs.delete(id);
      else if (job.state === 'queued' && this.isFirstPresentDaemon(id)) this.run(job);
    }
  }

  private isFirstPresentDaemon(jobId: string): boolean {
    const { membership } = this.options;
    const present = new Set(membership.present().map((member) => member.id));
    const first = daemonIdsOf(jobId).find((daemonId) => present.has(daemonId));
    return first === membership.local.id;
  }
}

/** Maximum length of the idempotency key under which a job runs; the end of a longer key is used. */
const MAX_JOB_KEY_LENGTH = 200;

function daemonIdsOf(jobId: string): string[] {
  return jobId.slice(ID_PREFIX.length).split(DAEMON_ID_SEPARATOR).slice(0, -1);
}

function pickHeaders(headers: HttpHeaders): Record<string, string> {
  const picked: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (value !== undefined) picked[name] = value;
  }
  return picked;
}
