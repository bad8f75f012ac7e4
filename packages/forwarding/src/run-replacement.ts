/**
 * Seeks another run for a request whose answer has gone silent. The silent run is given up only once another one has been granted and
 * its back end has not turned it away, since a healthy back end may pause briefly, and its answer is the client's as
 * long as there is no other.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { sleep } from '@woodbarrow/runtime';
import type { PreparedRun } from './prepared-run.js';
import { raceAbort } from './race-abort.js';
import type { DecisionFacts } from './request-journal.js';
import type { RequestRun } from './request-run.js';
import type { RequestScope } from './request-scope.js';
import type { RunPreparation } from './run-preparation.js';

/**
 * Time for which the silent run is kept after another one was sent, in milliseconds. A back end that has no room says so at once; after
 * that two back ends would work on the request.
 */
const OVERLAP_MS = 250;
/** Time after which another run is sought again when none was granted, in milliseconds. */
const RETRY_INTERVAL_MS = 250;

/** How the wait for a silent answer ended. */
export type SilenceEnd =
  /** The answer can be read on: data has arrived, or it has ended. */
  | 'ready'
  /** Another run has taken its place. */
  | 'replaced'
  /** The process is known to have ended. */
  | 'process_ended'
  /** Time is up, or the client has disconnected. */
  | 'expired';

/** Seeks a replacement for silent runs. */
export interface RunReplacement {
  /** Waits for the answer of a silent run, and seeks another run meanwhile. @param ready Resolves when the answer can be read on. */
  seek(backEnd: BackEnd, ready: Promise<unknown>): Promise<SilenceEnd>;
}

/** A run that has taken the place of a silent one. */
export interface ReplacingRun {
  readonly prepared: PreparedRun;
  readonly run: RequestRun;
}

/** Access to the request whose runs are replaced. */
export interface ReplacedRequest {
  /** Whether the route and the progress of the request allow another run. */
  readonly allowsAnother: () => boolean;
  /** Records that the silent run may have run, so that another one counts as a retry. */
  readonly noteSilent: () => void;
  /** Sends a prepared run; undefined if it is no longer valid. */
  readonly begin: (prepared: PreparedRun) => ReplacingRun | undefined;
  /** Handles the result of a run that did not take over. */
  readonly concludeFailed: (replacing: ReplacingRun) => Promise<void>;
  /** Returns permits that no run has used. */
  readonly refund: () => void;
}

/** Replacement of the runs of one request. */
export class SilentRunReplacement implements RunReplacement {
  private replacing: ReplacingRun | undefined;
  /** Whether another run was sent of which it is not known yet whether it takes over. */
  private isUndecided = false;
  /** Resolves when time is up or the client has disconnected. */
  private expiry: Promise<unknown> | undefined;
  /** Preparation in progress; it may outlast the silence for which it began. */
  private preparation: Promise<PreparedRun | undefined> = Promise.resolve(undefined);

  constructor(
    private readonly scope: RequestScope,
    private readonly preparing: RunPreparation,
    private readonly request: ReplacedRequest,
  ) {}

  /** Returns the run that has taken over, if any. */
  take(): ReplacingRun | undefined {
    const { replacing } = this;
    this.replacing = undefined;
    return replacing;
  }

  /** Resolves when no preparation is in progress, so that the permits of the request are no longer in use. */
  async whenIdle(): Promise<void> {
    await this.preparation;
  }

  async seek(backEnd: BackEnd, ready: Promise<unknown>): Promise<SilenceEnd> {
    const { context, progress, answer } = this.scope;
    const startedAt = context.clock.monotonic();
    const health = context.healthOf(this.scope.service.name);
    health.noteSilence(backEnd.id);
    progress.silent.add(backEnd.id);
    progress.mayHaveRunOn.add(backEnd.id);
    this.request.noteSilent();
    this.record('answer_silent', { backEnd: backEnd.id, afterEvent: answer.lastEventId });
    const end = await this.awaitEnd(backEnd, ready);
    const silentMs = Math.round(context.clock.monotonic() - startedAt);
    progress.silent.delete(backEnd.id);
    if (end !== 'ready') progress.excluded.add(backEnd.id);
    const replacedBy = this.replacing?.run.backEnd.id;
    this.record('answer_silence_ended', { backEnd: backEnd.id, end, silentMs, replacedBy });
    return end;
  }

