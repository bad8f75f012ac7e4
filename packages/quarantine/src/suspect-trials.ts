/**
 * Runs trials of contents that cannot be distinguished by their crashes. A trial runs a content apart
 * from other suspects, and at most once at a time in the deployment. The right to a trial is a record
 * that only one daemon can create; it names the process, so that others avoid it. A daemon that cannot
 * reach the store runs no trials. Serial runs, of contents whose attempts overlapped when they crashed
 * processes, use the same records.
 */
import { errorMessage } from '@woodbarrow/errors';
import { trialName, type TrialRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/** Time after which the trial of a crashed daemon ends, in milliseconds. Covers the longest requests. */
export const TRIAL_LIFETIME_MS = 30_000;
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
      /** Ends the run, also one that was not started. Further calls have no effect. */
      end(): void;
    }
  /**
   * Another content is in a trial on the process, and the caller may try another process; or, if
   * `isPostponed` is set, another attempt of the content was in progress, and the caller may choose any
   * process again.
   */
  | { readonly kind: 'occupied'; readonly isPostponed?: true }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Admission of a content that needs no trial. */
export const UNRESTRICTED_ADMISSION: TrialAdmission = { kind: 'admitted', end: () => undefined };

/** A trial in the store, by this daemon or another one. */
interface ObservedTrial {
  readonly record: TrialRecord;
  /** Monotonic time. */
  readonly seenAt: number;
}

/** Options of {@link SuspectTrials}. */
export interface SuspectTrialsOptions {
  readonly writer: RecordWriter;
  /** Whether this daemon is responsible for removing abandoned records. */
  readonly removesRecord: (name: string) => boolean;
  /** Resolves when the outcome of a run of a content is known. */
  readonly whenSettled: (content: string) => Promise<void>;
}

/** Trials as observed by one daemon. */
export class SuspectTrials {
  /** By record name. */
  private readonly observedTrials = new Map<string, ObservedTrial>();
  /** Processes of the trials and serial runs by this daemon, by content. */
  private readonly ownTrials = new Map<string, string>();
  /** Contents of {@link ownTrials} that run apart from other suspects. */
  private readonly isolated = new Set<string>();

  constructor(private readonly options: SuspectTrialsOptions) {}

  /** Returns whether this daemon has a trial, not only a serial run, of a content on a process. */
  hasTrialOn(content: string, processId: string): boolean {
    return this.isolated.has(content) && this.ownTrials.get(content) === processId;
  }

  /** Returns the processes with trials of other contents. */
  processesOfOthers(content: string): string[] {
    const observed = [...this.observedTrials.values()].map(
      ({ record }) => [record.trial, record.processId] as const,
    );
    const others = [...observed, ...this.ownTrials].filter(([other]) => other !== content);
    return others.map(([, processId]) => processId);
  }

  /**
   * Requests the right to run a trial of a content on a process.
   *
   * @param kind Whether the content runs apart from other suspects, or only one attempt of it at a time.
   */
  async begin(
    content: string,
    processId: string,
    kind: 'isolated' | 'serial' = 'isolated',
  ): Promise<TrialAdmission> {
    if (this.isInProgress(content)) return refused(RETRY_AFTER_TRIAL_MS);
    if (this.processesOfOthers(content).includes(processId)) return { kind: 'occupied' };
    const { clock, daemon, store, log } = this.options.writer.options;
    this.ownTrials.set(content, processId);
    if (kind === 'isolated') this.isolated.add(content);
    const record = {
      content: trialName(content),
      trial: content,
      processId,
      foundBy: daemon,
      at: clock.wall(),
    };
    try {
      if (await store.claim(record)) return this.admit(record);
      this.forgetOwn(content);
      return refused(RETRY_AFTER_TRIAL_MS);
    } catch (error) {
      // The record may have been created nevertheless; it is then removed after its lifetime.
      this.forgetOwn(content);
      log.warned('quarantine_not_written', { content, failures: 1, cause: errorMessage(error) });
      return refused(RETRY_AFTER_STORE_FAILURE_MS);
    }
  }

  /** Handles a stored record. */
  handleStored(record: TrialRecord): void {
    const { clock } = this.options.writer.options;
    const name = record.content;
    if (this.observedTrials.has(name)) return;
    this.observedTrials.set(name, { record, seenAt: clock.monotonic() });
    clock.schedule(TRIAL_LIFETIME_MS, () => {
      const isOrphaned =
        this.observedTrials.get(name)?.record === record && !this.ownTrials.has(record.trial);
      if (isOrphaned && this.options.removesRecord(name)) this.options.writer.remove(name);
    });
  }

  /** Handles a removed record. Returns whether a record of that name existed. */
  handleRemoved(name: string): boolean {
    return this.observedTrials.delete(name);
  }

  /** Returns whether a content is in a trial on any daemon. */
  isInProgress(content: string): boolean {
    if (this.ownTrials.has(content)) return true;
    const trial = this.observedTrials.get(trialName(content));
    const now = this.options.writer.options.clock.monotonic();
    return trial !== undefined && now - trial.seenAt < TRIAL_LIFETIME_MS;
  }

  private forgetOwn(content: string): void {
    this.ownTrials.delete(content);
    this.isolated.delete(content);
  }

  private admit(record: TrialRecord): TrialAdmission {
    const { writer, whenSettled } = this.options;
    const { content: name, trial: content, processId } = record;
    this.handleStored(record);
    writer.options.log.changed('suspect_tried', { content, backEnd: processId });
    let hasEnded = false;
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      writer.options.tasks.spawn('suspect trial', async () => {
        await whenSettled(content);
        this.forgetOwn(content);
        this.observedTrials.delete(name);
        writer.remove(name);
      });
    };
    return { kind: 'admitted', end };
  }
}

function refused(retryAfterMs: number): TrialAdmission {
  return { kind: 'refused', retryAfterMs };
}
