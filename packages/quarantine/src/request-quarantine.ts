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
import { EndsRecords } from './ends-records.js';
import { isLoadContent } from './load-content.js';
import { ProcessFates, type ProcessFate, type ProcessProbe } from './process-fates.js';
import {
  QUARANTINE_MS,
  isVerdict,
  type QuarantineEntry,
  type QuarantineRecord,
  type QuarantineStore,
} from './quarantine-record.js';
import { RecordWriter } from './record-writer.js';
import { SuspectRecords } from './suspect-records.js';
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

/** What the record of a verdict says of where it comes from. */
type VerdictSource = Pick<ContentAttempt, 'content' | 'requestId' | 'route' | 'load'>;

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
const SETTLE_LIMIT_MS = 600;
/** Marks made within this time are told together, in milliseconds: all requests of a process break off at once. */
const TELL_PAUSE_MS = 10;
/** Pause between two looks for records whose time is over, in milliseconds. */
const EXPIRY_INTERVAL_MS = 60_000;
/**
 * Time for which the daemon that saw an end may write the record of a verdict before another one does, in milliseconds. Where all that saw
 * one were killed, the verdict would be gone with the marks otherwise, after ten minutes instead of an hour.
 */
const RECORD_PATIENCE_MS = 2000;

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
  private readonly ownAttempts = new Map<string, ContentAttempt>();
  private readonly tasks: TaskGroup;
  private readonly writer: RecordWriter;
  /** Evidence that the store keeps: of contents under which processes ended in a row, and of all others. */
  private readonly evidence: SuspectRecords;
  private readonly ends: EndsRecords;
  private tellScheduled = false;
  /** Called when marks are news that other daemons should hear of at once. */
  onNews: () => void = () => undefined;
  /** Called when a process is found to have ended, whoever found it out; it may be called again for the same one. */
  onProcessEnded: (processId: string) => void = () => undefined;

  constructor(private readonly options: RequestQuarantineOptions) {
    const { clock, probe, log } = options;
    this.marks = new CrashMarks(clock);
    this.fates = new ProcessFates(probe, clock, (processId) => {
      this.onProcessEnded(processId);
    });
    this.tasks = new TaskGroup(clock, (task, error) => {
      log.warned('task_failed', { task, cause: messageOf(error) });
    });
    this.writer = new RecordWriter({ ...options, tasks: this.tasks });
    this.evidence = new SuspectRecords(this.marks, this.writer);
    this.ends = new EndsRecords(this.marks, this.writer, (content, processId) =>
      this.isKept(content, processId),
    );
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

  /** Contents that processes have ended under, those that are refused included. */
  get suspects(): readonly string[] {
    return [...new Set([...this.marks.suspects, ...this.records.keys()])];
  }

  /** Whether nothing is known against any content. */
  get isClean(): boolean {
    return this.marks.isEmpty && this.records.size === 0;
  }

  /** When the last process was seen to end under a content, monotonic; undefined for one that is no suspect. */
  lastEndOf(content: string): number | undefined {
    return this.marks.lastEndOf(content);
  }

  /** Whether a process is known to have ended within the last minute. */
  hasEnded(processId: string): boolean {
    return this.fates.hasEnded(processId);
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
      if (fate === 'ended') this.noteEnded(attempt, endedAt);
    });
    const open = this.open.get(content) ?? new Set();
    this.open.set(content, open.add(check));
  }

  /** The process of an attempt has ended before the attempt had: that is held against the content. */
  noteEnded(attempt: ContentAttempt, endedAt: number): void {
    const { content, backEnd, sentAt } = attempt;
    if (!this.marks.add({ content, processId: backEnd.id, begunAt: sentAt, endedAt, isCleared: false }))
      return;
    this.ownAttempts.set(content, attempt);
    this.logEnd(attempt, endedAt);
    this.noteVerdict(content, 'seen');
    this.keepEvidence(content);
    this.ends.keepSoon();
    this.tell();
  }

  /** Whether an end under a content stands in a record of that content, in the store or on its way there. */
  private isKept(content: string, processId: string): boolean {
    if (this.records.has(content) || this.writing.has(content)) return true;
    return this.evidence.keeps(content, processId);
  }

  /** Only one that has seen an end itself writes: the others have been told. */
  private keepEvidence(content: string): void {
    if (this.ownAttempts.has(content) && this.marks.isHalfProven(content)) this.evidence.keep(content);
  }

  /** A run of a content ended well: it is not what ended the processes. @param load What was loaded, of a load. */
  noteServed(content: string, load?: string): void {
    if (!this.marks.clear(content)) return;
    this.options.log.changed('suspect_cleared', { content, load });
    this.evidence.drop(content);
    this.ends.dropSettled();
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
      this.keepEvidence(content);
      this.turns.wake(content);
    }
    this.tell();
  }

  /** All records there are. */
  recordsListed(entries: readonly QuarantineEntry[]): void {
    const listed = new Set(entries.map(({ content }) => content));
    for (const name of [...this.records.keys(), ...this.evidence.names, ...this.ends.names])
      if (!listed.has(name)) this.recordGone(name);
    entries.forEach((entry) => {
      this.recordSeen(entry);
    });
  }

  /** A record appeared. */
  recordSeen(entry: QuarantineEntry): void {
    if (isVerdict(entry)) this.verdictSeen(entry);
    else this.merge('suspect' in entry ? this.evidence.seen(entry) : this.ends.seen(entry));
  }

  private verdictSeen(record: QuarantineRecord): void {
    if (this.records.has(record.content)) return;
    this.records.set(record.content, record);
    const { content, processes, foundBy, route, requestId, load } = record;
    this.options.log.warned(verdictEvent(content), {
      content,
      load,
      source: 'store',
      processes,
      foundBy,
      route,
      requestId,
    });
  }

  /**
   * A record is gone. Of a verdict: an operator lifted it, or its time is over, and what was held against the content counts no more.
   *
   * @param content Name of the record.
   */
  recordGone(content: string): void {
    if (this.evidence.gone(content) || this.ends.gone(content) || !this.records.delete(content)) return;
    this.writing.delete(content);
    this.options.log.changed('quarantine_lifted', { content });
    if (this.marks.clear(content)) this.tell();
    if (!this.options.removesRecord(content)) return;
    this.evidence.drop(content);
    this.ends.dropSettled();
  }

  private closeCheck(content: string, check: Promise<void>): void {
    const open = this.open.get(content);
    open?.delete(check);
    if (open?.size === 0) this.open.delete(content);
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

  private noteVerdict(content: string, source: 'seen' | 'told'): void {
    if (!this.marks.isProven(content) || this.records.has(content)) return;
    const processes = this.marks.processesOf(content);
    const attempt = this.ownAttempts.get(content);
    this.options.log.warned(verdictEvent(content), { content, load: attempt?.load, source, processes });
    if (attempt !== undefined) this.keep(attempt);
    else this.keepLater(content);
  }

  /** Writes the record of a verdict that no daemon which saw an end has written. */
  private keepLater(content: string): void {
    if (!this.options.removesRecord(content)) return;
    this.options.clock.schedule(RECORD_PATIENCE_MS, () => {
      this.keep({ content, requestId: '', route: '' });
    });
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
  private keep({ content, requestId, route, load }: VerdictSource): void {
    if (this.writing.has(content) || this.records.has(content) || !this.marks.isProven(content)) return;
    this.writing.add(content);
    const { clock, daemon } = this.options;
    const processes = this.marks.processesOf(content);
    const at = clock.wall();
    const named = load === undefined ? {} : { load };
    const record = { content, processes, route, requestId, ...named, foundBy: daemon, at };
    this.writer.write(record, () => this.marks.isProven(content));
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
    await this.evidence.removeExpired(removesRecord);
    await this.ends.removeExpired(removesRecord);
  }
}

function verdictEvent(content: string): 'request_quarantined' | 'load_quarantined' {
  return isLoadContent(content) ? 'load_quarantined' : 'request_quarantined';
}
