/**
 * Quarantines requests that crash the processes which run them. Clients resend such requests under new
 * ids to any daemon, so crashes are counted by content, across all attempts and daemons. A content
 * that is proven to crash processes is refused. Loads are contents as well, with the same marks,
 * verdicts and records (see `LoadQuarantine`).
 */
import type { BackEnd } from '@woodbarrow/backends';
import { errorMessage } from '@woodbarrow/errors';
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { hashText, settleWithin, TaskGroup } from '@woodbarrow/runtime';
import { CrashMarks } from './crash-marks.js';
import { CulpritSearch, EVIDENCE_SETTLE_MS } from './culprit-search.js';
import type { BrokenAttempt, ContentAttempt } from './content-attempt.js';
import { CrashBatchRecords } from './crash-batch-records.js';
import { RecordCache } from './record-cache.js';
import { isPartContent } from './part-content.js';
import { PendingResults } from './pending-results.js';
import { PartSearch, type PartFinding } from './part-search.js';
import { PartTrials } from './part-trials.js';
import { ProcessStateChecker, type ProcessState } from './process-state-checker.js';
import {
  QUARANTINE_MS,
  isVerdict,
  type QuarantineEntry,
  type QuarantineRecord,
} from './quarantine-record.js';
import type { QuarantineTotals, RequestQuarantineOptions, Verdict } from './quarantine-options.js';
import { RecordWriter } from './record-writer.js';
import { RunWatch, type RunEnd } from './run-watch.js';
import { DebouncedEvaluation } from './debounced-evaluation.js';
import { ServedParts } from './served-parts.js';
import { SuspectRecords } from './suspect-records.js';
import {
  POSTPONED,
  UNRESTRICTED_ADMISSION,
  RETRY_AFTER_RIVALS_MS,
  RETRY_AFTER_TRIAL_MS,
  SuspectTrials,
  type TrialAdmission,
} from './suspect-trials.js';
import { UNRESTRICTED_SLOT, SuspectSlots, type SuspectSlot } from './suspect-slots.js';
import { VerdictRecords } from './verdict-records.js';

/**
 * Maximum time for which an attempt of a suspect waits for the process checks of earlier attempts, in
 * milliseconds.
 */
const CRASH_CHECK_TIMEOUT_MS = 600;
/**
 * Maximum time for which a content waits for an evaluation, in milliseconds. Continuous crashes could
 * postpone an evaluation indefinitely.
 */
const EVALUATION_TIMEOUT_MS = 2 * EVIDENCE_SETTLE_MS;
/**
 * Delay within which mark changes are published together, in milliseconds. All requests of a process
 * break off at once.
 */
const PUBLISH_DELAY_MS = 10;
/** Interval between removals of expired records, in milliseconds. */
const EXPIRY_INTERVAL_MS = 60_000;
/** Quarantine of one daemon. */
export class RequestQuarantine {
  private readonly marks: CrashMarks;
  private readonly search: CulpritSearch;
  private readonly partSearch: PartSearch;
  private readonly servedParts: ServedParts;
  private readonly processStates: ProcessStateChecker;
  private readonly runs: RunWatch;
  private readonly slots = new SuspectSlots();
  /** Checks of the processes of broken attempts that are still running, by content. */
  private readonly openChecks = new PendingResults<ProcessState>();
  /**
   * Latest attempt of each content under which a process ended on this daemon; named in the content's
   * record.
   */
  private readonly ownAttempts = new Map<string, ContentAttempt>();
  private readonly tasks: TaskGroup;
  private readonly writer: RecordWriter;
  /** Stored evidence: records of contents with consecutive crashes, and batches of all other marks. */
  private readonly suspectRecords: SuspectRecords;
  private readonly crashBatches: CrashBatchRecords;
  private readonly trials: SuspectTrials;
  private readonly partTrials: PartTrials;
  private readonly verdicts: VerdictRecords;
  private readonly recordCache: RecordCache;
  private readonly evaluation: DebouncedEvaluation;
  private isPublishScheduled = false;
  /** Called when changed marks should be published to other daemons. */
  onMarksChanged: () => void = () => undefined;
  /**
   * Called when a process is found to have ended, by any daemon. May be called repeatedly for the same
   * process.
   */
  onProcessEnded: (processId: string) => void = () => undefined;
  /** Whether a process has announced that it leaves, so that its end is expected. */
  isLeaving: (processId: string) => boolean = () => false;

