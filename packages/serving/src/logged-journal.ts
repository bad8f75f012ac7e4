/** Logs decisions on requests and counts the outcomes of requests. */
import type { DecisionFacts, RequestDecision, RequestJournal } from '@woodbarrow/forwarding';
import type { BoundedLog } from '@woodbarrow/observability';
import type { ServingMetrics } from './serving-metrics.js';

/** Decisions that are logged as warnings. */
const WARNING_DECISIONS: ReadonlySet<RequestDecision> = new Set([
  'request_refused',
  'request_failed',
  'request_declined',
  'request_repeated',
  'send_withheld',
  'answer_silent',
  'answer_silence_ended',
  'request_resumed',
  'stream_taken_up',
  'take_up_refused',
  'event_torn',
]);

/** Request journal that writes to the log and the metrics of one daemon. */
export class LoggedJournal implements RequestJournal {
  constructor(
    private readonly log: BoundedLog,
    private readonly metrics: ServingMetrics,
  ) {}

  decided(decision: RequestDecision, requestId: string, facts: DecisionFacts): void {
    this.metrics.countDecision(decision);
    if (decision === 'request_repeated') this.countRetry(facts);
    if (decision === 'answer_silence_ended') this.metrics.countSilentAnswer(String(facts['end']));
    if (decision === 'take_up_refused') this.metrics.countRefusedResume(String(facts['reason']));
    if (decision === 'stream_taken_up') this.metrics.countTakeUp(String(facts['source']));
    if (facts['kind'] === 'stream_not_resumable') this.metrics.countTakeUp(String(facts['cause']));
    const details = { request: requestId, ...facts };
    if (WARNING_DECISIONS.has(decision)) this.log.warned(decision, details);
    else this.log.routine(decision, details);
  }

  private countRetry({ service, counted, source, withheld }: DecisionFacts): void {
    if (counted === true) this.metrics.countRetry(String(service), String(source ?? withheld));
  }

  ended(_route: string, outcome: string, durationMs: number): void {
    this.metrics.recordRequestEnd(outcome, durationMs);
  }
}
