/**
 * Requests that end each process which begins to run them. A bound on the sends of one attempt does not hold them: their clients come
 * back, to any daemon, under a new id. So the content is what is remembered: processes that ended under it, over all attempts
 * and daemons. A content that has proved to end them is refused at once from then on.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { messageOf } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { backoffDelay, settleWithin, sleep, TaskGroup, type Clock, type Random } from '@woodbarrow/runtime';
import { CrashMarks, type CrashMark } from './crash-marks.js';
import { ProcessFates, type ProcessFate, type ProcessProbe } from './process-fates.js';
import { QUARANTINE_MS, type QuarantineRecord, type QuarantineStore } from './quarantine-record.js';
import { FREE_TURN, SuspectTurns, type Turn } from './suspect-turns.js';

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

/** An attempt whose answer broke off. */
export interface BrokenAttempt {
  readonly content: string;
  readonly requestId: string;
  readonly route: string;
  readonly backEnd: BackEnd;
  /** It was leaving, or its record had gone, before the answer broke off: it has ended because it was to. */
  readonly wasLeaving: boolean;
  /** Monotonic time at which it was sent. */
  readonly sentAt: number;
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
const SETTLE_LIMIT_MS = 600;
/** Marks made within this time are told together, in milliseconds: all requests of a process break off at once. */
const TELL_PAUSE_MS = 10;
/** Pause between two looks for records whose time is over, in milliseconds. */
const EXPIRY_INTERVAL_MS = 60_000;
const WRITE_RETRY = { initialMs: 200, maximumMs: 5000 };

/** The quarantine as one daemon knows it. */
export class RequestQuarantine {
  private readonly marks: CrashMarks;
  private readonly fates: ProcessFates;
  private readonly turns = new SuspectTurns();
  private readonly records = new Map<string, QuarantineRecord>();
  /** Broken attempts whose process is being asked after, by content. */
  private readonly open = new Map<string, Set<Promise<void>>>();
  /** Contents whose record this daemon writes, or has written: the store's feed tells it back. */
  private readonly writing = new Set<string>();
  /** The newest attempt of each content that a process ended under here, to be named in its record. */
  private readonly ownAttempts = new Map<string, BrokenAttempt>();
  private readonly tasks: TaskGroup;
  private tellScheduled = false;
  /** Called when marks are news that other daemons should hear of at once. */
  onNews: () => void = () => undefined;

