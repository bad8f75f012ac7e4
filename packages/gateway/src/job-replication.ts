/**
 * Replication of jobs. The daemon that accepted a job, while it is present, and the daemons that rank highest for the job's
 * id are its keepers; the first of them is responsible for running the job. Each daemon with a copy makes sure that the
 * responsible keeper has one, and the responsible keeper makes sure that the other keepers do.
 */
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  fetchJobMethod,
  storeJobMethod,
  type Incarnation,
  type JobRecord,
  type MemberRecord,
  type StoreJobRequest,
  type StoreJobResponse,
} from '@woodbarrow/protocol';
import { hasMoreOutcomes, runKey, type JobCopies, type JobCopy } from './job-copies.js';
import { parseJobId } from './job-id.js';

/** Options of {@link JobReplication}. */
export interface JobReplicationOptions {
  readonly copies: JobCopies;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  /** Whether this daemon is running the job now. */
  readonly isExecuting: (jobId: string) => boolean;
}

/** What the other daemons that may store a job know about it. */
export interface CollectedJob {
  /** Record with all outcomes; undefined when no daemon has a copy. */
  readonly record: JobRecord | undefined;
  /** Whether one of them is running the job now. */
  readonly isExecuted: boolean;
  /** Whether a present daemon that may store the job did not answer. */
  readonly isIncomplete: boolean;
  /** Whether a daemon that may store the job is absent, and may return with its copy. */
  readonly mayReturn: boolean;
  /** Whether such a daemon is known to have existed. */
  readonly hasAbsentKeeper: boolean;
}

/** Number of daemons that store a job. */
export const COPIES_PER_JOB = 3;
const PEER_CALL_TIMEOUT_MS = 1500;
/** Absence after which a daemon is taken for lost with its copies, in milliseconds. */
const RETURN_LIMIT_MS = 15_000;

/** Copies jobs between daemons and finds them. */
export class JobReplication {
  /** Members for which all copies were last checked, and the copies that need no further check until they change. */
  private checkedMembers: readonly MemberRecord[] = [];
  private readonly inPlace = new WeakSet<JobCopy>();

  constructor(private readonly options: JobReplicationOptions) {}

  /** Registers the handlers for requests of other daemons. */
  start(): void {
    const { peers, copies, isExecuting } = this.options;
    peers.handle(storeJobMethod, (request) => this.store(request));
    peers.handle(fetchJobMethod, ({ jobId }) => {
      const job = copies.get(jobId);
      return { isExecuting: isExecuting(jobId), ...(job === undefined ? {} : { job }) };
    });
  }

  /** Whether this daemon is to run the job. */
  isResponsible(job: JobRecord): boolean {
    return this.keepersOf(job)[0]?.id === this.local.id;
  }

  /** Daemons that should store a job; the first one is responsible for running it. */
  keepersOf({ id, acceptedBy }: JobRecord): readonly MemberRecord[] {
    const members = this.options.membership.present().filter(({ status }) => status !== 'leaving');
    const acceptor = members.find((member) => runKey(member) === runKey(acceptedBy));
    const others = members.filter((member) => member !== acceptor);
    const ranked = rankByRendezvous(parseJobId(id)?.suffix ?? id, others);
    return [...(acceptor === undefined ? [] : [acceptor]), ...ranked].slice(0, COPIES_PER_JOB);
  }

  /** Stores the current copy of a job at all its other keepers. Returns the number that have it. */
  async replicate(jobId: string): Promise<number> {
    const job = this.options.copies.get(jobId);
    if (job === undefined) return 0;
    const others = this.keepersOf(job).filter(({ id }) => id !== this.local.id);
    const stored = await Promise.all(others.map((keeper) => this.sendCopy(jobId, keeper)));
    return stored.filter(Boolean).length;
  }

  /** Sends the copies that are missing at their keepers. */
  async repair(): Promise<void> {
    const { copies, membership } = this.options;
    const members = membership.present();
    const isViewChanged = members !== this.checkedMembers;
    this.checkedMembers = members;
    const sending: Promise<unknown>[] = [];
    for (const copy of copies.all()) {
      if (!isViewChanged && this.inPlace.has(copy)) continue;
      const missing = this.unconfirmedKeepers(copy);
      if (missing.length === 0) this.inPlace.add(copy);
      else this.inPlace.delete(copy);
      sending.push(...missing.map((keeper) => this.sendCopy(copy.record.id, keeper)));
    }
    await Promise.all(sending);
  }

