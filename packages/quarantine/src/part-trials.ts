/**
 * Decides when requests with prompt parts that may crash workers run in a trial. Such a run is a trial of all these parts: it takes a record
 * of each, which one daemon alone can create. A part has a few records until it is acquitted, so that the number of runs after the verdict is
 * limited whatever daemons know of each other.
 */
import type { EventLog } from '@woodbarrow/observability';
import { sleep, type Clock } from '@woodbarrow/runtime';
import { CRASHES_FOR_VERDICT, MARK_LIFETIME_MS, type CrashMark, type CrashMarks } from './crash-marks.js';
import type { PartFinding } from './part-search.js';
import type { Verdict } from './quarantine-options.js';
import type { ServedParts } from './served-parts.js';
import type { Admitted, SuspectTrials, TrialAdmission } from './suspect-trials.js';

/**
 * Number of trials of a part that may end their process, or whose end may remain unknown: before a request whose parts nothing else explains,
 * and before any other. The difference is left to sound requests that hold some of the parts which have only come together.
 */
const MAX_TRIALS = { guilty: 2, suspect: 3 } as const;
/** Pause after a trial that failed, in milliseconds, so that trials do not end one worker right after another. */
const PAUSE_MS = { guilty: 10_000, suspect: 2000 } as const;
/** Retry delay for callers of a part that is in a trial, in milliseconds. Most answers begin sooner. */
const RETRY_AFTER_PART_TRIAL_MS = 500;
/** Maximum age of a trial for which requests wait, and the interval at which they look, in milliseconds. */
const MAX_AWAITED_AGE_MS = 3000;
const TRIAL_POLL_MS = 100;

/** Options of {@link PartTrials}. */
export interface PartTrialsOptions {
  readonly trials: SuspectTrials;
  readonly marks: CrashMarks;
  readonly servedParts: ServedParts;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** A run that needs a trial of its parts. */
export interface TriedRun {
  readonly content: string;
  readonly processId: string;
}

/** Trials of prompt parts at one daemon. */
export class PartTrials {
  /** Parts whose verdict has been logged. */
  private readonly reported = new Set<string>();
  private awaited = 0;

  constructor(private readonly options: PartTrialsOptions) {}

  /** Number of requests that have waited for a trial since the start. */
  get awaitedCount(): number {
    return this.awaited;
  }

  /** Returns the verdict on a request by what its parts are found to be; undefined if it may run, or run in a trial. */
  verdictOn(finding: PartFinding): Verdict | undefined {
    if (finding.kind !== 'guilty' || this.isWorthwhile(finding)) return undefined;
    const { parts, crashes } = finding;
    const now = this.options.clock.monotonic();
    const agesMs = crashes.map(({ endedAt }) => now - endedAt).sort((left, right) => left - right);
    for (const part of parts) this.report(part, crashes, agesMs);
    const decisiveAgeMs = agesMs[CRASHES_FOR_VERDICT - 1] ?? 0;
    return { ends: crashes.length, retryAfterMs: Math.max(1, MARK_LIFETIME_MS - decisiveAgeMs) };
  }

  /** Forgets reports of parts that have lost their marks. */
  pruneReported(): void {
    for (const part of [...this.reported])
      if (this.options.marks.crashCountOf(part) === 0) this.reported.delete(part);
  }

  private report(part: string, crashes: readonly CrashMark[], agesMs: readonly number[]): void {
    if (this.reported.has(part)) return;
    this.reported.add(part);
    const { log, servedParts, trials } = this.options;
    log.warned('prompt_part_quarantined', {
      part,
      processes: crashes.map(({ processId }) => processId),
      firstEndMs: Math.round(agesMs.at(-1) ?? 0),
      lastEndMs: Math.round(agesMs[0] ?? 0),
      served: servedParts.has(part),
      trials: trials.trialsOf(part).length,
    });
  }

