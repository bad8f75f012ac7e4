/** One send of a request to one back end, from its start to the end of its answer. */
import type { BackEnd, ModelTarget, WorkTicket } from '@woodbarrow/backends';
import { settleWithin } from '@woodbarrow/runtime';
import type { AnswerForwarder } from './answer-forwarder.js';
import type { SendChoice } from './backend-choice.js';
import type { AttemptResult, RequestScope } from './request-scope.js';
import type { DeclineVerdict, SendOutcome } from './send-attempt.js';
import type { RunOutcome } from './run-outcome.js';
import type { SendFailures } from './send-failures.js';

/** Dependencies of a run. */
export interface RequestRunOptions {
  readonly scope: RequestScope;
  readonly failures: SendFailures;
  readonly answerForwarder: AnswerForwarder;
  readonly choice: SendChoice;
  /** Ends the send and the work of the back end. */
  readonly abort: () => void;
  /** Called when the run has ended. */
  readonly onEnded: () => void;
  readonly ticket: WorkTicket;
  /** Head of the answer. Never rejects. */
  readonly head: Promise<SendOutcome>;
  /** Monotonic time of the send, in milliseconds. */
  readonly sentAt: number;
  readonly outcome: RunOutcome;
}

/** A run in progress. Must be finished once, whatever its result. */
export class RequestRun {
  constructor(private readonly options: RequestRunOptions) {}

  get backEnd(): BackEnd {
    return this.options.choice.backEnd;
  }

  /** Head of the answer. Never rejects. */
  get head(): Promise<SendOutcome> {
    return this.options.head;
  }

  /** Waits for the head of the answer. Returns whether it has arrived by then and cannot take the place of a silent answer. */
  async failsWithin(limitMs: number): Promise<boolean> {
    const { scope, head, answerForwarder } = this.options;
    const settled = await settleWithin(scope.context.clock, limitMs, head);
    if (settled.timedOut) return false;
    return settled.value.kind !== 'answered' || !answerForwarder.canReplace(settled.value.answer);
  }

  /** Forwards the answer, until it has ended or another run has replaced this one. Rejects if writing to the client fails. */
  async finish(): Promise<AttemptResult> {
    const { scope, ticket, abort, onEnded, sentAt, outcome } = this.options;
    const { context, service, priority, progress } = scope;
    let mayHaveRun = true;
    try {
      const result = await this.conclude(await this.awaitHead());
      mayHaveRun = result.kind !== 'not_run';
      if (result.kind === 'replaced') abort();
      return result;
    } catch (error) {
      // Writing to the client failed, so the back end's work is no longer needed.
      abort();
      throw error;
    } finally {
      outcome.noteEnded();
      onEnded();
      progress.runsInProgress -= 1;
      ticket.ended();
      const ranMs = context.clock.monotonic() - sentAt;
      context.connections.noteEnded(service, this.backEnd.id, ranMs);
      context.dispatch.noteEnded(service.name, priority, mayHaveRun ? ranMs : undefined);
    }
  }

  /** Waits for the head of the answer; beyond the limit only until another run has replaced this one. */
  private async awaitHead(): Promise<SendOutcome | 'replaced' | 'process_ended'> {
    const { scope, failures, head, sentAt } = this.options;
    const limitMs = failures.answerTimeoutMs(scope.progress.mayHaveRunOn.size + 1);
    if (limitMs === undefined) return head;
    const leftMs = Math.max(0, sentAt + limitMs - scope.context.clock.monotonic());
    const settled = await settleWithin(scope.context.clock, leftMs, head);
    if (!settled.timedOut) return settled.value;
    const end = await scope.replacement.seek(
      this.backEnd,
      head.then(() => undefined),
    );
    // The send is aborted when time is up.
    return end === 'ready' || end === 'expired' ? head : end;
  }

  private async conclude(head: SendOutcome | 'replaced' | 'process_ended'): Promise<AttemptResult> {
    const { scope, ticket, failures, answerForwarder, sentAt, outcome } = this.options;
    const { progress, expired, exchange } = scope;
    const { backEnd } = this;
    if (head === 'replaced') {
      failures.recordReplaced(backEnd, outcome);
      return { kind: 'replaced' };
    }
    if (head === 'process_ended') {
      this.options.abort();
      progress.mayHaveRunOn.add(backEnd.id);
      failures.recordBroken(backEnd, outcome, 'its process ended before the answer');
      return { kind: 'maybe_run' };
    }
    switch (head.kind) {
      case 'answered':
        ticket.begun();
        outcome.noteHead();
        return answerForwarder.forward({ ...head, backEnd, sentAt, outcome });
      case 'declined':
        outcome.noteNotRun();
        if (head.verdict !== 'other_incarnation') outcome.noteHead();
        return this.recordDeclined(head.verdict);
      case 'unreachable':
        outcome.noteNotRun();
        failures.recordFailure(backEnd, 'unreachable', head.detail);
        return { kind: 'not_run', arrived: false };
      case 'broken':
        progress.mayHaveRunOn.add(backEnd.id);
        if (!expired.aborted) failures.recordBroken(backEnd, outcome, head.detail);
        else if (!exchange.signal.aborted) failures.health().record(backEnd.id, 'timed_out');
        return { kind: 'maybe_run' };
    }
  }

  private recordDeclined(verdict: DeclineVerdict): AttemptResult {
    const { context, facts, progress } = this.options.scope;
    const { backEnd } = this;
    context.journal.decided('request_declined', facts.id, { backEnd: backEnd.id, verdict });
    if (verdict === 'not_resident' && facts.target !== undefined) {
      context.directory.announce(backEnd.id, missingTarget(backEnd, facts.target), false);
    } else {
      progress.excluded.add(backEnd.id);
      if (verdict === 'not_run') context.connections.noteDeclined(backEnd.id);
      if (verdict === 'other_incarnation') context.directory.remove(backEnd.id);
    }
    return { kind: 'not_run', arrived: true };
  }
}

/** Target to remove from the directory: if the model is recorded, only the adapter is missing. */
function missingTarget(backEnd: BackEnd, target: ModelTarget): ModelTarget {
  const hasModelRecord = backEnd.models.some((held) => held.name === target.model);
  return hasModelRecord ? target : { model: target.model };
}
