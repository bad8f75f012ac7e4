/** Sends a scenario's requests to a simulated deployment, with the retries of its callers. */
import type { Random } from '@woodbarrow/runtime';
import { Caller, shouldRetry, type Attempt, type CallerRequest } from '../traffic/caller.js';
import { modelIdOf } from '../traffic/request-facts.js';
import type { PlannedRequest } from '../traffic/workload.js';
import type { SimulatedDeployment } from './simulated-deployment.js';

/** One request with all its attempts. */
export interface RequestHistory {
  readonly planned: PlannedRequest;
  /** Whether no replica was ready at the first attempt. */
  cold: boolean;
  firstSentAtMs: number;
  readonly attempts: Attempt[];
  /** Whether all attempts have ended. */
  done: boolean;
}

const RETRY_DELAY_MS = 500;

/** Sends requests and records their attempts. */
export class TrafficDriver {
  readonly histories: RequestHistory[] = [];

  constructor(
    private readonly deployment: SimulatedDeployment,
    private readonly random: Random,
  ) {}

  /** Schedules all requests; their times count from `startMs` after now. */
  schedule(requests: readonly PlannedRequest[], startMs: number): void {
    for (const planned of requests) {
      this.deployment.world.schedule(startMs + planned.atMs, () => {
        void this.send(planned);
      });
    }
  }

  /** Number of requests that have not ended. */
  get unfinished(): number {
    return this.histories.filter((history) => !history.done).length;
  }

  private async send(planned: PlannedRequest): Promise<void> {
    const { world } = this.deployment;
    const history: RequestHistory = {
      planned,
      cold: !this.isWarm(planned.request),
      firstSentAtMs: world.now,
      attempts: [],
      done: false,
    };
    this.histories.push(history);
    const caller = new Caller(this.deployment.clientIn(planned.zone), () => world.now);
    for (let left = planned.retries; ; left -= 1) {
      const attempt = await this.attempt(caller, history);
      if (left <= 0 || !shouldRetry(attempt)) break;
      await this.delay((attempt.retryAfterSeconds ?? 0) * 1000 + RETRY_DELAY_MS);
    }
    history.done = true;
  }

  private async attempt(caller: Caller, history: RequestHistory): Promise<Attempt> {
    const { world, observers } = this.deployment;
    const origin = this.pickDaemon(history);
    const attempt = await caller.send(
      history.planned.request,
      origin,
      world.now - history.firstSentAtMs,
      (started) => {
        history.attempts.push(started);
        for (const observer of observers) observer.onAttemptStart?.(started);
      },
    );
    world.record(`${history.planned.request.marker} ${String(attempt.outcome)} ${attempt.code ?? ''}`);
    for (const observer of observers) observer.onAttemptEnd?.(attempt);
    return attempt;
  }

  /** Returns the origin of a daemon in the caller's zone, other than that of the last attempt if possible. */
  private pickDaemon(history: RequestHistory): string {
    const slots = [...this.deployment.daemons.values()].filter(
      (slot) => slot.plan.zone === history.planned.zone,
    );
    const last = history.attempts.at(-1)?.origin;
    const origins = slots.map((slot) => this.deployment.callerOrigin(slot.plan.id));
    const others = origins.filter((origin) => origin !== last);
    return this.random.pick(others.length > 0 ? others : origins) ?? '';
  }

  private delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.deployment.world.schedule(durationMs, resolve);
    });
  }

  private isWarm(request: CallerRequest): boolean {
    const id = modelIdOf(request);
    return [...this.deployment.workers.values()].some(
      (slot) =>
        slot.process.alive &&
        slot.leavingSinceMs === undefined &&
        slot.engine.loaded().some((entry) => entry.model === id && entry.state === 'ready'),
    );
  }
}