  constructor(private readonly options: RequestQuarantineOptions) {
    const { clock, probe, log } = options;
    this.marks = new CrashMarks(clock);
    this.recordCache = new RecordCache(clock);
    this.search = new CulpritSearch(this.marks, clock);
    this.servedParts = new ServedParts(clock);
    this.partSearch = new PartSearch(this.marks, clock, this.servedParts);
    this.processStates = new ProcessStateChecker(probe, clock, (processId) => {
      this.onProcessEnded(processId);
      this.runs.noteProcessEnded(processId, clock.monotonic());
    });
    this.runs = new RunWatch({
      clock,
      check: (backEnd) => this.processStates.check(backEnd),
      hasEnded: (processId) => this.hasEnded(processId),
      onSurvived: (attempt, end) => {
        this.noteSurvived(attempt, end);
      },
      onEnded: (attempt, endedAt) => {
        this.noteEndedAfterwards(attempt, endedAt);
      },
    });
    this.evaluation = new DebouncedEvaluation(clock, () => {
      this.evaluateAll();
    });
    this.tasks = new TaskGroup(clock, (task, error) => {
      log.warned('task_failed', { task, cause: errorMessage(error) });
    });
    this.writer = new RecordWriter({ ...options, tasks: this.tasks });
    this.suspectRecords = new SuspectRecords(this.marks, this.search, this.writer);
    this.crashBatches = new CrashBatchRecords(this.marks, this.writer, {
      isRecordedElsewhere: (content, processId) => this.isRecorded(content, processId),
      mayBeClearedSoon: (content) => this.servedParts.has(content),
    });
    this.verdicts = new VerdictRecords({
      marks: this.marks,
      search: this.search,
      writer: this.writer,
      removesRecord: options.removesRecord,
      log,
    });
    this.trials = new SuspectTrials({
      writer: this.writer,
      whenSettled: (content, processId) => this.awaitRunOutcome(content, processId),
      hasCrashed: (content, processId) => this.marks.hasActiveMark(content, processId),
      hasEnded: (processId) => this.hasEnded(processId),
    });
    this.partTrials = new PartTrials({
      trials: this.trials,
      marks: this.marks,
      servedParts: this.servedParts,
      clock,
      log,
    });
  }

