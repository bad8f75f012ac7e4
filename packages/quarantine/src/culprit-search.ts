/**
 * Which of the contents that ran on processes which ended is what ended them. A process takes all that it runs with it, so that the
 * neighbours of a culprit gather the same marks where few workers hold a model: of 25 contents with three ends each on one day with nine
 * workers, 23 had done no harm. So a content is proven only by ends that no other one explains as well, and those that cannot be told apart are tried
 * one by one: a trial that ends well clears, one that ends its process proves.
 *
 * Among callers that come back at once, on virtual time (`neighbours-simulation.ts`, means of 8 to 40 seeds): two culprits with four workers had 3.1
 * harmless contents refused for an hour where three ends were the only proof, and ended 5.8 workers; this 0.13 and 6.9. With three workers 1.7
 * and 5.7, this 0.13 and 6.9; with nine 0.33 and 6.0, this 0 and 5.9. A trial costs a worker where it strikes the culprit.
 */
import { CrashMarks, ENDS_FOR_VERDICT, type CrashMark } from './crash-marks.js';
import { isLoadContent } from './load-content.js';
import type { Clock } from '@woodbarrow/runtime';

/**
 * Of the processes that ended under a content, so many must have ended one after the other: a run that begins after another's process had
 * ended. A rack that fails takes all at once whatever they ran, and proves nothing of a content that was on several of them.
 */
export const CONSECUTIVE_CRASHES_FOR_VERDICT = 2;
/** Ends that tell a content from its neighbours and prove it, where it was not tried. One may be a chance meeting with another culprit. */
const CONCLUSIVE_CRASHES_FOR_VERDICT = 2;
/** Ends from which on another content that ran beside it is a rival: one that has come back and met the next end as well. */
const MIN_CRASHES_OF_RIVAL = 2;
/**
 * Time for which an end proves nothing yet, in milliseconds: by then all daemons in touch have told which contents of theirs ran there
 * (some 150 ms, 1,520 where the process is asked four times).
 */
export const EVIDENCE_SETTLE_MS = 500;

/**
 * Time since its last end for which the content with the most ends waits for those that ran beside it to run well, in milliseconds. Most
 * callers are back within their deadline of some 15 s or not at all. It bounds what a harmless content waits that looks like the culprit.
 */
const MAX_WAIT_FOR_RIVALS_MS = 120_000;

/**
 * Ends in a row that prove a content whatever ran beside it: those of a verdict, and that of one trial. Users allow three sends later than 3 s after the
 * third end, and several daemons may have sent it at once before they heard of each other: with two trials a content was sent four times
 * more. What does no harm has run well in its trial by then.
 */
const CRASHES_FOR_UNCONDITIONAL_VERDICT = ENDS_FOR_VERDICT + 1;

/** Verdicts over the marks of one daemon. */
export class CulpritSearch {
  /** Contents that were proven, with the processes that they ended. Others are not held to account for these. */
  private readonly culprits = new Map<string, ReadonlySet<string>>();

  constructor(
    private readonly marks: CrashMarks,
    private readonly clock: Clock,
  ) {}

  /** A verdict stands, also one that another daemon found. */
  noteCulprit(content: string, processes: readonly string[]): void {
    this.culprits.set(content, new Set([...processes, ...(this.culprits.get(content) ?? [])]));
  }

  /** A verdict was lifted, or its time is over. */
  forget(content: string): void {
    this.culprits.delete(content);
  }

  /** Ends under a content that nothing proven explains; of a culprit, all of them. */
  unexplainedCrashes(content: string): readonly CrashMark[] {
    const marks = this.marks.activeMarksOf(content);
    if (this.culprits.size === 0 || this.culprits.has(content)) return marks;
    return marks.filter(({ processId }) => !this.isExplained(processId));
  }

  /** Whether a content is what ended processes. One that is found so stays so until its marks are cleared. */
  isProven(content: string): boolean {
    const marks = this.marks.activeMarksOf(content);
    if (marks.length === 0) return false;
    if (this.culprits.has(content)) return true;
    if (!meetsVerdictThreshold(marks)) return false;
    if (marks.length < CRASHES_FOR_UNCONDITIONAL_VERDICT && !this.hasConclusiveCrashes(content)) return false;
    this.noteCulprit(
      content,
      marks.map(({ processId }) => processId),
    );
    return true;
  }

