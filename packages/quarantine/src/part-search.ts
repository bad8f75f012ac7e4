/**
 * Determines whether a request holds a prompt part that crashes workers. Every part of a request that ran on a process which ended is
 * marked, and the next run of it whose process lives on clears the mark, so that sound parts lose their marks and the culprit keeps them.
 * Parts that have only come together cannot be told apart: a request that holds all of them is refused, and one that holds some of them
 * runs in a trial, which acquits or convicts them.
 */
import type { Clock } from '@woodbarrow/runtime';
import { CRASHES_FOR_VERDICT, type CrashMark, type CrashMarks } from './crash-marks.js';
import { EVIDENCE_SETTLE_MS, meetsVerdictThreshold } from './culprit-search.js';
import { isPartContent } from './part-content.js';
import type { ServedParts } from './served-parts.js';

/** Minimum number of crashes of a part that no single other content explains. A request that crashes workers by its body marks its parts too. */
const MIN_CRASHES_BEYOND_CONTENT = 2;
/** Minimum number of different requests whose crashes make a part a possible explanation of others' marks. */
const MIN_REQUESTS_OF_RIVAL = 2;
/** Maximum age of the list of possible explanations, in milliseconds, besides changes of the marks. */
const RIVALS_LIFETIME_MS = 1000;

/**
 * Time that sound parts have to be cleared before requests with them need a trial, in milliseconds: an answer, the time for which its
 * process must live on, and the exchange of marks. Longer for parts that were served, as many sound requests may wait for the trial of one.
 */
const CLEARANCE_MS = 1400;
const CLEARANCE_IF_SERVED_MS = 2000;
/** The same for marks that this daemon has just learned of, as one that starts does, whose requests are cleared by their first answers. */
const NEWS_CLEARANCE_MS = 900;
/** Number of other parts that together may explain the crashes of a part. More of them explain nearly any crashes by chance. */
const MAX_RIVALS = 2;

/** What the evidence says about a request. */
export type PartFinding =
  | { readonly kind: 'clear'; readonly parts: readonly [] }
  /** Some of its parts may have crashed workers, as may parts that it does not hold. */
  | { readonly kind: 'suspect'; readonly parts: readonly string[] }
  /** Some of its parts have crashed workers, and no part that it does not hold explains that. */
  | { readonly kind: 'guilty'; readonly parts: readonly string[]; readonly crashes: readonly CrashMark[] };

const CLEAR: PartFinding = { kind: 'clear', parts: [] };

/** A part with crashes under several requests. */
interface Rival {
  readonly part: string;
  readonly processes: ReadonlySet<string>;
}

/** Evaluates the marks of parts at one daemon. */
export class PartSearch {
  private rivals: readonly Rival[] = [];
  private rivalsVersion = -1;
  private rivalsFoundAt = -Infinity;

  constructor(
    private readonly marks: CrashMarks,
    private readonly clock: Clock,
    private readonly servedParts: ServedParts,
  ) {}

  /** Judges a request by its parts. @param parts Part contents. */
  judge(parts: readonly string[]): PartFinding {
    if (this.marks.isEmpty) return CLEAR;
    const accused = parts.flatMap((part) => {
      const crashes = this.settledCrashes(part);
      const isAccused = meetsVerdictThreshold(crashes) && !this.isExplainedByContent(crashes);
      return isAccused ? [{ part, crashes }] : [];
    });
    const [first, ...others] = accused.filter(
      ({ part, crashes }) =>
        (!this.servedParts.has(part) || meetsVerdictThreshold(this.unclearedFor(part, crashes))) &&
        meetsVerdictThreshold(this.withoutRivals(crashes, this.rivalsOf(part, parts))),
    );
    if (first !== undefined)
      return {
        kind: 'guilty',
        parts: [first, ...others].map(({ part }) => part),
        crashes: first.crashes,
      };
    const now = this.clock.monotonic();
    const suspects = accused.filter(({ part, crashes }) =>
      meetsVerdictThreshold(
        this.unclearedFor(part, crashes).filter(
          ({ endedAt, knownAt = endedAt }) => knownAt <= now - NEWS_CLEARANCE_MS,
        ),
      ),
    );
    return suspects.length === 0 ? CLEAR : { kind: 'suspect', parts: suspects.map(({ part }) => part) };
  }

