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
  /** It ran the content in a trial: apart from all others that had ended as many processes as a verdict needs. */
  readonly isTrial?: boolean;
}

/**
 * Processes that must have ended under a content before it can count as what ended them. Neighbours of such a request end
 * with it as well; most have come back once and been answered by then. For the others see {@link CulpritSearch}.
 */
export const ENDS_FOR_VERDICT = 3;
/** Time for which a mark is kept, in milliseconds: clients send the same request again within a few deadlines of 15 s. */
export const MARK_LIFETIME_MS = 600_000;
/** Marks kept at most, the newest: some 200 KB. A rack of 13 processes with 64 requests each leaves 832. */
export const MAX_MARKS = 4096;

/** Marks of one daemon, those of others included. */
export class CrashMarks {
  private readonly byContent = new Map<string, Map<string, CrashMark>>();
  /** Contents with a mark at each process. */
  private readonly byProcess = new Map<string, Set<string>>();
  private markCount = 0;
  private combinedDigest = 0;

  constructor(private readonly clock: Clock) {}

  /** Digest of all marks, equal on daemons that know the same ones; 0 when there are none. */
  get digest(): number {
    this.dropExpired();
    return this.combinedDigest;
  }

  /** Number of marks, and of contents that have some which count. */
  get totals(): { readonly marks: number; readonly suspects: number } {
    const suspects = this.suspects.length;
    return { marks: this.markCount, suspects };
  }

  /** Whether there are no marks at all. */
  get isEmpty(): boolean {
    return this.markCount === 0;
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
    const existing = marks.get(mark.processId);
    const merged = existing === undefined ? mark : mergeMarks(existing, mark);
    if (existing !== undefined && merged.isCleared === existing.isCleared) {
      marks.set(mark.processId, merged);
      return false;
    }
    this.put(marks, existing, merged);
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
    return this.findActiveMarks(content).length;
  }

  /** Marks against a content, as far as they count. */
  activeMarksOf(content: string): readonly CrashMark[] {
    return this.findActiveMarks(content);
  }

  /** Contents under which a process ended, as far as these marks count. */
  contentsOf(processId: string): readonly string[] {
    const contents = [...(this.byProcess.get(processId) ?? [])];
    return contents.filter((content) => this.hasActiveMark(content, processId));
  }

  /** All marks that count. */
  allActiveMarks(): readonly CrashMark[] {
    return [...this.byContent.keys()].flatMap((content) => this.findActiveMarks(content));
  }

  /** Whether a mark counts. */
  hasActiveMark(content: string, processId: string): boolean {
    const mark = this.byContent.get(content)?.get(processId);
    return mark !== undefined && this.isActiveMark(mark);
  }

  /** Ids of the processes that ended under a content, as far as they count. */
  processesOf(content: string): string[] {
    return this.findActiveMarks(content).map(({ processId }) => processId);
  }

  /** All marks, in the form of messages. */
  entries(): CrashMarkEntry[] {
    this.dropExpired();
    const now = this.clock.monotonic();
    return this.allMarks().map(({ content, processId, begunAt, endedAt, isCleared, isTrial }) => ({
      c: content,
      p: processId,
      b: Math.round(now - begunAt),
      e: Math.round(now - endedAt),
      ...(isCleared ? { x: true as const } : {}),
      ...(isTrial === true ? { t: true as const } : {}),
    }));
  }

  /** Takes what another daemon knows. Returns the marks that were news here. */
  merge(entries: readonly CrashMarkEntry[]): CrashMark[] {
    const now = this.clock.monotonic();
    const marks = entries.map(({ c, p, b, e, x, t }) => ({
      content: c,
      processId: p,
      begunAt: now - b,
      endedAt: now - e,
      isCleared: x === true,
      isTrial: t === true,
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

/** Two daemons may have seen the same end, each under an attempt of its own. */
function mergeMarks(existing: CrashMark, other: CrashMark): CrashMark {
  return {
    ...existing,
    begunAt: Math.min(existing.begunAt, other.begunAt),
    endedAt: Math.min(existing.endedAt, other.endedAt),
    isCleared: existing.isCleared || other.isCleared,
    isTrial: existing.isTrial === true || other.isTrial === true,
  };
}

function digestOfMark({ content, processId, isCleared }: CrashMark): number {
  return hashText(`${content} ${processId}${isCleared ? ' cleared' : ''}`) | 0;
}
