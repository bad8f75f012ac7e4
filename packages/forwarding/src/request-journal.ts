/** Port: journal of the decisions on requests, and counts of their outcomes. */

/** Decisions on a request, in the order they may come. */
export type RequestDecision =
  | 'request_admitted'
  | 'stream_taken_up'
  | 'request_queued'
  | 'request_sent'
  | 'request_declined'
  | 'request_repeated'
  | 'send_withheld'
  | 'answer_silent'
  | 'answer_silence_ended'
  | 'request_resumed'
  | 'take_up_refused'
  | 'event_torn'
  | 'answer_overlong'
  | 'request_answered'
  | 'request_refused'
  | 'request_failed'
  | 'request_abandoned';

/** Facts that led to a decision. */
export type DecisionFacts = Readonly<Record<string, string | number | boolean | undefined>>;

/** Receives decisions; never blocks. */
export interface RequestJournal {
  decided(decision: RequestDecision, requestId: string, facts: DecisionFacts): void;
  /** Counts the outcome of a request. @param durationMs Time since its arrival. */
  ended(route: string, outcome: string, durationMs: number): void;
}

/** Journal that discards everything. */
export const noopJournal: RequestJournal = { decided: () => undefined, ended: () => undefined };
