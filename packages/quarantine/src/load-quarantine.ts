/**
 * Loads that end each worker which begins them. An order to load is watched until its end. When the process ends before, that is
 * held against what is loaded: an adapter where it was one, else the model. Whoever orders a load asks here first, and does not
 * order what has proved to end the workers.
 */
import type { BackEnd, BackendDirectory, ModelTarget } from '@woodbarrow/backends';
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import { isLoadContent, loadContent, loadName } from './load-content.js';
import type { ContentAttempt, RequestQuarantine, Verdict } from './request-quarantine.js';
import type { Turn } from './suspect-slots.js';

/** Options of {@link LoadQuarantine}. */
export interface LoadQuarantineOptions {
  /** Marks, verdicts and records, those of requests included. */
  readonly contents: RequestQuarantine;
  readonly directory: BackendDirectory;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Counts for operators. */
export interface LoadQuarantineTotals {
  /** Models and adapters that workers have ended under. */
  readonly suspects: number;
  /** Those of them that are not loaded any more. */
  readonly quarantined: number;
  /** Demands refused for it since the start. */
  readonly refused: number;
}

/** An order to load that has no end yet. */
interface WatchedLoad {
  readonly attempt: ContentAttempt;
  /** The worker has begun to leave, or its record went while it ran: its end says nothing. */
  isLeaving: boolean;
  /** Monotonic time of the first call that the worker did not answer. */
  unresponsiveSince?: number;
  /** Set while it is found out whether the process has ended. */
  check?: Promise<void>;
  /** It did not come about, and is dropped when that is known. */
  isConcluding: boolean;
}

/** Loads of one daemon's zones, and what all daemons hold against loads. */
export class LoadQuarantine {
  /** By worker and content. */
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
    directory.events.on('removed', ({ id, draining }) => {
      for (const load of this.loadsOnProcess(id)) {
        load.isLeaving ||= draining;
        void this.conclude(load);
      }
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

  /** Why a model or adapter must not be loaded; undefined when it may. */
  verdictOf(service: string, target: ModelTarget): Verdict | undefined {
    const { contents } = this.options;
    // Asked for each demand and each plan, and nearly always nothing is known against anything.
    return contents.hasNoEvidence ? undefined : contents.verdictOf(loadContent(service, target));
  }

  /** When the last worker ended under a load of a target, monotonic; undefined while it is not suspected. */
  lastEndOf(service: string, target: ModelTarget): number | undefined {
    const { contents } = this.options;
    return contents.hasNoEvidence ? undefined : contents.lastCrashAt(loadContent(service, target));
  }

  /** Whether this daemon has an order to load a target under way, or does not know yet what came of it. */
  isUnderWay(service: string, target: ModelTarget): boolean {
    return this.loadsOf(loadContent(service, target)).length > 0;
  }

  /**
   * Resolves when a load may be ordered: at once for one that is not suspected; for a suspect when no other load of it is under
   * way from this daemon and it is known what came of the last one.
   */
  async takeTurn(service: string, target: ModelTarget, signal: AbortSignal): Promise<Turn> {
    const content = loadContent(service, target);
    const slot = await this.options.contents.takeTurn(content, signal);
    if (this.lastEndOf(service, target) === undefined) return slot;
    await Promise.all(this.loadsOf(content).flatMap(({ check }) => (check === undefined ? [] : [check])));
    return slot;
  }

  /** A demand was turned down because of a verdict. */
  noteRefused(service: string, target: ModelTarget, { ends, retryAfterMs }: Verdict): void {
    this.refused += 1;
    const load = loadName(service, target);
    this.options.log.changed('load_refused', { load, ends, retryAfterMs: Math.round(retryAfterMs) });
  }

  /** A worker has taken an order to load, or may have. @param orderedAt Monotonic time at which it was sent. */
  ordered(backEnd: BackEnd, target: ModelTarget, orderedAt: number): void {
    const content = loadContent(backEnd.service, target);
    const key = loadKey(backEnd.id, content);
    if (this.watched.get(key)?.isConcluding === false || this.options.contents.hasEnded(backEnd.id)) return;
    const load = loadName(backEnd.service, target);
    const attempt = { content, requestId: '', route: '', load, backEnd, sentAt: orderedAt };
    this.watched.set(key, { attempt, isLeaving: backEnd.draining, isConcluding: false });
  }

  /** A worker did not answer: where it was ordered to load, its process is asked after. */
  unanswered(backEndId: string): void {
    for (const load of this.loadsOnProcess(backEndId)) void this.checkProcess(load);
  }

  /** A load has come about: what ended workers before was not what it loads. */
  finished({ id, service }: BackEnd, target: ModelTarget): void {
    const content = loadContent(service, target);
    if (this.watched.delete(loadKey(id, content)))
      this.options.contents.noteServed(content, loadName(service, target));
  }

  /** A load did not come about; whether the process has ended is found out meanwhile. */
  failed({ id, service }: BackEnd, target: ModelTarget): void {
    const load = this.watched.get(loadKey(id, loadContent(service, target)));
    if (load !== undefined) void this.conclude(load);
  }

  /** Asks after the process, and stops watching the load. */
  private async conclude(load: WatchedLoad): Promise<void> {
    load.isConcluding = true;
    await this.checkProcess(load);
    this.unwatch(load);
  }

  /** A process that has ended comes back by way of {@link noteProcessEnded}. */
  private checkProcess(load: WatchedLoad): Promise<void> {
    const { contents, clock } = this.options;
    load.unresponsiveSince ??= clock.monotonic();
    load.check ??= contents.fateOf(load.attempt.backEnd).then((fate) => {
      delete load.check;
      // It lives: what is not answered from now on is another silence.
      if (fate === 'running') delete load.unresponsiveSince;
    });
    return load.check;
  }

  /** What was ordered of the worker comes to an end with it: its record may stay in the store for seconds. */
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