  /** Number of copies that the daemons responsible for them are not known to have. */
  get unconfirmedCopies(): number {
    let count = 0;
    for (const copy of this.options.copies.all()) {
      const [responsible] = this.keepersOf(copy.record);
      if (responsible !== undefined && this.lacksConfirmation(copy, responsible)) count += 1;
    }
    return count;
  }

  /** Asks all daemons that may store a job, and merges what they have into a local copy if there is one. */
  async collect(jobId: string): Promise<CollectedJob> {
    const { copies, membership, peers } = this.options;
    const present = new Set(membership.present());
    const candidates = this.possibleKeepers(jobId, present);
    const absentIds = new Set(
      [...(parseJobId(jobId)?.daemonIds ?? []), ...candidates.map(({ id }) => id)].filter((id) =>
        membership.mayReturn(id, RETURN_LIMIT_MS),
      ),
    );
    const answers = await Promise.all(
      candidates
        .filter((member) => present.has(member))
        .map((member) =>
          peers
            .call(member.address, fetchJobMethod, { jobId }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
            // An unanswered call is reported through `isIncomplete`.
            .catch(() => undefined),
        ),
    );
    const records = answers.flatMap((answer) => answer?.job ?? []);
    return {
      record: combine(copies, records, jobId),
      isExecuted: answers.some((answer) => answer?.isExecuting === true),
      isIncomplete: answers.includes(undefined),
      mayReturn: absentIds.size > 0,
      hasAbsentKeeper: [...absentIds].some((id) => membership.get(id) !== undefined),
    };
  }

  /** Other daemons that may store a job: those named in its id, and those that rank highest for it, absent ones included. */
  private possibleKeepers(jobId: string, present: ReadonlySet<MemberRecord>): MemberRecord[] {
    const { membership } = this.options;
    const { daemonIds, suffix } = parseJobId(jobId) ?? { daemonIds: [], suffix: jobId };
    let presentCount = 0;
    const ranked = rankByRendezvous(suffix, membership.known()).filter((member) => {
      if (presentCount === COPIES_PER_JOB) return false;
      if (present.has(member)) presentCount += 1;
      return true;
    });
    const named = daemonIds.flatMap((id) => membership.get(id) ?? []);
    return [...new Set([...named, ...ranked])].filter(({ id }) => id !== this.local.id);
  }

  private get local(): Incarnation {
    return this.options.membership.local;
  }

  private store({ job, sender }: StoreJobRequest): StoreJobResponse {
    const merged = this.options.copies.merge(job, sender);
    return hasMoreOutcomes(merged, job) ? { job: merged } : {};
  }

  /** Keepers that are to receive a copy from this daemon and are not known to have it. */
  private unconfirmedKeepers(copy: JobCopy): readonly MemberRecord[] {
    const keepers = this.keepersOf(copy.record);
    const receivers = keepers[0]?.id === this.local.id ? keepers : keepers.slice(0, 1);
    return receivers.filter((keeper) => this.lacksConfirmation(copy, keeper));
  }

  private lacksConfirmation(copy: JobCopy, keeper: MemberRecord): boolean {
    return keeper.id !== this.local.id && !copy.confirmedBy.has(runKey(keeper));
  }

  /** Sends the copy of a job to a keeper unless the keeper has it. Returns whether the keeper has it. */
  private async sendCopy(jobId: string, keeper: MemberRecord): Promise<boolean> {
    const { copies, peers } = this.options;
    const job = copies.get(jobId);
    if (job === undefined) return false;
    const sender = { id: this.local.id, instance: this.local.instance };
    try {
      const request = { job, sender };
      const response = await peers.call(keeper.address, storeJobMethod, request, {
        timeoutMs: PEER_CALL_TIMEOUT_MS,
      });
      copies.merge(response.job ?? job, keeper);
      return true;
    } catch {
      // Repeated by the next repair.
      return false;
    }
  }
}

/** Merges records of other daemons with the local copy; without one, returns the most advanced of them. */
function combine(copies: JobCopies, records: readonly JobRecord[], jobId: string): JobRecord | undefined {
  if (copies.get(jobId) !== undefined) {
    for (const record of records) copies.merge(record);
    return copies.get(jobId);
  }
  return records.reduce<JobRecord | undefined>(
    (best, record) => (best === undefined || hasMoreOutcomes(record, best) ? record : best),
    undefined,
  );
}
