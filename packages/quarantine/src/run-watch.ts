/**
 * Watches the runs of this daemon beyond their answers, until it is known whether their processes lived on. A complete answer tells
 * nothing of a process that ends a moment later, and nobody waits for the answer of a client that has left.
 */
import type { BackEnd } from '@woodbarrow/backends';
import type { Clock } from '@woodbarrow/runtime';
import type { ContentAttempt } from './content-attempt.js';
import { PendingResults } from './pending-results.js';
import type { ProcessState } from './process-state-checker.js';

/** Time for which a process must live on after a run, in milliseconds, before the run counts as harmless. */
export const SURVIVAL_MS = 1000;
/**
 * Maximum time between the end of a run and the moment at which the end of its process is noticed, in milliseconds, if nobody looked
 * in between.
 */
const MAX_UNNOTICED_END_MS = 5000;
/** Time for which a run is remembered whose process answered no look, in milliseconds. Such a process is replaced within seconds. */
const RETENTION_MS = 10_000;

/** What became of the process of a run. */
export type RunFate = 'survived' | 'ended' | 'unknown';

/** How a run ended, by what its caller knows. */
export type RunEnd =
  /** The answer is complete, and this run alone wrote it. */
  | 'complete'
  /** Nobody waits for the answer any more, or it proves nothing. */
  | 'given_up';

/** A run that has ended, with a process of unknown fate. */
interface EndedRun {
  readonly attempt: ContentAttempt;
  readonly end: RunEnd;
  /** Monotonic time in milliseconds. */
  readonly endedAt: number;
  /** Whether its process is looked at if no answer tells its fate. */
  readonly isLookedAt: boolean;
  /** Whether a look has found neither a running nor an ended process. */
  isUnreachable: boolean;
  settle(fate: RunFate): void;
}

interface WatchedProcess {
  readonly backEnd: BackEnd;
  runs: EndedRun[];
  /** Latest time, as a send time of this daemon, at which the process is known to have lived. */
  aliveAt: number;
  isLookScheduled: boolean;
}

/** Options of {@link RunWatch}. */
export interface RunWatchOptions {
  readonly clock: Clock;
  readonly check: (backEnd: BackEnd) => Promise<ProcessState>;
  readonly hasEnded: (processId: string) => boolean;
  /** Called when the process of a run is known to have lived on. */
  readonly onSurvived: (attempt: ContentAttempt, end: RunEnd) => void;
  /** Called when a process is known to have ended after a run that nobody waited for. @param endedAt Monotonic time. */
  readonly onEnded: (attempt: ContentAttempt, endedAt: number) => void;
}

/** Counts for metrics. */
export interface RunWatchTotals {
  /** Runs whose process is known to have lived on, or to have ended, after the run. */
  readonly survived: number;
  readonly ended: number;
  /** Runs of which neither became known. */
  readonly unknown: number;
  /** Checks of processes. */
  readonly looks: number;
}

/** Ended runs of one daemon, by process. */
export class RunWatch {
  private readonly processes = new Map<string, WatchedProcess>();
  /** Fates that are being found out, by content and process. */
  private readonly openFates = new PendingResults<RunFate>();
  private readonly counts = { survived: 0, ended: 0, unknown: 0, looks: 0 };

  constructor(private readonly options: RunWatchOptions) {}

  get totals(): RunWatchTotals {
    return { ...this.counts };
  }

  /**
   * Watches the process of a run that has ended. Resolves when its fate is known, or cannot become known soon. Never rejects.
   *
   * @param isLookedAt Whether the process is checked if no later answer tells its fate.
   */
  noteRunEnded(attempt: ContentAttempt, end: RunEnd, isLookedAt: boolean): Promise<RunFate> {
    const { clock, hasEnded, onEnded } = this.options;
    const endedAt = clock.monotonic();
    if (hasEnded(attempt.backEnd.id)) {
      this.counts.ended += 1;
      onEnded(attempt, endedAt);
      return Promise.resolve('ended');
    }
    const watched = this.watch(attempt.backEnd);
    this.dropOld(watched, endedAt);
    const fate = new Promise<RunFate>((settle) => {
      watched.runs.push({ attempt, end, endedAt, isLookedAt, isUnreachable: false, settle });
    });
    if (!isLookedAt) return fate;
    this.track(attempt, fate);
    this.scheduleLook(watched);
    return fate;
  }

  /** Makes a fate that is being found out known to {@link fatesOf}. */
  track(attempt: ContentAttempt, fate: Promise<RunFate>): void {
    const { content, parts = [], backEnd } = attempt;
    const keys = [content, ...parts].map((each) => keyOf(each, backEnd.id));
    void this.openFates.add(keys, fate);
  }

