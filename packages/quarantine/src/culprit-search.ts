/**
 * Determines which content crashed a process that ran several. A crash ends all requests of a
 * process, so where few workers hold a model, the contents that run beside a culprit collect the
 * same marks: of 25 contents with three crashes on nine workers, 23 were harmless. A content is
 * proven by crashes that no other content explains. Contents that cannot be told apart run in
 * trials, one at a time: success clears a content, a crash proves it. A trial of a culprit costs
 * one process, a wrong verdict refuses a harmless content for an hour
 * (docs/incidents/neighbours-of-crashing-requests.md compares the rules).
 */
import { CrashMarks, CRASHES_FOR_VERDICT, type CrashMark } from './crash-marks.js';
import { isLoadContent } from './load-content.js';
import { isPartContent } from './part-content.js';
import type { Clock } from '@woodbarrow/runtime';

/**
 * Minimum number of consecutive crashes: runs that each began after the previous process had ended. A
 * rack failure ends many processes at once and is no evidence against a content that ran on several of
 * them.
 */
export const CONSECUTIVE_CRASHES_FOR_VERDICT = 2;
/**
 * Number of conclusive crashes that prove a content without a trial. A single one may be caused by
 * another culprit.
 */
const CONCLUSIVE_CRASHES_FOR_VERDICT = 2;
/**
 * Minimum number of crashes at which another content on the same process is a possible culprit: one
 * that was resent and was part of a further crash.
 */
const MIN_CRASHES_OF_RIVAL = 2;
/**
 * Time before a crash can be conclusive, in milliseconds. By then connected daemons have usually
 * reported which contents ran on the process: after some 150 ms, or 1,520 ms if the process needs
 * all four probes.
 */
export const EVIDENCE_SETTLE_MS = 500;

/**
 * Maximum time since its last crash for which the content with the most crashes waits for its rivals
 * to succeed, in milliseconds. Most callers retry sooner, and the bound limits the delay of a harmless
 * content.
 */
const MAX_WAIT_FOR_RIVALS_MS = 120_000;

/**
 * Number of crashes that prove a content regardless of its rivals: those for a verdict and one
 * trial. Each further trial would let a culprit crash one more process. Three sends of a content
 * are allowed later than 3 s after its third crash, and several daemons may send it at once before
 * they hear of each other; two trials led to four such sends. A harmless content usually succeeds
 * in its first trial.
 */
const CRASHES_FOR_UNCONDITIONAL_VERDICT = CRASHES_FOR_VERDICT + 1;

/** Number of attempts that have ended with their processes from which on a content runs one attempt at a time. */
const MIN_ENDED_ATTEMPTS_FOR_SERIAL_RUNS = 2;

/** Evaluates the marks of one daemon. */
export class CulpritSearch {
  /**
   * Proven contents with the processes that they crashed. These crashes do not count against other
   * contents.
   */
  private readonly culprits = new Map<string, ReadonlySet<string>>();

  constructor(
    private readonly marks: CrashMarks,
    private readonly clock: Clock,
  ) {}

  /** Records a verdict, found by this daemon or by another one. */
  noteCulprit(content: string, processes: readonly string[]): void {
    this.culprits.set(content, new Set([...processes, ...(this.culprits.get(content) ?? [])]));
  }

  /** Drops a verdict that was lifted or has expired. */
  forget(content: string): void {
    this.culprits.delete(content);
  }

  /**
   * Returns the active marks of a content at processes that no culprit crashed; for a culprit, all its
   * active marks.
   */
  unexplainedCrashes(content: string): readonly CrashMark[] {
    const marks = this.marks.activeMarksOf(content);
    if (this.culprits.size === 0 || this.culprits.has(content)) return marks;
    return marks.filter(({ processId }) => !this.isExplained(processId));
  }

  /** Returns whether a content is a proven culprit. A culprit remains one until its marks are cleared. */
  isProven(content: string): boolean {
    // Parts of prompts are judged together with the other parts of a request, see PartSearch.
    if (isPartContent(content)) return false;
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
   * Returns whether a content has enough crashes for a verdict but other contents, proven or not,
   * explain them as well. Such a content may only run in a trial, because it may be a second
   * culprit that ran beside a proven one. When all callers of such a culprit were admitted at once,
   * it crashed 17 workers.
   */
  requiresTrial(content: string): boolean {
    if (isLoadContent(content)) return false;
    return meetsVerdictThreshold(this.marks.activeMarksOf(content)) && !this.isProven(content);
  }

  /**
   * Returns whether attempts of a content must not overlap on any daemons, as two of them or more have ended with their processes. It does
   * not matter whether a proven culprit ran there as well: the content may be a second one.
   */
  requiresSerialRuns(content: string): boolean {
    if (isLoadContent(content)) return false;
    const marks = this.marks.activeMarksOf(content);
    const attemptCount = marks.reduce((total, { attempts = [] }) => total + Math.max(1, attempts.length), 0);
    return attemptCount >= MIN_ENDED_ATTEMPTS_FOR_SERIAL_RUNS && !this.isProven(content);
  }

  /**
   * Returns whether a content must wait before its trial because it has more crashes than each rival.
   * If its rivals succeed meanwhile, it is proven without another crash.
   */
  mustWaitForRivals(content: string): boolean {
    const unexplained = this.unexplainedCrashes(content);
    const lastEndedAt = Math.max(...unexplained.map(({ endedAt }) => endedAt));
    if (this.clock.monotonic() - lastEndedAt > MAX_WAIT_FOR_RIVALS_MS) return false;
    const rivals = new Set(
      unexplained.flatMap(({ processId }) => this.rivalsOnProcess(processId, content, MIN_CRASHES_OF_RIVAL)),
    );
    return [...rivals].every((rival) => this.marks.crashCountOf(rival) < this.marks.crashCountOf(content));
  }

  /**
   * Returns other contents without a verdict that ran on a crashed process and have at least
   * `minCrashes` active marks.
   */
  private rivalsOnProcess(processId: string, content: string, minCrashes: number): string[] {
    const others = this.marks
      .contentsOf(processId)
      .filter((other) => other !== content && !isPartContent(other));
    return others.filter(
      (other) => !this.culprits.has(other) && this.marks.crashCountOf(other) >= minCrashes,
    );
  }

  /**
   * Returns whether a content without a verdict has enough consecutive crashes to get a record of its
   * own.
   */
  hasConsecutiveCrashes(content: string): boolean {
    const marks = this.marks.activeMarksOf(content);
    return countConsecutiveCrashes(marks) >= CONSECUTIVE_CRASHES_FOR_VERDICT && !this.isProven(content);
  }

  /** A worker executes one load at a time, so two loads never share a crash and loads need no trial. */
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
    // Contents with enough crashes for a verdict are kept off the process of a trial.
    const minCrashesOfRival = isTrial === true ? CRASHES_FOR_VERDICT : MIN_CRASHES_OF_RIVAL;
    return this.rivalsOnProcess(processId, content, minCrashesOfRival).length === 0;
  }

  private isExplained(processId: string): boolean {
    for (const [culprit, processes] of this.culprits) {
      if (processes.has(processId) || this.marks.hasActiveMark(culprit, processId)) return true;
    }
    return false;
  }
}

/** Whether crashes are enough for a verdict, if nothing else explains them. */
export function meetsVerdictThreshold(marks: readonly CrashMark[]): boolean {
  return (
    marks.length >= CRASHES_FOR_VERDICT && countConsecutiveCrashes(marks) >= CONSECUTIVE_CRASHES_FOR_VERDICT
  );
}

/** Returns the largest number of runs that each began after the previous process had ended. */
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