  private async awaitEnd(backEnd: BackEnd, ready: Promise<unknown>): Promise<SilenceEnd> {
    const search = new AbortController();
    const endOf = <End extends SilenceEnd>(event: Promise<unknown>, end: End): Promise<End> =>
      event.then(() => {
        search.abort();
        return end;
      });
    this.expiry ??= raceAbort(never(), this.scope.expired);
    const replaced = this.replace(search.signal);
    const end = await Promise.race([
      endOf(ready, 'ready'),
      endOf(this.processEnd(backEnd), 'process_ended'),
      endOf(this.expiry, 'expired'),
      endOf(replaced.then(whenTrue), 'replaced'),
    ]);
    // Once another run was sent, it decides: only one of the two may go on.
    if (this.isUndecided) await replaced;
    return this.replacing === undefined ? end : 'replaced';
  }

  /** Seeks another run until one has taken over or `search` aborts. Returns whether one has taken over. */
  private async replace(search: AbortSignal): Promise<boolean> {
    while (!search.aborted && this.request.allowsAnother()) {
      const prepared = await this.prepare(search);
      if (prepared === undefined) await this.pause(search);
      else if (search.aborted) this.returnUnused(prepared);
      else if (await this.tryRun(prepared)) return true;
    }
    return false;
  }

  /** Sends another run. Returns whether its back end has accepted it, or has not turned it away in time. */
  private async tryRun(prepared: PreparedRun): Promise<boolean> {
    this.isUndecided = true;
    try {
      const replacing = this.request.begin(prepared);
      if (replacing === undefined) return false;
      if (await replacing.run.failsWithin(OVERLAP_MS)) {
        await this.request.concludeFailed(replacing);
        return false;
      }
      this.replacing = replacing;
      return true;
    } finally {
      this.isUndecided = false;
    }
  }

  /** Obtains what another run needs; undefined if it is not granted now or `search` aborts. */
  private async prepare(search: AbortSignal): Promise<PreparedRun | undefined> {
    const before = this.preparation;
    this.preparation = before.then(() => this.prepareOnce(search));
    return this.preparation;
  }

  private async prepareOnce(search: AbortSignal): Promise<PreparedRun | undefined> {
    if (search.aborted || !(await this.preparing.acquireRetry('silent'))) return undefined;
    let preparation = await this.preparing.prepare(search);
    while (preparation.kind === 'again' && !search.aborted)
      preparation = await this.preparing.prepare(search);
    if (preparation.kind === 'prepared') return preparation.run;
    this.request.refund();
    return undefined;
  }

  private returnUnused({ permit, release }: PreparedRun): void {
    permit.refund();
    release();
    this.request.refund();
  }

  private async pause(search: AbortSignal): Promise<void> {
    await raceAbort(sleep(this.scope.context.clock, RETRY_INTERVAL_MS), search);
  }

  /** Resolves once the process of a back end is known to have ended. */
  private async processEnd(backEnd: BackEnd): Promise<void> {
    const state = await this.scope.context.quarantine.processStateOf(backEnd);
    if (state !== 'ended') await never();
  }

  private record(decision: 'answer_silent' | 'answer_silence_ended', facts: DecisionFacts): void {
    this.scope.context.journal.decided(decision, this.scope.facts.id, facts);
  }
}

/** Resolves if the value is true, and never otherwise. */
function whenTrue(value: boolean): Promise<void> {
  return value ? Promise.resolve() : never();
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}
