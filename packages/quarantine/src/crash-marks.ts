/**
 * Evidence against contents: which processes ended while they ran which content. Every daemon holds a copy. Marks are
 * only added, and only go from counting to cleared, so copies are merged in any order and as often as wanted, and agree
 * once they have told each other, whatever was cut in between.
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { hashText, type Clock } from '@woodbarrow/runtime';

/** A process that ended under a content. Times are monotonic, of this daemon. */
export interface CrashMark {
  readonly content: string;
  /** Id of the back end; each start of it has another. */
  readonly processId: string;
  /** When the request, or the order to load, was sent to it. */
  readonly begunAt: number;
  /** When the process was seen to have ended. */
  readonly endedAt: number;
  /** A later run of the content ended well. */
  readonly isCleared: boolean;
}

/**
 * Processes that must have ended under a content before it counts as what ended them. Neighbours of such a request end
 * with it as well; most have come back once and been answered by then.
 */
export const ENDS_FOR_VERDICT = 3;
/**
 * Of these processes, so many must have ended one after the other: a run that begins after another's process had ended. A
 * rack that fails takes all at once whatever they ran, and proves nothing of a content that was on several of them.
 */
export const CONSECUTIVE_ENDS_FOR_VERDICT = 2;
/** Time for which a mark is kept, in milliseconds: clients send the same request again within a few deadlines of 15 s. */
export const MARK_LIFETIME_MS = 600_000;
/** Marks kept at most, the newest: some 200 KB. A rack of 13 processes with 64 requests each leaves 832. */
export const MOST_MARKS = 4096;

/** Marks of one daemon, those of others included. */
export class CrashMarks {
  private readonly byContent = new Map<string, Map<string, CrashMark>>();
  private count = 0;
  private combined = 0;

  constructor(private readonly clock: Clock) {}

  /** Digest of all marks, equal on daemons that know the same ones; 0 when there are none. */
  get digest(): number {
    this.dropExpired();
    return this.combined;
  }

  /** Number of marks, and of contents that have some which count. */
  get totals(): { readonly marks: number; readonly suspects: number } {
    const suspects = this.suspects.length;
    return { marks: this.count, suspects };
  }

  /** Whether there are no marks at all. */
  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** Contents with marks that count. */
  get suspects(): string[] {
    this.dropExpired();
    return [...this.byContent.keys()].filter((content) => this.endsOf(content) > 0);
  }

  /** Enters a mark. Returns whether it changed anything. */
  add(mark: CrashMark): boolean {
    if (this.clock.monotonic() - mark.endedAt > MARK_LIFETIME_MS) return false;
    const marks = this.byContent.get(mark.content) ?? new Map<string, CrashMark>();
    this.byContent.set(mark.content, marks);
    const known = marks.get(mark.processId);
    const merged = known === undefined ? mark : mergedOf(known, mark);
    if (known !== undefined && merged.isCleared === known.isCleared) {
      marks.set(mark.processId, merged);
      return false;
    }
    this.put(marks, known, merged);
    this.dropOldest();
    // One that is older than all that are kept is no news, or daemons with full sets would tell each other without end.
    return this.byContent.get(mark.content)?.get(mark.processId) === merged;
  }

  /** A run of a content ended well: what is known against it counts no more. Returns whether that changed anything. */
  clear(content: string): boolean {
    const marks = this.byContent.get(content);
    if (marks === undefined) return false;
    let isChanged = false;
    for (const mark of [...marks.values()]) {
      if (mark.isCleared) continue;
      this.put(marks, mark, { ...mark, isCleared: true });
      isChanged = true;
    }
    return isChanged;
  }

  /** Processes that ended under a content, as far as they count. */
  endsOf(content: string): number {
    return this.counting(content).length;
  }

