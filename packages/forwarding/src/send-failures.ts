/** Notes of sends that brought no answer of use: health of the back end, back ends left out, ends of processes. */
import type { BackEnd } from '@woodbarrow/backends';
import type { BackendHealth, SendResult } from './backend-health.js';
import type { RequestScope } from './request-scope.js';
import { mayRunAgain } from './route.js';

/** Notes for one request. */
export class SendFailures {
  constructor(private readonly scope: RequestScope) {}

  /** The back end is not asked again for this request. */
  recordFailure(backEnd: BackEnd, result: SendResult, detail: string): void {
    const { context, facts, progress } = this.scope;
    this.health().record(backEnd.id, result);
    progress.excluded.add(backEnd.id);
    context.journal.decided('request_declined', facts.id, { backEnd: backEnd.id, verdict: result, detail });
  }

  /** The answer broke off; whether the process has ended with it is found out meanwhile. */
  recordBroken(backEnd: BackEnd, sentAt: number, detail: string): void {
    const { context, facts, route, digest } = this.scope;
    this.recordFailure(backEnd, 'broken', detail);
    const current = context.directory.get(backEnd.id);
    context.quarantine.noteBroken({
      content: digest,
      requestId: facts.id,
      route: route.name,
      backEnd,
      wasLeaving: current === undefined || current.draining,
      sentAt,
    });
  }

  /**
   * How long a back end may be silent before another is tried, where that is allowed.
   *
   * @param runCount Back ends on which the request may have run, this one included.
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