  /** Starts the periodic removal of expired records. */
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
    const { usedUpCount: untried } = this.trials;
    const { survived, ended, unknown, looks } = this.runs.totals;
    return {
      ...this.marks.totals,
      quarantined: this.verdicts.size,
      untried,
      trialsAwaited: this.partTrials.awaitedCount,
      runsSurvived: survived,
      runsEnded: ended,
      runsUnknown: unknown,
      runChecks: looks,
    };
  }

  /** Number of prompt parts for which requests are refused. */
  get quarantinedPartCount(): number {
    if (this.marks.isEmpty) return 0;
    const parts = this.marks.suspects.filter(isPartContent);
    return parts.filter((part) => this.partSearch.judge([part]).kind === 'guilty').length;
  }

  /** Contents with active marks or a verdict. */
  get suspects(): readonly string[] {
    return [...new Set([...this.marks.suspects, ...this.verdicts.names])];
  }

  /** Whether there are no marks and no verdicts. */
  get hasNoEvidence(): boolean {
    return this.marks.isEmpty && this.verdicts.size === 0;
  }

  /** Returns the monotonic time of the last unexplained crash of a content; undefined if there is none. */
  lastCrashAt(content: string): number | undefined {
    const times = this.search.unexplainedCrashes(content).map(({ endedAt }) => endedAt);
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** Returns whether a process was recently found to have ended. */
  hasEnded(processId: string): boolean {
    return this.processStates.hasEnded(processId);
  }

  /** Checks whether a process runs, see {@link ProcessStateChecker.check}. Never rejects. */
  processStateOf(backEnd: BackEnd): Promise<ProcessState> {
    return this.processStates.check(backEnd);
  }

  /** Returns the verdict on a content; undefined if it may run. */
  verdictOf(content: string): Verdict | undefined {
    const record = this.verdicts.get(content);
    if (record === undefined && !this.search.isProven(content)) return undefined;
    const ageMs = record === undefined ? 0 : this.options.clock.wall() - record.at;
    return {
      ends: Math.max(this.marks.crashCountOf(content), record?.processes.length ?? 0),
      retryAfterMs: Math.min(QUARANTINE_MS, Math.max(1, QUARANTINE_MS - ageMs)),
    };
  }

  /** Returns the verdict on a request that holds a prompt part which crashes workers; undefined if it may run, or run in a trial. */
  verdictOnParts(parts: readonly string[]): Verdict | undefined {
    return this.partTrials.verdictOn(this.partSearch.judge(parts));
  }

  /**
   * Waits until an attempt of a content may begin and returns its slot. Contents without evidence, and
   * the first retry after a broken response, do not wait. A suspect waits until no other attempt of it
   * runs on this daemon and the processes of the last attempts have been checked. A request with prompt parts that are in a trial waits for
   * its outcome if they were served before.
   */
  async acquireSlot(
    content: string,
    signal: AbortSignal,
    parts: readonly string[] = [],
  ): Promise<SuspectSlot> {
    const judge = (): PartFinding => this.partSearch.judge(parts);
    if (this.partTrials.isAwaited(judge())) await this.partTrials.awaitTrial(judge, signal);
    const open = this.openChecks.of(content).length;
    if (this.unexplainedCrashCount(content) === 0 && open < 2) return UNRESTRICTED_SLOT;
    const isSuspect = (): boolean => this.unexplainedCrashCount(content) > 0 || this.openChecks.has(content);
    const slot = await this.slots.acquire(content, isSuspect, signal);
    await this.awaitOpenChecks(content);
    // Once all daemons have reported the last crash, the content may be distinguishable without a
    // trial.
    if (this.search.requiresTrial(content))
      await settleWithin(this.options.clock, EVALUATION_TIMEOUT_MS, this.evaluation.whenEvaluated());
    return slot;
  }

  /**
   * Returns the retry delay of a content that requires a trial but cannot run now, because a trial of
   * it is in progress, its rivals run first, or it has had all its trials. Returns undefined if it may acquire a slot. Refusing
   * early spares callers a wait until their deadline.
   */
  trialDelayMs(content: string, parts: readonly string[] = []): number | undefined {
    if (this.marks.isEmpty) return undefined;
    const finding = this.partSearch.judge(parts);
    const partDelayMs = this.partTrials.delayMs(finding);
    if (partDelayMs !== undefined && !this.partTrials.isAwaited(finding)) return partDelayMs;
    if (!this.requiresPermission(content)) return undefined;
    const usedUpForMs = this.trials.usedUpForMs(content);
    if (usedUpForMs !== undefined) return usedUpForMs;
    if (!this.search.requiresTrial(content)) return undefined;
    if (this.slots.isHeld(content) || this.trials.isInProgress(content)) return RETRY_AFTER_TRIAL_MS;
    return this.search.mustWaitForRivals(content) ? RETRY_AFTER_RIVALS_MS : undefined;
  }

  /** Waits, for a limited time, until the processes of broken attempts have been checked. */
  private async awaitOpenChecks(content: string): Promise<void> {
    const open = this.openChecks.of(content);
    if (open.length > 0) await settleWithin(this.options.clock, CRASH_CHECK_TIMEOUT_MS, Promise.all(open));
  }

  /** Returns the processes to which a content must not be sent, because they run other suspects. */
  processesToAvoid(content: string): readonly string[] {
    if (this.unexplainedCrashCount(content) < 2) return [];
    return [...this.slots.processesOfOthers(content), ...this.trials.processesOfOthers(content)];
  }

  /**
   * Decides whether a content may be sent to a process now, and if not, after which delay the caller
   * may retry. Contents that cannot be distinguished by their crashes run only in trials, and those
   * of which two attempts have ended with their processes run one attempt at a time on all daemons. The
   * caller must end an admission.
   */
  async admit(content: string, processId: string, parts: readonly string[] = []): Promise<TrialAdmission> {
    if (this.marks.isEmpty) return UNRESTRICTED_ADMISSION;
    const admission = await this.admitContent(content, processId);
    const finding = this.partSearch.judge(parts);
    if (admission.kind !== 'admitted' || finding.kind === 'clear') return admission;
    const trial = await this.partTrials.begin(finding, { content, processId });
    if (trial.kind !== 'admitted') {
      admission.end();
      // Another request began the trial first.
      return this.partTrials.isAwaited(finding) ? POSTPONED : trial;
    }
    return {
      kind: 'admitted',
      parts: finding.parts,
      end: () => {
        trial.end();
        admission.end();
      },
    };
  }

  /**
   * Whether an admitted attempt may be sent now. It may have waited since, while processes were found to have ended under other attempts
   * of its content, or under other requests with one of its parts.
   */
  allowsSend(content: string, admission: TrialAdmission, parts: readonly string[] = []): boolean {
    if (this.marks.isEmpty) return true;
    if (this.verdictOf(content) !== undefined) return false;
    if (admission === UNRESTRICTED_ADMISSION && this.requiresPermission(content)) return false;
    const tried = admission.kind === 'admitted' ? admission.parts : [];
    return this.partSearch.judge(parts).parts.every((part) => tried.includes(part));
  }

  /** Whether an attempt of a content needs a record that one daemon alone can create. */
  private requiresPermission(content: string): boolean {
    return this.search.requiresTrial(content) || this.search.requiresSerialRuns(content);
  }

  private async admitContent(content: string, processId: string): Promise<TrialAdmission> {
    if (this.search.requiresTrial(content)) {
      if (this.search.mustWaitForRivals(content))
        return { kind: 'refused', retryAfterMs: RETRY_AFTER_RIVALS_MS };
      return this.trials.begin(content, processId);
    }
    if (!this.search.requiresSerialRuns(content)) return UNRESTRICTED_ADMISSION;
    return this.trials.beginSerialRun(content, processId);
  }

  /** Returns the number of crashes of a content that no proven culprit explains. */
  private unexplainedCrashCount(content: string): number {
    return this.marks.isEmpty ? 0 : this.search.unexplainedCrashes(content).length;
  }

  /**
   * Waits until the process of a content's ended run has been checked and a crash has been evaluated. Resolves with whether it is known what
   * became of it.
   */
  private async awaitRunOutcome(content: string, processId: string): Promise<boolean> {
    const crashCount = this.marks.crashCountOf(content);
    const fates = await this.runs.fatesOf(content, processId);
    if (this.marks.crashCountOf(content) > crashCount)
      await settleWithin(this.options.clock, EVALUATION_TIMEOUT_MS, this.evaluation.whenEvaluated());
    return !fates.includes('unknown');
  }

  /**
   * Handles a run that ended with a complete answer, or whose answer nobody waits for any more. Its process is watched until it is known
   * whether it lived on.
   */
  noteRunEnded(attempt: ContentAttempt, end: RunEnd): void {
    const { content, parts = [], sentAt } = attempt;
    if (end === 'complete') this.servedParts.note(parts);
    const contents = [content, ...parts];
    const isLookedAt =
      end === 'given_up' || contents.some((each) => this.marks.hasClearableMark(each, sentAt));
    void this.runs.noteRunEnded(attempt, end, isLookedAt);
  }

  /** Records that a process answered a request that was sent at a time. @param sentAt Monotonic time. */
  noteAlive(processId: string, sentAt: number): void {
    this.runs.noteAlive(processId, sentAt);
  }

  /** Records that a process has ended, as another one has taken its place. */
  noteReplaced(processId: string): void {
    this.processStates.noteEnded(processId);
  }

  /** Checks a process whose record has vanished, if runs on it ended lately. */
  noteVanished(backEnd: BackEnd): void {
    if (this.runs.isWatched(backEnd.id)) void this.processStates.check(backEnd);
  }

  /** A culprit among the parts ends its process as soon as that begins to write an answer; a whole request may do so later. */
  private noteSurvived({ content, parts = [], sentAt, hasBegun }: ContentAttempt, end: RunEnd): void {
    if (end === 'complete') this.clearMarks(content, sentAt);
    if (end === 'complete' || hasBegun === true) for (const part of parts) this.clearMarks(part, sentAt);
  }

  private noteEndedAfterwards(attempt: ContentAttempt, endedAt: number): void {
    const { content, requestId, backEnd, sentAt } = attempt;
    const { clock, log } = this.options;
    if (this.isLeaving(backEnd.id)) return;
    log.warned('process_ended_after_run', {
      request: requestId,
      content,
      backEnd: backEnd.id,
      sentMs: Math.round(clock.monotonic() - sentAt),
    });
    this.noteEnded(attempt, endedAt);
  }

  /** Handles a response that broke off: checks the process and records a crash if it has ended. */
  noteBroken(attempt: BrokenAttempt): void {
    const { content, backEnd, wasLeaving, parts = [] } = attempt;
    if (wasLeaving) return;
    const endedAt = this.options.clock.monotonic();
    const isTrial = this.trials.hasTrialOn(content, backEnd.id);
    const contents = [content, ...parts];
    const concluded = this.openChecks.add(contents, this.processStates.check(backEnd));
    this.runs.track(
      attempt,
      concluded.then((state) => {
        // The back end may still be at work on the run, and a process that answers no check may prove to have ended.
        if (state !== 'ended') return this.runs.noteRunEnded(attempt, 'given_up', true);
        this.noteEnded(attempt, endedAt, isTrial);
        return 'ended';
      }),
    );
  }

  /** Records that a process ended while it ran an attempt. */
  noteEnded(attempt: ContentAttempt, endedAt: number, isTrial = false): void {
    const { content, backEnd, sentAt } = attempt;
    const mark = {
      content,
      processId: backEnd.id,
      begunAt: sentAt,
      endedAt,
      isCleared: false,
      isTrial,
      ...(attempt.requestId === '' ? {} : { attempts: [hashText(attempt.requestId)] }),
    };
    this.markParts(attempt, endedAt);
    if (!this.marks.add(mark)) return;
    this.ownAttempts.set(content, attempt);
    this.logEnd(attempt, endedAt);
    this.noteVerdict(content, 'seen');
    this.writeEvidence(content);
    this.crashBatches.scheduleWrite();
    this.evaluation.noteChange();
    this.schedulePublish();
  }

  /** Marks the parts of a request whose process ended. */
  private markParts(attempt: ContentAttempt, endedAt: number): void {
    const { content, backEnd, sentAt, parts = [] } = attempt;
    const shared = { processId: backEnd.id, begunAt: sentAt, endedAt, isCleared: false };
    for (const part of parts) {
      const wasServed = this.servedParts.has(part);
      if (!this.marks.add({ ...shared, content: part, wasServed, attempts: [hashText(content)] })) continue;
      this.ownAttempts.set(part, attempt);
      this.writeEvidence(part);
    }
  }

  /** Returns whether a record of the content itself, stored or being written, contains a crash. */
  private isRecorded(content: string, processId: string): boolean {
    if (this.verdicts.isRecorded(content)) return true;
    return this.suspectRecords.includesCrash(content, processId);
  }

  /** Only a daemon that observed a crash writes; the others received the marks from it. */
  private writeEvidence(content: string): void {
    if (!this.ownAttempts.has(content) || !this.search.hasConsecutiveCrashes(content)) return;
    if (!this.servedParts.has(content)) this.suspectRecords.write(content);
  }

  /**
   * Clears the marks of a content after a successful run.
   *
   * @param load Name of a loaded target; undefined for a request.
   */
  noteServed(content: string, load?: string): void {
    this.clearMarks(content, Infinity, load);
  }

  /** Clears the marks of a content that were known when a successful run of it was sent. */
  private clearMarks(content: string, sentAt: number, load?: string): void {
    if (!this.marks.clear(content, sentAt)) return;
    const marksLeft = this.marks.crashCountOf(content);
    const sentMs = sentAt === Infinity ? undefined : Math.round(this.options.clock.monotonic() - sentAt);
    this.options.log.changed('suspect_cleared', { content, load, sentMs, marksLeft });
    this.evaluation.noteChange();
    this.schedulePublish();
    if (marksLeft > 0) return;
    this.suspectRecords.discard(content);
    this.trials.discard(content);
    this.verdicts.forget(content);
    this.crashBatches.removeInactive();
    this.slots.wake(content);
  }

  /** Digest of all marks; 0 if there are none. */
  get digest(): number {
    return this.marks.digest;
  }

  /** Returns all marks as message entries. */
  entries(): readonly CrashMarkEntry[] {
    return this.marks.entries();
  }

  /** Merges the marks of another daemon. */
  merge(entries: readonly CrashMarkEntry[]): void {
    this.servedParts.note(entries.filter(({ s }) => s === true).map(({ c }) => c));
    const newMarks = this.marks.merge(entries);
    if (newMarks.length === 0) return;
    for (const { processId, endedAt } of newMarks) {
      this.runs.noteProcessEnded(processId, endedAt);
      this.processStates.noteEnded(processId);
    }
    for (const { content } of newMarks) {
      this.noteVerdict(content, 'told');
      this.writeEvidence(content);
      this.slots.wake(content);
    }
    this.evaluation.noteChange();
    this.schedulePublish();
  }

  /** Handles a complete listing of the stored records. */
  handleRecordsListed(entries: readonly QuarantineEntry[]): void {
    for (const name of this.recordCache.missingFrom(entries)) this.handleRecordRemoved(name);
    entries.forEach((entry) => {
      this.handleRecordStored(entry);
    });
  }

  /**
   * Handles the listing of a store that was restored from a backup: writes missing records again and
   * removes those that had been removed.
   */
  handleStoreRestored(backup: readonly QuarantineEntry[]): void {
    const { lost, removed, valid } = this.recordCache.compareWithBackup(backup);
    for (const entry of lost) {
      if (this.options.removesRecord(entry.content))
        this.writer.write(entry, () => this.recordCache.has(entry.content));
    }
    for (const { content } of removed) if (this.options.removesRecord(content)) this.writer.remove(content);
    valid.forEach((entry) => {
      this.handleRecordStored(entry);
    });
  }

  /** Handles a stored record. */
  handleRecordStored(entry: QuarantineEntry): void {
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
    // Crashes that the new culprit explains no longer count against other contents.
    for (const suspect of this.marks.suspects) this.slots.wake(suspect);
  }

  /**
   * Handles a removed record. If it was a verdict that an operator lifted or that expired, the marks
   * of its content are cleared.
   *
   * @param content Name of the record.
   */
  handleRecordRemoved(content: string): void {
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
    this.trials.discard(content);
    this.crashBatches.removeInactive();
  }

  private logEnd(
    { content, backEnd, sentAt, requestId, load, parts }: ContentAttempt,
    endedAt: number,
  ): void {
    const { clock, log } = this.options;
    const facts = {
      content,
      backEnd: backEnd.id,
      ranMs: Math.round(endedAt - sentAt),
      ends: this.marks.crashCountOf(content),
      foundAfterMs: Math.round(clock.monotonic() - endedAt),
    };
    if (load === undefined)
      log.warned('process_ended_under_request', { request: requestId, ...facts, parts });
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
      this.onMarksChanged();
    });
  }

  private async removeExpired(): Promise<void> {
    for (const content of [...this.ownAttempts.keys()]) {
      if (this.marks.crashCountOf(content) === 0) this.ownAttempts.delete(content);
    }
    const { removesRecord } = this.options;
    this.partTrials.pruneReported();
    this.recordCache.pruneRemoved();
    await this.verdicts.removeExpired();
    await this.suspectRecords.removeExpired(removesRecord);
    await this.crashBatches.removeExpired(removesRecord);
    await this.trials.removeExpired(removesRecord);
  }
}