  constructor(private readonly options: RequestQuarantineOptions) {
    const { clock, probe, log } = options;
    this.marks = new CrashMarks(clock);
    this.fates = new ProcessFates(probe, clock);
    this.tasks = new TaskGroup(clock, (task, error) => {
      log.warned('task_failed', { task, cause: messageOf(error) });
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
    return { ...this.marks.totals, quarantined: this.records.size };
  }

  /** Asks whether a process runs; some 2 s at the longest where nothing answers. Never rejects. */
  fateOf(backEnd: BackEnd): Promise<ProcessFate> {
    return this.fates.check(backEnd);
  }

  /** Why a content must not be run; undefined when it may. */
  verdictOf(content: string): Verdict | undefined {
    const record = this.records.get(content);
    if (record === undefined && !this.marks.isProven(content)) return undefined;
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
    const open = this.open.get(content)?.size ?? 0;
    if (this.marks.endsOf(content) === 0 && open < 2) return FREE_TURN;
    const isSuspect = (): boolean => this.marks.endsOf(content) > 0 || this.open.has(content);
    const turn = await this.turns.take(content, isSuspect, signal);
    await this.settle(content);
    return turn;
  }

  /** Waits until it is known whether the processes of broken attempts have ended, for a while at most. */
  private async settle(content: string): Promise<void> {
    const open = [...(this.open.get(content) ?? [])];
    if (open.length > 0) await settleWithin(this.options.clock, SETTLE_LIMIT_MS, Promise.all(open));
  }

  /** Processes that must not get a content now, as they run another one that has ended several. */
  processesToAvoid(content: string): readonly string[] {
    return this.marks.endsOf(content) > 1 ? this.turns.takenByOthers(content) : [];
  }

  /** An answer broke off: if its process has ended, that is held against the content. */
  noteBroken(attempt: BrokenAttempt): void {
    const { content, backEnd, wasLeaving } = attempt;
    if (wasLeaving) return;
    const endedAt = this.options.clock.monotonic();
    const check = this.fates.check(backEnd).then((fate) => {
      this.closeCheck(content, check);
      if (fate === 'ended') this.mark(attempt, endedAt);
    });
    const open = this.open.get(content) ?? new Set();
    this.open.set(content, open.add(check));
  }

  /** A run of a content ended well: it is not what ended the processes. */
  noteServed(content: string): void {
    if (!this.marks.clear(content)) return;
    this.options.log.changed('suspect_cleared', { content });
    this.turns.wake(content);
    this.tell();
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
    const news = this.marks.merge(entries);
    if (news.length === 0) return;
    for (const { processId } of news) this.fates.noteEnded(processId);
    for (const { content } of news) {
      this.noteVerdict(content, 'told');
      this.turns.wake(content);
    }
    this.tell();
  }

  /** All records there are. */
  recordsListed(records: readonly QuarantineRecord[]): void {
    const listed = new Set(records.map(({ content }) => content));
    for (const content of [...this.records.keys()]) if (!listed.has(content)) this.recordGone(content);
    records.forEach((record) => {
      this.recordSeen(record);
    });
  }

  /** A record appeared. */
  recordSeen(record: QuarantineRecord): void {
    if (this.records.has(record.content)) return;
    this.records.set(record.content, record);
    const { content, processes, foundBy, route, requestId } = record;
    this.options.log.warned('request_quarantined', {
      content,
      source: 'store',
      processes,
      foundBy,
      route,
      requestId,
    });
  }

  /** A record is gone: an operator lifted it, or its time is over. What was held against the content counts no more. */
  recordGone(content: string): void {
    if (!this.records.delete(content)) return;
    this.writing.delete(content);
    this.options.log.changed('quarantine_lifted', { content });
    if (this.marks.clear(content)) this.tell();
  }

  private closeCheck(content: string, check: Promise<void>): void {
    const open = this.open.get(content);
    open?.delete(check);
    if (open?.size === 0) this.open.delete(content);
  }

  private mark(attempt: BrokenAttempt, endedAt: number): void {
    const { content, backEnd, sentAt, requestId } = attempt;
    const { clock, log } = this.options;
    const mark: CrashMark = { content, processId: backEnd.id, begunAt: sentAt, endedAt, isCleared: false };
    if (!this.marks.add(mark)) return;
    this.ownAttempts.set(content, attempt);
    log.warned('process_ended_under_request', {
      request: requestId,
      content,
      backEnd: backEnd.id,
      ranMs: Math.round(endedAt - sentAt),
      ends: this.marks.endsOf(content),
      foundAfterMs: Math.round(clock.monotonic() - endedAt),
    });
    this.noteVerdict(content, 'seen');
    this.tell();
  }

  private noteVerdict(content: string, source: 'seen' | 'told'): void {
    if (!this.marks.isProven(content) || this.records.has(content)) return;
    const processes = this.marks.processesOf(content);
    this.options.log.warned('request_quarantined', { content, source, processes });
    const attempt = this.ownAttempts.get(content);
    if (attempt !== undefined) this.keep(attempt);
  }

  private tell(): void {
    if (this.tellScheduled) return;
    this.tellScheduled = true;
    this.options.clock.schedule(TELL_PAUSE_MS, () => {
      this.tellScheduled = false;
      this.onNews();
    });
  }

  /** Writes the record of a verdict, until the store has taken it or the content has been cleared. */
  private keep({ content, requestId, route }: BrokenAttempt): void {
    if (this.writing.has(content) || this.records.has(content)) return;
    this.writing.add(content);
    const { clock, random, log, store, daemon } = this.options;
    const processes = this.marks.processesOf(content);
    const record = { content, processes, route, requestId, foundBy: daemon, at: clock.wall() };
    this.tasks.spawn('quarantine record', async (signal) => {
      for (let failures = 0; !signal.aborted && this.marks.isProven(content); failures += 1) {
        try {
          await store.create(record);
          break;
        } catch (error) {
          log.warned('quarantine_not_written', { content, failures, cause: messageOf(error) });
          await sleep(clock, backoffDelay(WRITE_RETRY, failures, random), signal);
        }
      }
    });
  }

  private async removeExpired(): Promise<void> {
    for (const content of [...this.ownAttempts.keys()]) {
      if (this.marks.endsOf(content) === 0) this.ownAttempts.delete(content);
    }
    const { clock, removesRecord, store } = this.options;
    const oldest = clock.wall() - QUARANTINE_MS;
    for (const { content, at } of [...this.records.values()]) {
      if (at < oldest && removesRecord(content)) await store.remove(content);
    }
  }
}