  /** When the last process was seen to end under a content, monotonic; undefined where none counts. */
  lastEndOf(content: string): number | undefined {
    const times = this.counting(content).map(({ endedAt }) => endedAt);
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** Whether the content is what ended these processes. */
  isProven(content: string): boolean {
    const marks = this.counting(content);
    return marks.length >= ENDS_FOR_VERDICT && consecutiveEnds(marks) >= CONSECUTIVE_ENDS_FOR_VERDICT;
  }

  /** Whether a content ended processes in a row that are too few for a verdict. */
  isHalfProven(content: string): boolean {
    const marks = this.counting(content);
    return consecutiveEnds(marks) >= CONSECUTIVE_ENDS_FOR_VERDICT && !this.isProven(content);
  }

  /** Marks against a content, as far as they count. */
  marksOf(content: string): readonly CrashMark[] {
    return this.counting(content);
  }

  /** All marks that count. */
  allCounting(): readonly CrashMark[] {
    return [...this.byContent.keys()].flatMap((content) => this.counting(content));
  }

  /** Whether a mark counts. */
  counts(content: string, processId: string): boolean {
    return this.counting(content).some((mark) => mark.processId === processId);
  }

  /** Ids of the processes that ended under a content, as far as they count. */
  processesOf(content: string): string[] {
    return this.counting(content).map(({ processId }) => processId);
  }

  /** All marks, in the form of messages. */
  entries(): CrashMarkEntry[] {
    this.dropExpired();
    const now = this.clock.monotonic();
    return this.all().map(({ content, processId, begunAt, endedAt, isCleared }) => ({
      c: content,
      p: processId,
      b: Math.round(now - begunAt),
      e: Math.round(now - endedAt),
      ...(isCleared ? { x: true as const } : {}),
    }));
  }

  /** Takes what another daemon knows. Returns the marks that were news here. */
  merge(entries: readonly CrashMarkEntry[]): CrashMark[] {
    const now = this.clock.monotonic();
    const marks = entries.map(({ c, p, b, e, x }) => ({
      content: c,
      processId: p,
      begunAt: now - b,
      endedAt: now - e,
      isCleared: x === true,
    }));
    return marks.filter((mark) => this.add(mark));
  }

  private all(): CrashMark[] {
    return [...this.byContent.values()].flatMap((marks) => [...marks.values()]);
  }

  private counting(content: string): CrashMark[] {
    const oldest = this.clock.monotonic() - MARK_LIFETIME_MS;
    const marks = [...(this.byContent.get(content)?.values() ?? [])];
    return marks.filter((mark) => !mark.isCleared && mark.endedAt >= oldest);
  }

  private put(marks: Map<string, CrashMark>, known: CrashMark | undefined, mark: CrashMark): void {
    if (known === undefined) this.count += 1;
    else this.combined ^= digestOf(known);
    this.combined ^= digestOf(mark);
    marks.set(mark.processId, mark);
  }

  private drop({ content, processId }: CrashMark): void {
    const marks = this.byContent.get(content);
    const known = marks?.get(processId);
    if (marks === undefined || known === undefined) return;
    marks.delete(processId);
    if (marks.size === 0) this.byContent.delete(content);
    this.count -= 1;
    this.combined ^= digestOf(known);
  }

  private dropExpired(): void {
    if (this.count === 0) return;
    const oldest = this.clock.monotonic() - MARK_LIFETIME_MS;
    for (const mark of this.all()) if (mark.endedAt < oldest) this.drop(mark);
  }

  private dropOldest(): void {
    if (this.count <= MOST_MARKS) return;
    const byAge = this.all().sort((left, right) => left.endedAt - right.endedAt);
    for (const mark of byAge.slice(0, this.count - MOST_MARKS)) this.drop(mark);
  }
}

/** Most runs of which each began after the process of the one before had ended. */
function consecutiveEnds(marks: readonly CrashMark[]): number {
  let count = 0;
  let lastEndedAt = -Infinity;
  for (const mark of [...marks].sort((left, right) => left.endedAt - right.endedAt)) {
    if (mark.begunAt < lastEndedAt) continue;
    count += 1;
    lastEndedAt = mark.endedAt;
  }
  return count;
}

/** Two daemons may have seen the same end, each under an attempt of its own. */
function mergedOf(known: CrashMark, other: CrashMark): CrashMark {
  return {
    ...known,
    begunAt: Math.min(known.begunAt, other.begunAt),
    endedAt: Math.min(known.endedAt, other.endedAt),
    isCleared: known.isCleared || other.isCleared,
  };
}

function digestOf({ content, processId, isCleared }: CrashMark): number {
  return hashText(`${content} ${processId}${isCleared ? ' cleared' : ''}`) | 0;
}
