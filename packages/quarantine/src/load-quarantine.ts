/**
 * Quarantines models and adapters whose loads crash workers. Each load order is tracked until it
 * completes; if the process ends first, the crash is recorded against the loaded model or adapter.
 * Callers check for a verdict before they order a load.
 */
import type { BackEnd, BackendDirectory, ModelTarget } from '@woodbarrow/backends';
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import { isLoadContent, loadContent, loadName } from './load-content.js';
import type { ContentAttempt } from './content-attempt.js';
import type { Verdict } from './quarantine-options.js';
import type { RequestQuarantine } from './request-quarantine.js';
import type { SuspectSlot } from './suspect-slots.js';

/** Options of {@link LoadQuarantine}. */
export interface LoadQuarantineOptions {
  /** Marks, verdicts and records of requests and loads. */
  readonly contents: RequestQuarantine;
  readonly directory: BackendDirectory;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Counts for metrics. */
export interface LoadQuarantineTotals {
  /** Models and adapters with active crash marks or a verdict. */
  readonly suspects: number;
  /** Number of suspects that are refused. */
  readonly quarantined: number;
  /** Demands refused since the start because of a verdict. */
  readonly refused: number;
}

/** A load order that has not completed. */
interface WatchedLoad {
  readonly attempt: ContentAttempt;
  /**
   * Whether the worker was draining, or was removed while draining, before its process ended. The end
   * of its process is then no evidence.
   */
  isLeaving: boolean;
  /** Monotonic time of the first call that the worker did not answer. */
  unresponsiveSince?: number;
  /** Set while the state of the process is being checked. */
  check?: Promise<void>;
  /** Whether the load has failed; it is dropped when the state of the process is known. */
  isConcluding: boolean;
}

/** Tracks the loads of one daemon's zones and refuses loads with a verdict. */
export class LoadQuarantine {
  /** By {@link loadKey}. */
  private readonly watched = new Map<string, WatchedLoad>();
  private refused = 0;

  constructor(private readonly options: LoadQuarantineOptions) {
    const { contents, directory } = options;
    contents.onProcessEnded = (processId) => {
      this.noteProcessEnded(processId);
    };
    directory.events.on('changed', ({ id, draining }) => {
      if (draining) for (const load of this.loadsOnProcess(id)) load.isLeaving = true;
    });
    contents.isLeaving = (processId) => directory.isLeaving(processId);
    directory.events.on('removed', (backEnd) => {
      const { id, draining } = backEnd;
      for (const load of this.loadsOnProcess(id)) {
        load.isLeaving ||= draining;
        void this.conclude(load);
      }
      if (directory.hasEnded(id)) contents.noteReplaced(id);
      else if (!draining) contents.noteVanished(backEnd);
    });
  }

  get totals(): LoadQuarantineTotals {
    const suspects = this.options.contents.suspects.filter(isLoadContent);
    const isRefused = (content: string): boolean => this.options.contents.verdictOf(content) !== undefined;
    return {
      suspects: suspects.length,
      quarantined: suspects.filter(isRefused).length,
      refused: this.refused,
    };
  }

  /** Returns the verdict on a model or adapter; undefined if it may be loaded. */
  verdictOf(service: string, target: ModelTarget): Verdict | undefined {
    const { contents } = this.options;
    // Avoids computing a digest for each demand and plan while there is no evidence at all.
    return contents.hasNoEvidence ? undefined : contents.verdictOf(loadContent(service, target));
  }

  /**
   * Returns the monotonic time of the last crash under a load of a target; undefined if the target is
   * no suspect.
   */
  lastCrashAt(service: string, target: ModelTarget): number | undefined {
    const { contents } = this.options;
    return contents.hasNoEvidence ? undefined : contents.lastCrashAt(loadContent(service, target));
  }

  /**
   * Returns whether this daemon has an incomplete load order for a target, or one whose outcome is
   * still unknown.
   */
  hasLoadInProgress(service: string, target: ModelTarget): boolean {
    return this.loadsOf(loadContent(service, target)).length > 0;
  }

