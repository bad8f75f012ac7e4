/**
 * Crash evidence: which processes ended while they ran which content. Every daemon holds a replica.
 * Marks are only added or changed from active to cleared, so replicas merge in any order, any number
 * of times, and converge.
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { hashText, type Clock } from '@woodbarrow/runtime';

/** A process that ended while it ran a content. Times are monotonic times of this daemon, in milliseconds. */
export interface CrashMark {
  readonly content: string;
  /** Id of the back end, which is unique for each start of its process. */
  readonly processId: string;
  /** Time at which the request or load order was sent to the process. */
  readonly begunAt: number;
  /** Time at which the process was observed to have ended. */
  readonly endedAt: number;
  /** Whether a later run of the content has succeeded. A cleared mark is not evidence. */
  readonly isCleared: boolean;
  /** Time at which this daemon learned of it; set when the mark is added. */
  readonly knownAt?: number;
  /**
   * Whether the process ran the content in a trial, isolated from other contents with enough crashes
   * for a verdict.
   */
  readonly isTrial?: boolean;
  /** Whether the content is a prompt part that had been part of a complete answer before. */
  readonly wasServed?: boolean;
  /**
   * Hashes of the ids of the requests that ran the content there, or of their contents if it is a prompt part; at most
   * {@link MAX_ATTEMPTS}, in rising order.
   */
  readonly attempts?: readonly number[];
}

/**
 * Number of crashes required before a content can receive a verdict. Contents that ran beside a
 * culprit collect marks as well, but most succeed on a retry before they reach this number.
 * {@link CulpritSearch} separates the others.
 */
export const CRASHES_FOR_VERDICT = 3;
/** Lifetime of a mark in milliseconds. Covers several client retries. */
export const MARK_LIFETIME_MS = 600_000;
/**
 * Maximum number of marks; the oldest are dropped first. Exceeds the number of requests that a
 * whole rack runs at a time: 13 processes with 64 requests each leave 832 marks.
 */
export const MAX_MARKS = 4096;

/** Number of attempts that a mark names, which is enough to tell one from several. */
const MAX_ATTEMPTS = 2;

/** Marks of one daemon, including those received from other daemons. */
export class CrashMarks {
  private readonly byContent = new Map<string, Map<string, CrashMark>>();
  /** Contents with a mark, by process. */
  private readonly byProcess = new Map<string, Set<string>>();
  private markCount = 0;
  private combinedDigest = 0;
  private changeCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Digest of all marks; equal on daemons with the same marks, and 0 if there are none. */
  get digest(): number {
    this.dropExpired();
    return this.combinedDigest;
  }

  /** Increases with every change of the marks, but not as they expire. */
  get version(): number {
    return this.changeCount;
  }

  /** Number of marks, and of contents with active marks. */
  get totals(): { readonly marks: number; readonly suspects: number } {
    const suspects = this.suspects.length;
    return { marks: this.markCount, suspects };
  }

  /** Whether there are no marks, active or cleared. */
  get isEmpty(): boolean {
    return this.markCount === 0;
  }

  /** Contents with active marks. */
  get suspects(): string[] {
    this.dropExpired();
    return [...this.byContent.keys()].filter((content) => this.crashCountOf(content) > 0);
  }

  /** Adds a mark. Returns whether this added or cleared one, or added an attempt to one. */
  add(mark: CrashMark): boolean {
    if (this.clock.monotonic() - mark.endedAt > MARK_LIFETIME_MS) return false;
    const marks = this.byContent.get(mark.content) ?? new Map<string, CrashMark>();
    this.byContent.set(mark.content, marks);
    const existing = marks.get(mark.processId);
    const merged =
      existing === undefined ? { ...mark, knownAt: this.clock.monotonic() } : mergeMarks(existing, mark);
    if (existing !== undefined && digestOfMark(merged) === digestOfMark(existing)) {
      marks.set(mark.processId, merged);
      return false;
    }
    this.put(marks, existing, merged);
    this.dropOldest();
    // A mark that was dropped at once must not count as a change, or daemons with full sets would
    // exchange it forever.
    return this.byContent.get(mark.content)?.get(mark.processId) === merged;
  }

  /**
   * Clears marks of a content after a successful run. Returns whether any mark changed.
   *
   * @param knownBy Monotonic time at which the run was sent. A process that ended later says that the content may have begun to crash
   * processes since.
   */
  clear(content: string, knownBy = Infinity): boolean {
    const marks = this.byContent.get(content);
    if (marks === undefined) return false;
    let isChanged = false;
    for (const mark of [...marks.values()]) {
      if (mark.isCleared || isKnownAfter(mark, knownBy)) continue;
      this.put(marks, mark, { ...mark, isCleared: true });
      isChanged = true;
    }
    return isChanged;
  }

  /** Returns the number of active marks of a content. */
  crashCountOf(content: string): number {
    return this.findActiveMarks(content).length;
  }

  /** Returns the active marks of a content. */
  activeMarksOf(content: string): readonly CrashMark[] {
    return this.findActiveMarks(content);
  }

  /** Returns the contents with an active mark at a process. */
  contentsOf(processId: string): readonly string[] {
    const contents = [...(this.byProcess.get(processId) ?? [])];
    return contents.filter((content) => this.hasActiveMark(content, processId));
  }

