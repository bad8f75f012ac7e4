/**
 * Requests that end each process which begins to run them. A bound on the sends of one attempt does not hold them: their clients come
 * back, to any daemon, under a new id. So the content is what is remembered: processes that ended under it, over all attempts
 * and daemons. A content that has proved to end them is refused at once from then on. Loads are contents of their own kind
 * (see {@link LoadQuarantine}): marks, verdicts and records are the same.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { messageOf } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { settleWithin, TaskGroup, type Clock, type Random } from '@woodbarrow/runtime';
import { CrashMarks } from './crash-marks.js';
import { CulpritSearch, EVIDENCE_SETTLE_MS } from './culprit-search.js';
import { CrashBatchRecords } from './crash-batch-records.js';
import { RecordCache } from './record-cache.js';
import { ProcessStateChecker, type ProcessState, type ProcessProbe } from './process-state-checker.js';
import {
  QUARANTINE_MS,
  isVerdict,
  type QuarantineEntry,
  type QuarantineRecord,
  type QuarantineStore,
} from './quarantine-record.js';
import { RecordWriter } from './record-writer.js';
import { DebouncedEvaluation } from './debounced-evaluation.js';
import { SuspectRecords } from './suspect-records.js';
import {
  UNRESTRICTED_ADMISSION,
  RETRY_AFTER_RIVALS_MS,
  RETRY_AFTER_TRIAL_MS,
  SuspectTrials,
  type TrialAdmission,
} from './suspect-trials.js';
import { UNRESTRICTED_SLOT, SuspectSlots, type Turn } from './suspect-slots.js';
import { VerdictRecords } from './verdict-records.js';

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  readonly probe: ProcessProbe;
  readonly store: QuarantineStore;
  /** Whether this daemon is the one that removes a record whose time is over. */
  readonly removesRecord: (content: string) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** One run of a content on a process. */
export interface ContentAttempt {
  readonly content: string;
  /** Route and id of a request; empty for a load. */
  readonly requestId: string;
  readonly route: string;
  /** Of a load: what it loads, as in {@link QuarantineRecord.load}. */
  readonly load?: string;
  readonly backEnd: BackEnd;
  /** Monotonic time at which it was sent. */
  readonly sentAt: number;
}

/** An attempt whose answer broke off. */
export interface BrokenAttempt extends ContentAttempt {
  /** It was leaving, or its record had gone, before the answer broke off: it has ended because it was to. */
  readonly wasLeaving: boolean;
}

/** A content that is refused. */
export interface Verdict {
  /** Processes that ended under it. */
  readonly ends: number;
  /** Milliseconds until it may be tried again. */
  readonly retryAfterMs: number;
}

/** Counts for operators. */
export interface QuarantineTotals {
  /** Pairs of a content and a process that ended under it. */
  readonly marks: number;
  /** Contents with such processes. */
  readonly suspects: number;
  /** Contents that are refused. */
  readonly quarantined: number;
}

/** Time for which a further send of a suspect waits to hear whether the process before it has ended, in milliseconds. */
const CRASH_CHECK_TIMEOUT_MS = 600;
/** Time for which an accused content waits to be judged, in milliseconds: others may end processes without a pause. */
const EVALUATION_TIMEOUT_MS = 2 * EVIDENCE_SETTLE_MS;
/** Marks made within this time are told together, in milliseconds: all requests of a process break off at once. */
const PUBLISH_DELAY_MS = 10;
/** Pause between two looks for records whose time is over, in milliseconds. */
const EXPIRY_INTERVAL_MS = 60_000;
/** The quarantine as one daemon knows it. */
export class RequestQuarantine {
  private readonly marks: CrashMarks;
  private readonly search: CulpritSearch;
  private readonly processStates: ProcessStateChecker;
  private readonly slots = new SuspectSlots();
  /** Broken attempts whose process is being asked after, by content. */
  private readonly openChecks = new Map<string, Set<Promise<void>>>();
  /** The newest attempt of each content that a process ended under here, to be named in its record. */
  private readonly ownAttempts = new Map<string, ContentAttempt>();
  private readonly tasks: TaskGroup;
  private readonly writer: RecordWriter;
  /** Evidence that the store keeps: of contents under which processes ended in a row, and of all others. */
  private readonly suspectRecords: SuspectRecords;
  private readonly crashBatches: CrashBatchRecords;
  private readonly trials: SuspectTrials;
  private readonly verdicts: VerdictRecords;
  private readonly recordCache: RecordCache;
  private readonly evaluation: DebouncedEvaluation;
  private isPublishScheduled = false;
  /** Called when marks are news that other daemons should hear of at once. */
  onNews: () => void = () => undefined;
  /** Called when a process is found to have ended, whoever found it out; it may be called again for the same one. */
  onProcessEnded: (processId: string) => void = () => undefined;

