/** Writes decisions on requests to the log and counts how requests end. */
import type { DecisionFacts, RequestDecision, RequestJournal } from '@woodbarrow/forwarding';
import type { BoundedLog } from '@woodbarrow/observability';

/** Decisions that say that something went wrong. */
const FAILURES: ReadonlySet<RequestDecision> = new Set([
  'request_refused',
  'request_failed',
  'request_declined',
  'request_repeated',
  'request_resumed',
]);

/** Journal of one daemon. */
export class LoggedJournal implements RequestJournal {
  /** Ended requests by outcome. */
  readonly outcomes = new Map<string, number>();

  constructor(private readonly log: BoundedLog) {}

  decided(decision: RequestDecision, requestId: string, facts: DecisionFacts): void {
    const details = { request: requestId, ...facts };
    if (FAILURES.has(decision)) this.log.warned(decision, details);
    else this.log.routine(decision, details);
  }

  ended(_route: string, outcome: string): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }
}
