/** Sends requests to a deployment on loopback and counts their outcomes. */
import type { Random } from '@woodbarrow/runtime';
import { sleep } from '@woodbarrow/runtime';
import { Caller, shouldRetry, type Attempt } from '../traffic/caller.js';
import type { PlannedRequest } from '../traffic/workload.js';
import type { RealDaemon, RealDeployment } from './real-deployment.js';

/** A request with its attempts so far. */
interface RequestHistory {
  readonly planned: PlannedRequest;
  readonly attempts: Attempt[];
  done: boolean;
}

/** Outcome counts of a run. */
export interface TrafficTotals {
  readonly sent: number;
  readonly served: number;
  readonly refusedByKind: Readonly<Record<string, number>>;
  /** Requests whose last attempt ended in an interrupted stream or a closed connection. */
  readonly failed: number;
  /** Requests without a response, or with a corrupt one. */
  readonly lost: number;
  /** Requests that ran more than once although they must not. */
  readonly doubled: number;
  /** Milliseconds from the first attempt to the first content, for served requests. */
  readonly firstContentMs: readonly number[];
}

const RETRY_DELAY_MS = 200;

/** Sends planned requests in real time and tracks their attempts. */
export class RealTraffic {
  private readonly histories: RequestHistory[] = [];
  private readonly pending = new Set<Promise<void>>();
  private readonly caller: Caller;

  constructor(
    private readonly deployment: RealDeployment,
    private readonly random: Random,
  ) {
    this.caller = new Caller(deployment.http, () => deployment.clock.monotonic());
  }

  /** Number of requests sent, and number of those that are done. */
  get progress(): { readonly sent: number; readonly ended: number } {
    return { sent: this.histories.length, ended: this.histories.filter((history) => history.done).length };
  }

  /** Sends all requests at their planned times; resolves when the last has been sent. */
  async send(requests: readonly PlannedRequest[]): Promise<void> {
    const { clock } = this.deployment;
    const start = clock.monotonic();
    for (const planned of requests) {
      const waitMs = start + planned.atMs - clock.monotonic();
      if (waitMs > 0) await sleep(clock, waitMs);
      this.begin(planned);
    }
  }

  /** Sends one request now; its first attempt goes to daemon `first` if given. */
  begin(planned: PlannedRequest, first?: RealDaemon): void {
    const history: RequestHistory = { planned, attempts: [], done: false };
    this.histories.push(history);
    const running = this.sendWithRetries(history, first).finally(() => this.pending.delete(running));
    this.pending.add(running);
  }

  /** Waits until all sent requests are done. */
  async settle(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  /** Returns the outcome counts of all sent requests. */
  totals(): TrafficTotals {
    const refusedByKind: Record<string, number> = {};
    const firstContentMs: number[] = [];
    const counts = { served: 0, failed: 0, lost: 0 };
    for (const { attempts, done } of this.histories) {
      const last = attempts.at(-1);
      if (!done || last?.outcome === undefined || last.outcome === 'corrupt') counts.lost += 1;
      else if (last.outcome === 'served') {
        counts.served += 1;
        firstContentMs.push((last.answeredAtMs ?? 0) - (attempts[0]?.sentAtMs ?? 0));
      } else if (last.outcome === 'refused') {
        refusedByKind[last.code ?? 'unknown'] = (refusedByKind[last.code ?? 'unknown'] ?? 0) + 1;
      } else counts.failed += 1;
    }
    return {
      sent: this.histories.length,
      ...counts,
      refusedByKind,
      doubled: this.countDuplicateRuns(),
      firstContentMs,
    };
  }

  private countDuplicateRuns(): number {
    const runs = new Map<string, number>();
    for (const record of this.deployment.engineRecords) {
      for (const [marker, count] of record.runs) runs.set(marker, (runs.get(marker) ?? 0) + count);
    }
    return this.histories.filter(({ planned: { request } }) => {
      const mustRunOnce = request.idempotencyKey !== undefined || request.notRepeatable;
      return mustRunOnce && (runs.get(request.marker) ?? 0) > 1;
    }).length;
  }

  private async sendWithRetries(history: RequestHistory, first: RealDaemon | undefined): Promise<void> {
    const { planned } = history;
    const { clock } = this.deployment;
    const firstSentAt = clock.monotonic();
    for (let left = planned.retries; ; left -= 1) {
      const origin =
        history.attempts.length === 0 && first !== undefined ? first.callerOrigin : this.pickOrigin(history);
      const keyAge = clock.monotonic() - firstSentAt;
      const attempt = await this.caller.send(planned.request, origin, keyAge, (started) => {
        history.attempts.push(started);
      });
      if (left <= 0 || !shouldRetry(attempt)) break;
      await sleep(clock, (attempt.retryAfterSeconds ?? 0) * 1000 + RETRY_DELAY_MS);
    }
    history.done = true;
  }

  private pickOrigin(history: RequestHistory): string {
    const last = history.attempts.at(-1)?.origin;
    const others = this.deployment.daemons.filter((daemon) => daemon.callerOrigin !== last);
    return this.random.pick(others)?.callerOrigin ?? '';
  }
}