  /**
   * Waits for the right to order a load and returns its slot. A target that is no suspect does not
   * wait; a suspect waits until no other load of it from this daemon is in progress and the outcome of
   * the last one is known.
   */
  async acquireSlot(service: string, target: ModelTarget, signal: AbortSignal): Promise<SuspectSlot> {
    const content = loadContent(service, target);
    const slot = await this.options.contents.acquireSlot(content, signal);
    if (this.lastCrashAt(service, target) === undefined) return slot;
    await Promise.all(this.loadsOf(content).flatMap(({ check }) => (check === undefined ? [] : [check])));
    return slot;
  }

  /** Counts and logs a demand that was refused because of a verdict. */
  noteRefused(service: string, target: ModelTarget, { ends, retryAfterMs }: Verdict): void {
    this.refused += 1;
    const load = loadName(service, target);
    this.options.log.changed('load_refused', { load, ends, retryAfterMs: Math.round(retryAfterMs) });
  }

  /**
   * Starts tracking a load order that a worker accepted or may have accepted.
   *
   * @param orderedAt Monotonic time at which it was sent.
   */
  noteOrdered(backEnd: BackEnd, target: ModelTarget, orderedAt: number): void {
    const content = loadContent(backEnd.service, target);
    const key = loadKey(backEnd.id, content);
    if (this.watched.get(key)?.isConcluding === false || this.options.contents.hasEnded(backEnd.id)) return;
    const load = loadName(backEnd.service, target);
    const attempt = { content, requestId: '', route: '', load, backEnd, sentAt: orderedAt };
    this.watched.set(key, { attempt, isLeaving: backEnd.draining, isConcluding: false });
  }

  /** Checks the process of a worker that did not answer while it had load orders. */
  noteUnanswered(backEndId: string): void {
    for (const load of this.loadsOnProcess(backEndId)) void this.checkProcess(load);
  }

  /** Handles a completed load, which clears the evidence against its target. */
  noteLoaded({ id, service }: BackEnd, target: ModelTarget): void {
    const content = loadContent(service, target);
    if (this.watched.delete(loadKey(id, content)))
      this.options.contents.noteServed(content, loadName(service, target));
  }

  /** Handles a failed load: checks whether the process has ended, then stops tracking it. */
  noteFailed({ id, service }: BackEnd, target: ModelTarget): void {
    const load = this.watched.get(loadKey(id, loadContent(service, target)));
    if (load !== undefined) void this.conclude(load);
  }

  /** Checks the state of the process, then stops tracking the load. */
  private async conclude(load: WatchedLoad): Promise<void> {
    load.isConcluding = true;
    await this.checkProcess(load);
    this.unwatch(load);
  }

  /** Checks the state of the process. If it has ended, {@link noteProcessEnded} is called. */
  private checkProcess(load: WatchedLoad): Promise<void> {
    const { contents, clock } = this.options;
    load.unresponsiveSince ??= clock.monotonic();
    load.check ??= contents.processStateOf(load.attempt.backEnd).then((state) => {
      delete load.check;
      // The process runs, so a later missing answer starts a new unresponsive period.
      if (state === 'running') delete load.unresponsiveSince;
    });
    return load.check;
  }

  /**
   * Records the crash for each load of the process. The back end is removed from the directory,
   * because its stored record may remain for seconds.
   */
  private noteProcessEnded(processId: string): void {
    const { contents, clock, directory } = this.options;
    const loads = this.loadsOnProcess(processId);
    for (const load of loads) {
      this.unwatch(load);
      if (!load.isLeaving) contents.noteEnded(load.attempt, load.unresponsiveSince ?? clock.monotonic());
    }
    if (loads.length > 0) directory.remove(processId);
  }

  private unwatch(load: WatchedLoad): void {
    const { backEnd, content } = load.attempt;
    const key = loadKey(backEnd.id, content);
    if (this.watched.get(key) === load) this.watched.delete(key);
  }

  private loadsOnProcess(backEndId: string): WatchedLoad[] {
    return [...this.watched.values()].filter(({ attempt }) => attempt.backEnd.id === backEndId);
  }

  private loadsOf(content: string): WatchedLoad[] {
    return [...this.watched.values()].filter(({ attempt }) => attempt.content === content);
  }
}

function loadKey(backEndId: string, content: string): string {
  return `${backEndId} ${content}`;
}