  /** Resolves with the fates of the ended runs of a content on a process that are being found out. Never rejects. */
  fatesOf(content: string, processId: string): Promise<readonly RunFate[]> {
    return Promise.all(this.openFates.of(keyOf(content, processId)));
  }

  /** Records that a process answered a request that was sent at a time. */
  noteAlive(processId: string, sentAt: number): void {
    const watched = this.processes.get(processId);
    if (watched === undefined || watched.aliveAt >= sentAt) return;
    watched.aliveAt = sentAt;
    this.settleSurvivors(watched);
  }

  /** Records that a process has ended. @param endedAt Monotonic time at which this was observed. */
  noteProcessEnded(processId: string, endedAt: number): void {
    const watched = this.processes.get(processId);
    if (watched === undefined) return;
    this.processes.delete(processId);
    for (const run of watched.runs.splice(0)) {
      const mayHaveCaused = run.isUnreachable || endedAt - run.endedAt <= MAX_UNNOTICED_END_MS;
      this.settle(run, mayHaveCaused ? 'ended' : 'unknown');
      if (mayHaveCaused) this.options.onEnded(run.attempt, Math.max(endedAt, run.endedAt));
    }
  }

  /** Whether runs of a process have ended lately whose fate is unknown. */
  isWatched(processId: string): boolean {
    return this.processes.has(processId);
  }

  private watch(backEnd: BackEnd): WatchedProcess {
    const existing = this.processes.get(backEnd.id);
    if (existing !== undefined) return existing;
    const watched: WatchedProcess = { backEnd, runs: [], aliveAt: -Infinity, isLookScheduled: false };
    this.processes.set(backEnd.id, watched);
    this.options.clock.schedule(RETENTION_MS + SURVIVAL_MS, () => {
      this.expire(watched);
    });
    return watched;
  }

  private expire(watched: WatchedProcess): void {
    if (this.processes.get(watched.backEnd.id) !== watched) return;
    const now = this.options.clock.monotonic();
    this.dropOld(watched, now);
    if (watched.runs.length === 0) {
      this.processes.delete(watched.backEnd.id);
      return;
    }
    this.options.clock.schedule(RETENTION_MS, () => {
      this.expire(watched);
    });
  }

  private dropOld(watched: WatchedProcess, now: number): void {
    const isOld = ({ endedAt }: EndedRun): boolean => now - endedAt > RETENTION_MS;
    if (watched.runs.length === 0 || !isOld(watched.runs[0] as EndedRun)) return;
    for (const run of watched.runs.filter(isOld)) this.settle(run, 'unknown');
    watched.runs = watched.runs.filter((run) => !isOld(run));
  }

  private scheduleLook(watched: WatchedProcess): void {
    if (watched.isLookScheduled) return;
    const next = watched.runs.find(({ isLookedAt, isUnreachable }) => isLookedAt && !isUnreachable);
    if (next === undefined) return;
    watched.isLookScheduled = true;
    const { clock } = this.options;
    const dueInMs = Math.max(0, next.endedAt + SURVIVAL_MS - clock.monotonic());
    clock.schedule(Math.ceil(dueInMs) + 1, () => {
      watched.isLookScheduled = false;
      void this.look(watched);
    });
  }

  /** Checks a process once for all runs that ended long enough ago. */
  private async look(watched: WatchedProcess): Promise<void> {
    const { clock, check } = this.options;
    this.settleSurvivors(watched);
    const startedAt = clock.monotonic();
    const due = watched.runs.filter(({ endedAt }) => endedAt + SURVIVAL_MS <= startedAt);
    if (due.some(({ isLookedAt, isUnreachable }) => isLookedAt && !isUnreachable)) {
      this.counts.looks += 1;
      const state = await check(watched.backEnd);
      if (state === 'running') this.noteAlive(watched.backEnd.id, startedAt);
      if (state === 'unknown') for (const run of due) this.noteUnreachable(run);
    }
    this.scheduleLook(watched);
  }

  /** The run stays watched, as its process may prove to have ended when it is replaced. */
  private noteUnreachable(run: EndedRun): void {
    run.isUnreachable = true;
    run.settle('unknown');
  }

  private settleSurvivors(watched: WatchedProcess): void {
    const hasSurvived = ({ endedAt }: EndedRun): boolean => endedAt + SURVIVAL_MS <= watched.aliveAt;
    const survivors = watched.runs.filter(hasSurvived);
    if (survivors.length === 0) return;
    watched.runs = watched.runs.filter((run) => !hasSurvived(run));
    for (const run of survivors) {
      this.settle(run, 'survived');
      this.options.onSurvived(run.attempt, run.end);
    }
  }

  private settle(run: EndedRun, fate: RunFate): void {
    this.counts[fate] += 1;
    run.settle(fate);
  }
}

function keyOf(content: string, processId: string): string {
  return `${content} ${processId}`;
}