  constructor(private readonly options: RequestQuarantineOptions) {
    const { clock, probe, log } = options;
    this.marks = new CrashMarks(clock);
    this.recordCache = new RecordCache(clock);
    this.search = new CulpritSearch(this.marks, clock);
    this.processStates = new ProcessStateChecker(probe, clock, (processId) => {
      this.onProcessEnded(processId);
    });
    this.evaluation = new DebouncedEvaluation(clock, () => {
      this.evaluateAll();
    });
    this.tasks = new TaskGroup(clock, (task, error) => {
      log.warned('task_failed', { task, cause: messageOf(error) });
    });
    this.writer = new RecordWriter({ ...options, tasks: this.tasks });
    this.suspectRecords = new SuspectRecords(this.marks, this.search, this.writer);
    this.crashBatches = new CrashBatchRecords(this.marks, this.writer, (content, processId) =>
      this.isRecorded(content, processId),
    );
    this.verdicts = new VerdictRecords({
      marks: this.marks,
      search: this.search,
      writer: this.writer,
      removesRecord: options.removesRecord,
      log,
    });
    this.trials = new SuspectTrials({
      writer: this.writer,
      removesRecord: options.removesRecord,
      whenSettled: (content) => this.awaitTrialOutcome(content),
    });
  }

  /** Starts to look for records whose time is over. */
  start(): void {
    this.tasks.loop(
      'quarantine expiry',
      () => EXPIRY_INTERVAL_MS,
      () => this.removeExpired(),
    );
  }

  abort(): void {
    this.tasks.abort();
  }

  get totals(): QuarantineTotals {
    return { ...this.marks.totals, quarantined: this.verdicts.size };
  }

  /** Contents that processes have ended under, those that are refused included. */
  get suspects(): readonly string[] {
    return [...new Set([...this.marks.suspects, ...this.verdicts.names])];
  }

  /** Whether nothing is known against any content. */
  get hasNoEvidence(): boolean {
    return this.marks.isEmpty && this.verdicts.size === 0;
  }