  /** Whether a run of the content that was sent at a time clears a mark if it succeeds. */
  hasClearableMark(content: string, sentAt: number): boolean {
    return this.findActiveMarks(content).some((mark) => !isKnownAfter(mark, sentAt));
  }

  allActiveMarks(): readonly CrashMark[] {
    return [...this.byContent.keys()].flatMap((content) => this.findActiveMarks(content));
  }

  hasActiveMark(content: string, processId: string): boolean {
    const mark = this.byContent.get(content)?.get(processId);
    return mark !== undefined && this.isActiveMark(mark);
  }

  /** Returns the ids of the processes with an active mark of a content. */
  processesOf(content: string): string[] {
    return this.findActiveMarks(content).map(({ processId }) => processId);
  }

  /** Returns all marks as message entries with relative times. */
  entries(): CrashMarkEntry[] {
    this.dropExpired();
    const now = this.clock.monotonic();
    return this.allMarks().map((mark) => ({
      c: mark.content,
      p: mark.processId,
      b: Math.round(now - mark.begunAt),
      e: Math.round(now - mark.endedAt),
      ...(mark.isCleared ? { x: true as const } : {}),
      ...(mark.isTrial === true ? { t: true as const } : {}),
      ...(mark.wasServed === true ? { s: true as const } : {}),
      ...(mark.attempts === undefined ? {} : { a: mark.attempts }),
    }));
  }

  /** Merges the marks of another daemon. Returns those that changed the set. */
  merge(entries: readonly CrashMarkEntry[]): CrashMark[] {
    const now = this.clock.monotonic();
    const marks = entries.map(({ c, p, b, e, x, t, s, a }) => ({
      content: c,
      processId: p,
      begunAt: now - b,
      endedAt: now - e,
      isCleared: x === true,
      isTrial: t === true,
      wasServed: s === true,
      ...(a === undefined ? {} : { attempts: a }),
    }));
    return marks.filter((mark) => this.add(mark));
  }

  private allMarks(): CrashMark[] {
    return [...this.byContent.values()].flatMap((marks) => [...marks.values()]);
  }

  private findActiveMarks(content: string): CrashMark[] {
    const marks = [...(this.byContent.get(content)?.values() ?? [])];
    return marks.filter((mark) => this.isActiveMark(mark));
  }

  private isActiveMark({ isCleared, endedAt }: CrashMark): boolean {
    return !isCleared && endedAt >= this.clock.monotonic() - MARK_LIFETIME_MS;
  }

  private put(marks: Map<string, CrashMark>, existing: CrashMark | undefined, mark: CrashMark): void {
    this.changeCount += 1;
    if (existing === undefined) this.markCount += 1;
    else this.combinedDigest ^= digestOfMark(existing);
    this.combinedDigest ^= digestOfMark(mark);
    marks.set(mark.processId, mark);
    const contents = this.byProcess.get(mark.processId) ?? new Set();
    this.byProcess.set(mark.processId, contents.add(mark.content));
  }

  private drop({ content, processId }: CrashMark): void {
    const marks = this.byContent.get(content);
    const existing = marks?.get(processId);
    if (marks === undefined || existing === undefined) return;
    marks.delete(processId);
    if (marks.size === 0) this.byContent.delete(content);
    const contents = this.byProcess.get(processId);
    contents?.delete(content);
    if (contents?.size === 0) this.byProcess.delete(processId);
    this.changeCount += 1;
    this.markCount -= 1;
    this.combinedDigest ^= digestOfMark(existing);
  }

  private dropExpired(): void {
    if (this.markCount === 0) return;
    const oldest = this.clock.monotonic() - MARK_LIFETIME_MS;
    for (const mark of this.allMarks()) if (mark.endedAt < oldest) this.drop(mark);
  }

  private dropOldest(): void {
    if (this.markCount <= MAX_MARKS) return;
    const byAge = this.allMarks().sort((left, right) => left.endedAt - right.endedAt);
    for (const mark of byAge.slice(0, this.markCount - MAX_MARKS)) this.drop(mark);
  }
}

function isKnownAfter({ knownAt = -Infinity }: CrashMark, at: number): boolean {
  return knownAt > at;
}

/** Merges two observations of the same crash by different daemons. */
function mergeMarks(existing: CrashMark, other: CrashMark): CrashMark {
  return {
    ...existing,
    begunAt: Math.min(existing.begunAt, other.begunAt),
    endedAt: Math.min(existing.endedAt, other.endedAt),
    isCleared: existing.isCleared || other.isCleared,
    isTrial: existing.isTrial === true || other.isTrial === true,
    wasServed: existing.wasServed === true || other.wasServed === true,
    attempts: mergeAttempts(existing.attempts, other.attempts),
  };
}

/** Keeps the lowest hashes, so that the result does not depend on the order of the merges. */
function mergeAttempts(existing: readonly number[] = [], other: readonly number[] = []): readonly number[] {
  return [...new Set([...existing, ...other])].sort((left, right) => left - right).slice(0, MAX_ATTEMPTS);
}

function digestOfMark({ content, processId, isCleared, attempts = [] }: CrashMark): number {
  const state = `${isCleared ? ' cleared' : ''}${attempts.map((attempt) => ` ${String(attempt)}`).join('')}`;
  return hashText(`${content} ${processId}${state}`) | 0;
}
