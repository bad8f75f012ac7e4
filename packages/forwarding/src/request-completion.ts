/** Sends error answers and records how a request ended. */
import { errorResponseSpec, type ErrorKind } from '@woodbarrow/errors';
import { encodeText, type ResponseHead } from '@woodbarrow/runtime';
import type { ClientAnswer } from './client-answer.js';
import type { DecisionFacts, RequestJournal } from './request-journal.js';
import type { WireDialect } from './wire-dialect.js';

/** Suggested retry delay of a stopping daemon, in milliseconds; another daemon can serve the retry at once. */
const STOPPING_RETRY_MS = 10;

/** Request data that {@link RequestCompletion} needs. */
export interface CompletionOptions {
  readonly answer: ClientAnswer;
  readonly requestId: string;
  readonly routeName: string;
  /** Milliseconds since the request arrived. */
  readonly elapsedMs: () => number;
  readonly dialect: WireDialect;
  readonly journal: RequestJournal;
  /** Sends so far. */
  readonly sends: () => number;
}

/** A complete answer of a back end that has not been forwarded. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Summary of a stream as received from the back ends; times in milliseconds. */
export interface StreamSummary {
  /** From the arrival of the request to the head of the answer. */
  readonly firstMs: number;
  /** Longest time between two chunks. */
  readonly longestGapMs: number;
  /** Id of the first event of the last run. */
  readonly firstEvent: string | undefined;
  /** Id of the last event forwarded. */
  readonly lastEvent: string | undefined;
}

/** Ends one request, exactly once. */
export class RequestCompletion {
  constructor(private readonly options: CompletionOptions) {}

  /**
   * Answers that the request did not run and will not run.
   *
   * @param retryAfterMs Suggested retry delay; 0 if unknown.
   * @param facts Further facts for the log.
   */
  refuse(kind: ErrorKind, cause: string, retryAfterMs: number, facts: DecisionFacts = {}): void {
    if (!this.answerError(kind, retryAfterMs)) return;
    this.recordOutcome('refused');
    this.recordDecision('request_refused', {
      kind,
      cause,
      retryAfterMs: Math.round(retryAfterMs),
      waitedMs: Math.round(this.options.elapsedMs()),
      ...facts,
    });
  }

  /** Refuses because this daemon is stopping. */
  refuseStopping(): void {
    this.refuse('stopping', 'this daemon stops', STOPPING_RETRY_MS);
  }

  /** Answers that the request may have run. */
  fail(kind: ErrorKind, cause: string): void {
    if (!this.answerError(kind, 0)) return;
    this.recordOutcome('failed');
    this.recordDecision('request_failed', { answer: kind, cause });
  }

  /** Forwards a back end's failure as the final answer. */
  forwardFailure(failure: BufferedAnswer): void {
    if (!this.respond(failure, failure.body)) return;
    this.recordOutcome('failure_passed_on');
  }

  /** Aborts an answer that has begun and cannot be completed. */
  abortAnswer(cause: string): void {
    this.options.answer.abort();
    this.recordOutcome('broken_off');
    this.recordDecision('request_failed', { answer: 'broken_off', cause });
  }

  /** Records that the client has disconnected. */
  recordAbandoned(): void {
    this.options.answer.abort();
    this.recordOutcome('abandoned');
    this.recordDecision('request_abandoned', {});
  }

  /** Records that a back end's answer has been forwarded completely. @param stream Set for event streams. */
  recordAnswered(status: number, backEndId: string, stream?: StreamSummary): void {
    this.recordOutcome(status < 500 ? 'served' : 'failure_passed_on');
    this.recordDecision('request_answered', {
      status,
      backEnd: backEndId,
      tookMs: Math.round(this.options.elapsedMs()),
      ...(stream === undefined
        ? {}
        : {
            ...stream,
            firstMs: Math.round(stream.firstMs),
            longestGapMs: Math.round(stream.longestGapMs),
          }),
    });
  }

  private answerError(kind: ErrorKind, retryAfterMs: number): boolean {
    const { dialect, requestId } = this.options;
    const retryAfterSeconds = retryAfterMs > 0 ? retryAfterMs / 1000 : undefined;
    const headers = dialect.ownHeaders(requestId, retryAfterSeconds);
    return this.respond({ status: errorResponseSpec(kind).status, headers }, encodeText(`${kind}\n`));
  }

  /** Sends a complete answer, or aborts one that has begun. Returns whether it was sent. */
  private respond(head: ResponseHead, body: Uint8Array): boolean {
    const { state } = this.options.answer;
    if (state.kind === 'not_begun') state.respond(head, body);
    else this.abortAnswer('an answer had begun');
    return state.kind === 'not_begun';
  }

  private recordDecision(
    decision: 'request_refused' | 'request_failed' | 'request_abandoned' | 'request_answered',
    facts: DecisionFacts,
  ): void {
    this.options.journal.decided(decision, this.options.requestId, { ...facts, sends: this.options.sends() });
  }

  private recordOutcome(outcome: string): void {
    this.options.journal.ended(this.options.routeName, outcome, this.options.elapsedMs());
  }
}
