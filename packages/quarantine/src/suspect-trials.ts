/**
 * Runs trials of contents that cannot be distinguished by their crashes. A trial runs a content apart
 * from other suspects, and at most once at a time in the deployment. The right to a trial is a record
 * that only one daemon can create; it names the process, so that others avoid it. A daemon that cannot
 * reach the store runs no trials. Serial runs, of contents of which two attempts have ended with their
 * processes, use the same records.
 *
 * A record is removed once the run is known not to have ended its process. Otherwise it stays, and the next run needs a further record, of
 * which there are only a few for each content: this bounds the runs even if marks are lost or late.
 */
import { errorMessage } from '@woodbarrow/errors';
import { sleep } from '@woodbarrow/runtime';
import { MARK_LIFETIME_MS } from './crash-marks.js';
import { isPartContent } from './part-content.js';
import { trialName, type TrialRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/** Time after which the trial of a crashed daemon ends, in milliseconds. Covers the longest requests. */
export const TRIAL_LIFETIME_MS = 30_000;
/** The same for prompt parts, which sound requests share and wait for. */
const PART_TRIAL_LIFETIME_MS = 10_000;
/**
 * Time in which news of a part's trial is incomplete, in milliseconds: the store tells of a removed record sooner than other daemons tell of the
 * marks that were cleared, and refuses a second record sooner than it shows the first one.
 */
const PART_NEWS_DELAY_MS = 500;
/** Number of trials of a content that may end their process, or whose end may remain unknown. */
const MAX_FAILED_TRIALS = 3;
/**
 * Maximum time for which an attempt waits for another one of its content on any daemon, and the
 * interval at which it looks, in milliseconds.
 */
const MAX_TURN_WAIT_MS = 2000;
const TURN_POLL_MS = 100;
/**
 * Retry delay for callers of a content that is in a trial, in milliseconds. Most requests complete
 * sooner.
 */
export const RETRY_AFTER_TRIAL_MS = 2000;
/**
 * Retry delay for callers of a content that waits for its rivals, in milliseconds. Most callers of
 * rivals have retried by then.
 */
export const RETRY_AFTER_RIVALS_MS = 10_000;
/** Retry delay if the store did not respond, in milliseconds. */
const RETRY_AFTER_STORE_FAILURE_MS = 5000;

/** Decision on whether a content may run on a process now. */
export type TrialAdmission =
  | {
      readonly kind: 'admitted';
      /** Prompt parts whose trial the run is. */
      readonly parts: readonly string[];
      /** Ends the run, also one that was not started. Further calls have no effect. */
      end(): void;
    }
  /**
   * Another content is in a trial on the process, or the process has ended, and the caller may try another process; or, if
   * `isPostponed` is set, another attempt of the content was in progress, and the caller may choose any
   * process again.
   */
  | { readonly kind: 'occupied'; readonly isPostponed?: true }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** An admission of a run that may be sent. */
export type Admitted = Extract<TrialAdmission, { readonly kind: 'admitted' }>;

/** A trial of a content that has a record, on any daemon. */
export interface RecordedTrial {
  readonly processId: string;
  /** Milliseconds since this daemon learned of it. */
  readonly ageMs: number;
}

/** Admission of a content that needs no trial. */
export const UNRESTRICTED_ADMISSION: Admitted = { kind: 'admitted', parts: [], end: () => undefined };

/** Admission of an attempt for which another one was in progress until now. */
export const POSTPONED: TrialAdmission = { kind: 'occupied', isPostponed: true };

/** How a content is tried. */
export interface TrialOptions {
  /** Whether the content runs apart from other suspects, or only one attempt of it at a time. @default 'isolated' */
  readonly kind?: 'isolated' | 'serial';
  /** Other contents of the same run, which need not be kept apart. */
  readonly together?: readonly string[];
}

/** A trial in the store, by this daemon or another one. */
interface ObservedTrial {
  readonly record: TrialRecord;
  /** Monotonic time. */
  readonly seenAt: number;
}

/** Options of {@link SuspectTrials}. */
export interface SuspectTrialsOptions {
  readonly writer: RecordWriter;
  /** Resolves when the ended run of a content on a process is settled, with whether it is known what became of the process. */
  readonly whenSettled: (content: string, processId: string) => Promise<boolean>;
  /** Whether a process is known to have ended while it ran a content. */
  readonly hasCrashed: (content: string, processId: string) => boolean;
  /** Whether a process is known to have ended. */
  readonly hasEnded: (processId: string) => boolean;
}

/** Trials as observed by one daemon. */
export class SuspectTrials {
  /** By record name. */
  private readonly observedTrials = new Map<string, ObservedTrial>();
  /** Processes of the trials and serial runs by this daemon, by content. */
  private readonly ownTrials = new Map<string, string>();
  /** Contents of {@link ownTrials} that run apart from other suspects. */
  private readonly isolated = new Set<string>();

  /** Time at which a trial of a prompt part was last found to have begun or ended elsewhere, by part. */
  private readonly newsAt = new Map<string, number>();
  /** Contents that have been refused as they have had all their trials. */
  private readonly usedUp = new Set<string>();

  constructor(private readonly options: SuspectTrialsOptions) {}

  /** Number of contents that have been refused as they have had all their trials. */
  get usedUpCount(): number {
    return this.usedUp.size;
  }

  /** Returns whether this daemon has a trial, not only a serial run, of a content on a process. */
  hasTrialOn(content: string, processId: string): boolean {
    return this.isolated.has(content) && this.ownTrials.get(content) === processId;
  }

  /** Returns the processes with trials of other contents, those of the same run left out. */
  processesOfOthers(content: string, together: readonly string[] = []): string[] {
    const observed = [...this.observedTrials.values()].map(
      ({ record }) => [record.trial, record.processId] as const,
    );
    const others = [...observed, ...this.ownTrials].filter(
      ([other]) => other !== content && !together.includes(other),
    );
    return others.map(([, processId]) => processId);
  }

  /** Requests the right to run a trial of a content on a process. */
  async begin(
    content: string,
    processId: string,
    { kind = 'isolated', together = [] }: TrialOptions = {},
  ): Promise<TrialAdmission> {
    if (this.isInProgress(content)) return refused(RETRY_AFTER_TRIAL_MS);
    const failed = this.recordsOf(content).length;
    // The number of trials of a part depends on the request, see PartTrials.
    if (failed >= MAX_FAILED_TRIALS && !isPartContent(content))
      return refused(this.usedUpForMs(content) ?? RETRY_AFTER_TRIAL_MS);
    const { hasEnded } = this.options;
    if (hasEnded(processId) || this.processesOfOthers(content, together).includes(processId))
      return { kind: 'occupied' };
    const { clock, daemon, store, log } = this.options.writer.options;
    this.ownTrials.set(content, processId);
    if (kind === 'isolated') this.isolated.add(content);
    const record = {
      content: trialName(content, failed),
      trial: content,
      processId,
      foundBy: daemon,
      at: clock.wall(),
    };
    try {
      const isClaimed = await store.claim(record);
      if (isClaimed && !hasEnded(processId)) return this.admit(record, failed);
      this.forgetOwn(content);
      if (!isClaimed) {
        this.noteNews(content);
        return refused(RETRY_AFTER_TRIAL_MS);
      }
      this.options.writer.remove(record.content);
      return { kind: 'occupied' };
    } catch (error) {
      // The record may have been created nevertheless; it then counts as a failed trial until it expires.
      this.forgetOwn(content);
      log.warned('quarantine_not_written', { content, failures: 1, cause: errorMessage(error) });
      return refused(RETRY_AFTER_STORE_FAILURE_MS);
    }
  }

  /** Admits an attempt while no other one of the content is in progress on any daemon; else waits for that one. */
  async beginSerialRun(content: string, processId: string): Promise<TrialAdmission> {
    if (!this.isInProgress(content)) {
      const admission = await this.begin(content, processId, { kind: 'serial' });
      // A refusal for another reason than an attempt in progress has a longer delay.
      if (admission.kind !== 'refused' || admission.retryAfterMs !== RETRY_AFTER_TRIAL_MS) return admission;
    }
    const { clock } = this.options.writer.options;
    const giveUpAt = clock.monotonic() + MAX_TURN_WAIT_MS;
    do await sleep(clock, TURN_POLL_MS);
    while (this.isInProgress(content) && clock.monotonic() < giveUpAt);
    return this.isInProgress(content) ? refused(RETRY_AFTER_TRIAL_MS) : POSTPONED;
  }

  /** Handles a stored record. */
  handleStored(record: TrialRecord): void {
    const { clock } = this.options.writer.options;
    if (this.observedTrials.has(record.content)) return;
    this.observedTrials.set(record.content, { record, seenAt: clock.monotonic() });
  }

  /** Handles a removed record. Returns whether a record of that name existed. */
  handleRemoved(name: string): boolean {
    const trial = this.observedTrials.get(name);
    if (trial === undefined) return false;
    const { trial: content } = trial.record;
    this.usedUp.delete(content);
    this.noteNews(content);
    return this.observedTrials.delete(name);
  }

  /** Returns whether a content is in a trial on any daemon. */
  isInProgress(content: string): boolean {
    if (this.ownTrials.has(content)) return true;
    const now = this.options.writer.options.clock.monotonic();
    const { hasCrashed, hasEnded } = this.options;
    const isPart = isPartContent(content);
    if (now - (this.newsAt.get(content) ?? -Infinity) < PART_NEWS_DELAY_MS) return true;
    const lifetimeMs = isPart ? PART_TRIAL_LIFETIME_MS : TRIAL_LIFETIME_MS;
    return this.recordsOf(content).some(
      ({ record: { processId }, seenAt }) =>
        now - seenAt < lifetimeMs && !hasCrashed(content, processId) && !(isPart && hasEnded(processId)),
    );
  }

  /** Returns the milliseconds for which a content has no further trial; undefined if it has one, or the outcome of its last one is open. */
  usedUpForMs(content: string): number | undefined {
    const trials = this.recordsOf(content);
    if (trials.length < MAX_FAILED_TRIALS || this.isInProgress(content)) return undefined;
    const { clock, log } = this.options.writer.options;
    if (!this.usedUp.has(content)) {
      this.usedUp.add(content);
      const processes = trials.map(({ record }) => record.processId);
      log.warned('suspect_trials_used_up', { content, processes });
    }
    const firstSeenAt = Math.min(...trials.map(({ seenAt }) => seenAt));
    return Math.max(RETRY_AFTER_TRIAL_MS, firstSeenAt + MARK_LIFETIME_MS - clock.monotonic());
  }

  /** Returns the trials of a content that have records. */
  trialsOf(content: string): readonly RecordedTrial[] {
    const now = this.options.writer.options.clock.monotonic();
    return this.recordsOf(content).map(({ record: { processId }, seenAt }) => ({
      processId,
      ageMs: now - seenAt,
    }));
  }

  /** Removes the records of the ended trials of a content that has run well. */
  discard(content: string): void {
    const ownProcess = this.ownTrials.get(content);
    for (const { record } of this.recordsOf(content))
      if (record.processId !== ownProcess) this.remove(record.content);
  }

  /** Removes records whose marks have expired. @param mayRemove Whether this daemon is responsible for a record. */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    const now = this.options.writer.options.clock.monotonic();
    for (const [part, at] of this.newsAt) if (now - at >= PART_NEWS_DELAY_MS) this.newsAt.delete(part);
    const records = [...this.observedTrials.values()].map(({ record }) => record);
    await this.options.writer.removeExpired(records, MARK_LIFETIME_MS, mayRemove);
  }

  private recordsOf(content: string): ObservedTrial[] {
    return [...this.observedTrials.values()].filter(({ record }) => record.trial === content);
  }

  private noteNews(content: string): void {
    if (isPartContent(content)) this.newsAt.set(content, this.options.writer.options.clock.monotonic());
  }

  private remove(name: string): void {
    this.handleRemoved(name);
    this.options.writer.remove(name);
  }

  private forgetOwn(content: string): void {
    this.ownTrials.delete(content);
    this.isolated.delete(content);
  }

  private admit(record: TrialRecord, failed: number): TrialAdmission {
    const { writer, whenSettled, hasCrashed } = this.options;
    const { content: name, trial: content, processId } = record;
    this.handleStored(record);
    writer.options.log.changed('suspect_tried', { content, backEnd: processId, failed });
    let hasEnded = false;
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      writer.options.tasks.spawn('suspect trial', async () => {
        const isSettled = await whenSettled(content, processId);
        this.forgetOwn(content);
        if (isSettled && !hasCrashed(content, processId)) this.remove(name);
      });
    };
    return { kind: 'admitted', parts: [], end };
  }
}

function refused(retryAfterMs: number): TrialAdmission {
  return { kind: 'refused', retryAfterMs };
}
