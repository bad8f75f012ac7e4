/** Records failed sends: back-end health, exclusion from retries, and possible process crashes. */
import type { BackEnd } from '@woodbarrow/backends';
import type { BackendHealth, SendResult } from './backend-health.js';
import type { RequestScope } from './request-scope.js';
import { mayRunAgain } from './route.js';
import type { RunOutcome } from './run-outcome.js';

/** Failed sends of one request. */
export class SendFailures {
  constructor(private readonly scope: RequestScope) {}

  /** Records a failure and excludes the back end from further sends of this request. */
  recordFailure(backEnd: BackEnd, result: SendResult, detail: string): void {
    const { context, facts, progress } = this.scope;
    this.health().record(backEnd.id, result);
    progress.excluded.add(backEnd.id);
    context.journal.decided('request_declined', facts.id, { backEnd: backEnd.id, verdict: result, detail });
  }

  /** Records an answer that broke; the quarantine checks whether the process crashed. */
  recordBroken(backEnd: BackEnd, outcome: RunOutcome, detail: string): void {
    this.recordFailure(backEnd, 'broken', detail);
    outcome.noteBroken();
  }

  /** Records a silent answer that another run has replaced; the process may have ended without closing its connections. */
  recordReplaced(backEnd: BackEnd, outcome: RunOutcome): void {
    this.recordFailure(backEnd, 'stalled', 'no data in time, replaced by another run');
    outcome.noteBroken();
  }

  /**
   * Milliseconds without data before another run is sought; undefined if no other may be.
   *
   * @param runCount Number of back ends on which the request may have run, including this one.
   */
  answerTimeoutMs(runCount: number): number | undefined {
    const { route, times } = this.scope;
    const canTryAnother = mayRunAgain(route.kind) && runCount < route.maximumAttempts;
    return canTryAnother ? times.answerTimeoutMs() : undefined;
  }

  health(): BackendHealth {
    return this.scope.context.healthOf(this.scope.service.name);
  }
}