  /**
   * Whether a content has as many ends as a verdict needs, while others explain them as well: it may run in a trial only. That holds also where
   * a proven one explains them all: a second culprit that ran beside the first each time was sent six times more than allowed when
   * all its callers were let in at once, and ended 17 workers.
   */
  requiresTrial(content: string): boolean {
    if (isLoadContent(content)) return false;
    return meetsVerdictThreshold(this.marks.activeMarksOf(content)) && !this.isProven(content);
  }

  /**
   * Whether an accused content waits for those that ran beside it. It has more ends than any of them, and so is the likeliest: once they have run
   * well it is proven without ending one more process.
   */
  mustWaitForRivals(content: string): boolean {
    const unexplained = this.unexplainedCrashes(content);
    const lastEndedAt = Math.max(...unexplained.map(({ endedAt }) => endedAt));
    if (this.clock.monotonic() - lastEndedAt > MAX_WAIT_FOR_RIVALS_MS) return false;
    const rivals = new Set(
      unexplained.flatMap(({ processId }) => this.rivalsOnProcess(processId, content, MIN_CRASHES_OF_RIVAL)),
    );
    return [...rivals].every((rival) => this.marks.endsOf(rival) < this.marks.endsOf(content));
  }

  /** Contents without a verdict, beside one, that ended at least so many processes, of which this is one. */
  private rivalsOnProcess(processId: string, content: string, minCrashes: number): string[] {
    const others = this.marks.contentsOf(processId).filter((other) => other !== content);
    return others.filter((other) => !this.culprits.has(other) && this.marks.endsOf(other) >= minCrashes);
  }

  /** Whether a content ended processes in a row, and has no verdict. */
  hasConsecutiveCrashes(content: string): boolean {
    const marks = this.marks.activeMarksOf(content);
    return countConsecutiveCrashes(marks) >= CONSECUTIVE_CRASHES_FOR_VERDICT && !this.isProven(content);
  }

  /**
   * Loads are not tried: a worker carries out one order at a time, so that two loads never share an end.
   */
  private hasConclusiveCrashes(content: string): boolean {
    const unexplained = this.unexplainedCrashes(content);
    if (isLoadContent(content)) return meetsVerdictThreshold(unexplained);
    const conclusive = unexplained.filter((mark) => this.isConclusive(mark));
    return (
      conclusive.length >= CONCLUSIVE_CRASHES_FOR_VERDICT ||
      conclusive.some(({ isTrial }) => isTrial === true)
    );
  }

  private isConclusive({ content, processId, endedAt, isTrial }: CrashMark): boolean {
    if (this.clock.monotonic() - endedAt < EVIDENCE_SETTLE_MS) return false;
    // Those that had ended several before keep off the process of a trial.
    const minCrashesOfRival = isTrial === true ? ENDS_FOR_VERDICT : MIN_CRASHES_OF_RIVAL;
    return this.rivalsOnProcess(processId, content, minCrashesOfRival).length === 0;
  }

  private isExplained(processId: string): boolean {
    for (const [culprit, processes] of this.culprits) {
      if (processes.has(processId) || this.marks.hasActiveMark(culprit, processId)) return true;
    }
    return false;
  }
}

function meetsVerdictThreshold(marks: readonly CrashMark[]): boolean {
  return (
    marks.length >= ENDS_FOR_VERDICT && countConsecutiveCrashes(marks) >= CONSECUTIVE_CRASHES_FOR_VERDICT
  );
}

/** Most runs of which each began after the process of the one before had ended. */
function countConsecutiveCrashes(marks: readonly CrashMark[]): number {
  let count = 0;
  let lastEndedAt = -Infinity;
  for (const mark of [...marks].sort((left, right) => left.endedAt - right.endedAt)) {
    if (mark.begunAt < lastEndedAt) continue;
    count += 1;
    lastEndedAt = mark.endedAt;
  }
  return count;
}