  /**
   * Whether a trial may show that guilty parts are sound after all: each of them was part of a complete answer before, and there are trials
   * left. Many workers may end one after another for a reason of their own, while a popular part runs on each of them.
   */
  isWorthwhile({ parts }: PartFinding): boolean {
    const { trials, servedParts } = this.options;
    return parts.every(
      (part) =>
        servedParts.has(part) &&
        (trials.trialsOf(part).length < MAX_TRIALS.guilty || trials.isInProgress(part)),
    );
  }

  /** Returns the retry delay of a request that needs a trial which cannot begin now; undefined if it can. */
  delayMs({ kind, parts }: PartFinding): number | undefined {
    if (kind === 'clear') return undefined;
    const delayMs = Math.max(...parts.map((part) => this.partDelayMs(part, kind)));
    return delayMs > 0 ? delayMs : undefined;
  }

  /**
   * Whether a request with these parts waits for their trial rather than being refused: all of them were served before, so that the trial will
   * probably acquit them.
   */
  isAwaited({ parts }: PartFinding): boolean {
    const { trials, servedParts } = this.options;
    return (
      parts.some((part) => trials.isInProgress(part)) &&
      parts.every((part) => servedParts.has(part)) &&
      this.trialAgesMs(parts).every((ageMs) => ageMs <= MAX_AWAITED_AGE_MS)
    );
  }

  /** Waits while a request's parts are in a trial that is worth it. @param judge Returns what its parts are found to be now. */
  async awaitTrial(judge: () => PartFinding, signal: AbortSignal): Promise<void> {
    const { clock, log } = this.options;
    const startedAt = clock.monotonic();
    const { parts, kind } = judge();
    this.awaited += 1;
    do await sleep(clock, TRIAL_POLL_MS);
    while (this.isAwaited(judge()) && !signal.aborted);
    log.changed('part_trial_awaited', {
      parts,
      foundBefore: kind,
      found: judge().kind,
      waitedMs: Math.round(clock.monotonic() - startedAt),
      trialAgesMs: this.trialAgesMs(parts),
    });
  }

  /** Begins a trial of each part that may have crashed workers. */
  async begin(finding: PartFinding, { content, processId }: TriedRun): Promise<TrialAdmission> {
    const { parts } = finding;
    if (finding.kind === 'guilty' && !this.isWorthwhile(finding)) return refused(RETRY_AFTER_PART_TRIAL_MS);
    const delayMs = this.delayMs(finding);
    if (delayMs !== undefined) return refused(delayMs);
    const begun: Admitted[] = [];
    const end = (): void => {
      for (const trial of begun) trial.end();
    };
    // The same order everywhere, so that two daemons do not each begin a part of the other's trial.
    for (const part of [...parts].sort()) {
      const trial = await this.options.trials.begin(part, processId, { together: [content, ...parts] });
      if (trial.kind === 'admitted') {
        begun.push(trial);
        continue;
      }
      end();
      return trial.kind === 'refused' ? refused(RETRY_AFTER_PART_TRIAL_MS) : trial;
    }
    return { kind: 'admitted', parts, end };
  }

  /** Milliseconds since this daemon learned of the trials of parts that have not ended well. */
  private trialAgesMs(parts: readonly string[]): readonly number[] {
    return parts.flatMap((part) => this.options.trials.trialsOf(part).map(({ ageMs }) => Math.round(ageMs)));
  }

  private partDelayMs(part: string, kind: 'guilty' | 'suspect'): number {
    const { trials } = this.options;
    if (trials.isInProgress(part)) return RETRY_AFTER_PART_TRIAL_MS;
    const agesMs = trials.trialsOf(part).map(({ ageMs }) => ageMs);
    if (agesMs.length >= MAX_TRIALS[kind]) return MARK_LIFETIME_MS - Math.max(...agesMs);
    return PAUSE_MS[kind] - Math.min(...agesMs);
  }
}

function refused(retryAfterMs: number): TrialAdmission {
  return { kind: 'refused', retryAfterMs };
}