  /** When the last process was seen to end under a content, monotonic; undefined for one that is no suspect. */
  lastCrashAt(content: string): number | undefined {
    const times = this.search.unexplainedCrashes(content).map(({ endedAt }) => endedAt);
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** Whether a process is known to have ended within the last minute. */
  hasEnded(processId: string): boolean {
    return this.processStates.hasEnded(processId);
  }

  /** Asks whether a process runs; some 2 s at the longest where nothing answers. Never rejects. */
  fateOf(backEnd: BackEnd): Promise<ProcessState> {
    return this.processStates.check(backEnd);
  }

  /** Why a content must not be run; undefined when it may. */
  verdictOf(content: string): Verdict | undefined {
    const record = this.verdicts.get(content);
    if (record === undefined && !this.search.isProven(content)) return undefined;
    const ageMs = record === undefined ? 0 : this.options.clock.wall() - record.at;
    return {
      ends: Math.max(this.marks.endsOf(content), record?.processes.length ?? 0),
      retryAfterMs: Math.min(QUARANTINE_MS, Math.max(1, QUARANTINE_MS - ageMs)),
    };
  }

  /**
   * Resolves when an attempt of a content may begin: at once for one that nothing is known against, and for a first repeat after a
   * broken answer; for a suspect when no other attempt of it is under way here and it is known whether the processes
   * of the last ones have ended.
   */
  async takeTurn(content: string, signal: AbortSignal): Promise<Turn> {
    const open = this.openChecks.get(content)?.size ?? 0;
    if (this.unexplainedCrashCount(content) === 0 && open < 2) return UNRESTRICTED_SLOT;
    const isSuspect = (): boolean => this.unexplainedCrashCount(content) > 0 || this.openChecks.has(content);
    const slot = await this.slots.acquire(content, isSuspect, signal);
    await this.awaitOpenChecks(content);
    // What can be told apart once all have told of the last end needs no trial.
    if (this.search.requiresTrial(content))
      await settleWithin(this.options.clock, EVALUATION_TIMEOUT_MS, this.evaluation.whenEvaluated());
    return slot;
  }

  /**
   * When the caller of a content is to come back that may run in a trial only, and cannot now: another attempt of it is being tried, or others
   * come first. Undefined where it may ask for its turn. Without it, callers waited behind the trial until their time was up.
   */
  trialDelayMs(content: string): number | undefined {
    if (this.marks.isEmpty || !this.search.requiresTrial(content)) return undefined;
    if (this.slots.isHeld(content) || this.trials.isUnderWay(content)) return RETRY_AFTER_TRIAL_MS;
    return this.search.mustWaitForRivals(content) ? RETRY_AFTER_RIVALS_MS : undefined;
  }

  /** Waits until it is known whether the processes of broken attempts have ended, for a while at most. */
  private async awaitOpenChecks(content: string): Promise<void> {
    const open = [...(this.openChecks.get(content) ?? [])];
    if (open.length > 0) await settleWithin(this.options.clock, CRASH_CHECK_TIMEOUT_MS, Promise.all(open));
  }

  /** Processes that must not get a content now, as they run another one that has ended several. */
  processesToAvoid(content: string): readonly string[] {
    if (this.unexplainedCrashCount(content) < 2) return [];
    return [...this.slots.processesOfOthers(content), ...this.trials.processesOfOthers(content)];
  }

  /**
   * Whether a content may be sent to a process now, and if not, when its caller is to come back. One that cannot be told from its neighbours
   * by the processes that ended under it runs in a trial only. Whoever is admitted ends the admission.
   */
  async admit(content: string, processId: string): Promise<TrialAdmission> {
    if (this.marks.isEmpty || !this.search.requiresTrial(content)) return UNRESTRICTED_ADMISSION;
    if (this.search.mustWaitForRivals(content))
      return { kind: 'refused', retryAfterMs: RETRY_AFTER_RIVALS_MS };
    return this.trials.begin(content, processId);
  }

  /** Processes that ended under a content, other than those that a proven one explains. */
  private unexplainedCrashCount(content: string): number {
    return this.marks.isEmpty ? 0 : this.search.unexplainedCrashes(content).length;
  }

  /** Waits until it is known what came of a trial, and until an end has been judged. */
  private async awaitTrialOutcome(content: string): Promise<void> {
    const crashCount = this.marks.endsOf(content);
    await Promise.all([...(this.openChecks.get(content) ?? [])]);
    if (this.marks.endsOf(content) > crashCount)
      await settleWithin(this.options.clock, EVALUATION_TIMEOUT_MS, this.evaluation.whenEvaluated());
  }

  /** An answer broke off: if its process has ended, that is held against the content. */
  noteBroken(attempt: BrokenAttempt): void {
    const { content, backEnd, wasLeaving } = attempt;
    if (wasLeaving) return;
    const endedAt = this.options.clock.monotonic();
    const isTrial = this.trials.isTrying(content, backEnd.id);
    const check = this.processStates.check(backEnd).then((fate) => {
      this.closeCheck(content, check);
      if (fate === 'ended') this.noteEnded(attempt, endedAt, isTrial);
    });
    const open = this.openChecks.get(content) ?? new Set();
    this.openChecks.set(content, open.add(check));
  }

  /** The process of an attempt has ended before the attempt had: that is held against the content. */
  noteEnded(attempt: ContentAttempt, endedAt: number, isTrial = false): void {
    const { content, backEnd, sentAt } = attempt;
    const mark = { content, processId: backEnd.id, begunAt: sentAt, endedAt, isCleared: false, isTrial };
    if (!this.marks.add(mark)) return;
    this.ownAttempts.set(content, attempt);
    this.logEnd(attempt, endedAt);
    this.noteVerdict(content, 'seen');
    this.writeEvidence(content);
    this.crashBatches.scheduleWrite();
    this.evaluation.noteChange();
    this.schedulePublish();
  }

  /** Whether an end under a content stands in a record of that content, in the store or on its way there. */
  private isRecorded(content: string, processId: string): boolean {
    if (this.verdicts.isRecorded(content)) return true;
    return this.suspectRecords.includesCrash(content, processId);
  }

  /** Only one that has seen an end itself writes: the others have been told. */
  private writeEvidence(content: string): void {
    if (this.ownAttempts.has(content) && this.search.hasConsecutiveCrashes(content))
      this.suspectRecords.write(content);
  }

  /** A run of a content ended well: it is not what ended the processes. @param load What was loaded, of a load. */
  noteServed(content: string, load?: string): void {
    if (!this.marks.clear(content)) return;
    this.options.log.changed('suspect_cleared', { content, load });
    this.suspectRecords.discard(content);
    this.verdicts.forget(content);
    this.crashBatches.removeInactive();
    this.slots.wake(content);
    this.evaluation.noteChange();
    this.schedulePublish();
  }

  /** Digest of all marks. */
  get digest(): number {
    return this.marks.digest;
  }

  /** All marks, for another daemon. */
  entries(): readonly CrashMarkEntry[] {
    return this.marks.entries();
  }

  /** Takes the marks of another daemon. */
  merge(entries: readonly CrashMarkEntry[]): void {
    const newMarks = this.marks.merge(entries);
    if (newMarks.length === 0) return;
    for (const { processId } of newMarks) this.processStates.noteEnded(processId);
    for (const { content } of newMarks) {
      this.noteVerdict(content, 'told');
      this.writeEvidence(content);
      this.slots.wake(content);
    }
    this.evaluation.noteChange();
    this.schedulePublish();
  }

  /** All records there are. */
  recordsListed(entries: readonly QuarantineEntry[]): void {
    for (const name of this.recordCache.missingFrom(entries)) this.recordGone(name);
    entries.forEach((entry) => {
      this.recordSeen(entry);
    });
  }

  /** All records that a copy holds from which the store was restored: what it lacks is written again, what it brings back removed again. */
  recordsRestored(backup: readonly QuarantineEntry[]): void {
    const { lost, removed, valid } = this.recordCache.compareWithBackup(backup);
    for (const entry of lost) {
      if (this.options.removesRecord(entry.content))
        this.writer.write(entry, () => this.recordCache.has(entry.content));
    }
    for (const { content } of removed) if (this.options.removesRecord(content)) this.writer.remove(content);
    valid.forEach((entry) => {
      this.recordSeen(entry);
    });
  }

  /** A record appeared. */
  recordSeen(entry: QuarantineEntry): void {
    this.recordCache.handleStored(entry);
    if (isVerdict(entry)) this.handleVerdictStored(entry);
    else if ('trial' in entry) this.trials.handleStored(entry);
    else
      this.merge(
        'suspect' in entry ? this.suspectRecords.handleStored(entry) : this.crashBatches.handleStored(entry),
      );
  }

  private handleVerdictStored(record: QuarantineRecord): void {
    if (!this.verdicts.handleStored(record)) return;
    // What it explains is held against no other content any more.
    for (const suspect of this.marks.suspects) this.slots.wake(suspect);
  }

  /**
   * A record is gone. Of a verdict: an operator lifted it, or its time is over, and what was held against the content counts no more.
   *
   * @param content Name of the record.
   */
  recordGone(content: string): void {
    this.recordCache.handleRemoved(content);
    if (
      this.suspectRecords.handleRemoved(content) ||
      this.crashBatches.handleRemoved(content) ||
      this.trials.handleRemoved(content)
    )
      return;
    if (!this.verdicts.handleRemoved(content)) return;
    if (this.marks.clear(content)) this.schedulePublish();
    if (!this.options.removesRecord(content)) return;
    this.suspectRecords.discard(content);
    this.crashBatches.removeInactive();
  }

  private closeCheck(content: string, check: Promise<void>): void {
    const open = this.openChecks.get(content);
    open?.delete(check);
    if (open?.size === 0) this.openChecks.delete(content);
  }

  private logEnd({ content, backEnd, sentAt, requestId, load }: ContentAttempt, endedAt: number): void {
    const { clock, log } = this.options;
    const facts = {
      content,
      backEnd: backEnd.id,
      ranMs: Math.round(endedAt - sentAt),
      ends: this.marks.endsOf(content),
      foundAfterMs: Math.round(clock.monotonic() - endedAt),
    };
    if (load === undefined) log.warned('process_ended_under_request', { request: requestId, ...facts });
    else log.warned('process_ended_under_load', { load, ...facts });
  }

  private noteVerdict(content: string, origin: 'seen' | 'told'): void {
    if (this.search.isProven(content))
      this.verdicts.noteProven(content, origin, this.ownAttempts.get(content));
  }

  private evaluateAll(): void {
    for (const content of this.marks.suspects) this.noteVerdict(content, 'told');
  }

  private schedulePublish(): void {
    if (this.isPublishScheduled) return;
    this.isPublishScheduled = true;
    this.options.clock.schedule(PUBLISH_DELAY_MS, () => {
      this.isPublishScheduled = false;
      this.onNews();
    });
  }

  private async removeExpired(): Promise<void> {
    for (const content of [...this.ownAttempts.keys()]) {
      if (this.marks.endsOf(content) === 0) this.ownAttempts.delete(content);
    }
    const { removesRecord } = this.options;
    this.recordCache.pruneRemoved();
    await this.verdicts.removeExpired();
    await this.suspectRecords.removeExpired(removesRecord);
    await this.crashBatches.removeExpired(removesRecord);
  }
}
