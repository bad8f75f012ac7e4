/**
 * Trials: a content that cannot be told from its neighbours by the ends of processes runs alone among its like, once at a time over all daemons. A
 * record in the store, which one daemon alone can create, is the right to run it; it names the process, so that others keep off. A daemon that
 * cannot reach the store tries nothing.
 */
import { messageOf } from '@woodbarrow/errors';
import { trialName, type TrialRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/**
 * Time after which the trial of a daemon that was killed is over, in milliseconds: as long as the longest requests may take. Its content
 * waits for so long at most.
 */
export const TRIAL_LIFETIME_MS = 30_000;
/** When a caller is to come back whose content is being tried, in milliseconds: most requests have run by then. */
export const RETRY_AFTER_TRIAL_MS = 2000;
/** When a caller is to come back whose content waits for those that ran beside it, in milliseconds: most have come back twice by then. */
export const RETRY_AFTER_RIVALS_MS = 10_000;
/** When a caller is to come back where the store gave no answer, in milliseconds: some 5 s pass until it is asked again. */
const RETRY_AFTER_STORE_FAILURE_MS = 5000;

/** Whether a content may run now. */
export type TrialAdmission =
  | {
      readonly kind: 'admitted';
      /** The run has ended, or did not come about; calling it again does nothing. */
      end(): void;
    }
  /** Another content is being tried on that process: another one may do. */
  | { readonly kind: 'occupied' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Of a content that needs no trial. */
export const UNRESTRICTED_ADMISSION: TrialAdmission = { kind: 'admitted', end: () => undefined };

/** A trial that the store holds, here or elsewhere. */
interface ObservedTrial {
  readonly record: TrialRecord;
  /** Monotonic. */
  readonly seenAt: number;
}

/** Options of {@link SuspectTrials}. */
export interface SuspectTrialsOptions {
  readonly writer: RecordWriter;
  /** Whether this daemon removes a record of a name that nobody else removes. */
  readonly removesRecord: (name: string) => boolean;
  /** Resolves when it is known what came of a run of a content. */
  readonly whenSettled: (content: string) => Promise<void>;
}

/** Trials as one daemon knows them. */
export class SuspectTrials {
  /** By name of the record. */
  private readonly observedTrials = new Map<string, ObservedTrial>();
  /** Processes that this daemon tries contents on, by content. */
  private readonly ownTrials = new Map<string, string>();

  constructor(private readonly options: SuspectTrialsOptions) {}

  /** Whether this daemon tries a content on a process. */
  isTrying(content: string, processId: string): boolean {
    return this.ownTrials.get(content) === processId;
  }

  /** Processes on which contents other than this one are being tried. */
  processesOfOthers(content: string): string[] {
    const observed = [...this.observedTrials.values()].map(
      ({ record }) => [record.trial, record.processId] as const,
    );
    const others = [...observed, ...this.ownTrials].filter(([other]) => other !== content);
    return others.map(([, processId]) => processId);
  }

  /** Asks for the right to run a content on a process now. */
  async begin(content: string, processId: string): Promise<TrialAdmission> {
    if (this.isUnderWay(content)) return refused(RETRY_AFTER_TRIAL_MS);
    if (this.processesOfOthers(content).includes(processId)) return { kind: 'occupied' };
    const { clock, daemon, store, log } = this.options.writer.options;
    this.ownTrials.set(content, processId);
    const record = {
      content: trialName(content),
      trial: content,
      processId,
      foundBy: daemon,
      at: clock.wall(),
    };
    try {
      if (await store.claim(record)) return this.admit(record);
      this.ownTrials.delete(content);
      return refused(RETRY_AFTER_TRIAL_MS);
    } catch (error) {
      // It may have been carried out: then the record goes with its time.
      this.ownTrials.delete(content);
      log.warned('quarantine_not_written', { content, failures: 1, cause: messageOf(error) });
      return refused(RETRY_AFTER_STORE_FAILURE_MS);
    }
  }

  /** Enters a record that the store holds. */
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

  /** A record is gone. Returns whether there was one of that name. */
  handleRemoved(name: string): boolean {
    return this.observedTrials.delete(name);
  }

  /** Whether a content is being tried, here or elsewhere. */
  isUnderWay(content: string): boolean {
    if (this.ownTrials.has(content)) return true;
    const trial = this.observedTrials.get(trialName(content));
    const now = this.options.writer.options.clock.monotonic();
    return trial !== undefined && now - trial.seenAt < TRIAL_LIFETIME_MS;
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
        this.ownTrials.delete(content);
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