  /** Crashes whose marks a sound part would have lost by now. */
  private unclearedFor(part: string, crashes: readonly CrashMark[]): readonly CrashMark[] {
    const clearanceMs = this.servedParts.has(part) ? CLEARANCE_IF_SERVED_MS : CLEARANCE_MS;
    const endedBefore = this.clock.monotonic() - clearanceMs;
    return crashes.filter(({ endedAt }) => endedAt <= endedBefore);
  }

  /** Crashes that other daemons have had time to clear. */
  private settledCrashes(part: string): readonly CrashMark[] {
    const marks = this.marks.activeMarksOf(part);
    if (marks.length < CRASHES_FOR_VERDICT) return [];
    const settledBefore = this.clock.monotonic() - EVIDENCE_SETTLE_MS;
    return marks.filter(({ endedAt }) => endedAt <= settledBefore);
  }

  /** Whether one request or load ran on nearly all of the processes, so that it may have crashed them by something else than the part. */
  private isExplainedByContent(crashes: readonly CrashMark[]): boolean {
    const counts = new Map<string, number>();
    for (const { processId } of crashes)
      for (const content of this.marks.contentsOf(processId))
        if (!isPartContent(content)) counts.set(content, (counts.get(content) ?? 0) + 1);
    const explained = Math.max(0, ...counts.values());
    return crashes.length - explained < MIN_CRASHES_BEYOND_CONTENT;
  }

  /**
   * Parts that may explain the crashes of a part, and that the request does not hold. Those of a part that was never served are explained
   * only by another one that was not, and that has enough crashes itself: a few new parts are on every process.
   */
  private rivalsOf(part: string, held: readonly string[]): readonly Rival[] {
    const others = this.currentRivals().filter((rival) => !held.includes(rival.part));
    if (this.servedParts.has(part)) return others;
    return others.filter(
      (rival) => rival.processes.size >= CRASHES_FOR_VERDICT && !this.servedParts.has(rival.part),
    );
  }

  /** Crashes that other parts leave unexplained; the fewest that {@link MAX_RIVALS} of them leave. */
  private withoutRivals(crashes: readonly CrashMark[], rivals: readonly Rival[]): readonly CrashMark[] {
    let unexplained = crashes;
    for (let count = 0; count < MAX_RIVALS && rivals.length > 0; count += 1) {
      const remainders = rivals.map(({ processes }) =>
        unexplained.filter(({ processId }) => !processes.has(processId)),
      );
      unexplained = remainders.reduce((best, each) => (each.length < best.length ? each : best), unexplained);
    }
    return unexplained;
  }

  private currentRivals(): readonly Rival[] {
    const now = this.clock.monotonic();
    const isCurrent =
      this.rivalsVersion === this.marks.version && now - this.rivalsFoundAt < RIVALS_LIFETIME_MS;
    if (isCurrent) return this.rivals;
    this.rivalsVersion = this.marks.version;
    this.rivalsFoundAt = now;
    this.rivals = this.marks.suspects.filter(isPartContent).flatMap((part) => {
      const crashes = this.marks.activeMarksOf(part);
      if (countRequests(crashes) < MIN_REQUESTS_OF_RIVAL) return [];
      return [{ part, processes: new Set(crashes.map(({ processId }) => processId)) }];
    });
    return this.rivals;
  }
}

/** Number of different requests under which a part had crashes; a mark names two at most. */
function countRequests(crashes: readonly CrashMark[]): number {
  return new Set(crashes.flatMap(({ attempts = [] }) => attempts)).size;
}
