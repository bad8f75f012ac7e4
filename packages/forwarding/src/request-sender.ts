/** Sends a request to a chosen back end and handles the outcome. */
import type { BackEnd, ModelTarget, ReportedLoad, WorkTicket } from '@woodbarrow/backends';
import { AnswerForwarder } from './answer-forwarder.js';
import type { BackendChoice } from './backend-choice.js';
import type { BackendNotice } from './backend-notice.js';
import type { AttemptResult, RequestScope } from './request-scope.js';
import type { RunTimeEstimate } from './run-time-estimate.js';
import { sendAttempt, type SendOutcome } from './send-attempt.js';
import { SendFailures } from './send-failures.js';

/** Sends of one request. */
export class RequestSender {
  private readonly failures: SendFailures;
  private readonly answerForwarder: AnswerForwarder;

  constructor(
    private readonly scope: RequestScope,
    private readonly runTimeEstimate: RunTimeEstimate,
  ) {
    this.failures = new SendFailures(scope);
    this.answerForwarder = new AnswerForwarder(scope, runTimeEstimate, this.failures);
  }

  /** Sends the request once and forwards the answer. Rejects if writing to the client fails. */
  async attempt(choice: BackendChoice & { kind: 'send' }): Promise<AttemptResult> {
    const { backEnd } = choice;
    const { context, facts, progress, expired, service, priority } = this.scope;
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    expired.addEventListener('abort', abort);
    if (expired.aborted) abort();
    progress.sends += 1;
    progress.isSending = true;
    const expectedMs = this.runTimeEstimate.expectedMs();
    const ticket = context.loads.start(backEnd.id, facts.target, { ...facts, expectedMs });
    choice.place?.release('sent');
    const sentAt = context.clock.monotonic();
    this.recordSent(choice);
    let mayHaveRun = true;
    try {
      const outcome = await this.send(backEnd, controller, sentAt);
      const result = await this.conclude(outcome, backEnd, ticket, sentAt);
      mayHaveRun = result.kind !== 'not_run';
      return result;
    } catch (error) {
      // Writing to the client failed, so the back end's work is no longer needed.
      abort();
      throw error;
    } finally {
      progress.isSending = false;
      ticket.ended();
      const ranMs = context.clock.monotonic() - sentAt;
      context.connections.noteEnded(service, backEnd.id, ranMs);
      context.dispatch.noteEnded(service.name, priority, mayHaveRun ? ranMs : undefined);
      expired.removeEventListener('abort', abort);
    }
  }

  private recordSent({ backEnd, reason, queuedMs = 0 }: BackendChoice & { kind: 'send' }): void {
    const { context, facts, times } = this.scope;
    context.journal.decided('request_sent', facts.id, {
      backEnd: backEnd.id,
      zone: backEnd.zone,
      softwareVersion: backEnd.softwareVersion,
      reason,
      running: context.loads.loadOf(backEnd.id).requests,
      recordAgeMs: Math.round(context.directory.recordAgeMs(backEnd.id)),
      leftMs: Math.round(times.remainingMs()),
      ...(queuedMs > 0 ? { queuedMs: Math.round(queuedMs) } : {}),
    });
  }

  private send(backEnd: BackEnd, controller: AbortController, sentAt: number): Promise<SendOutcome> {
    const { exchange, context, facts, progress, body } = this.scope;
    const timeoutMs = this.failures.answerTimeoutMs(progress.mayHaveRunOn.size + 1);
    const plan = {
      backEnd,
      requestId: facts.id,
      method: exchange.method,
      target: exchange.target,
      headers: this.requestHeaders(backEnd),
      body,
      controller,
      onNotice: (notice: BackendNotice) => {
        context.notices.record(backEnd.id, notice, sentAt);
      },
      onLoad: ({ pacePercent }: ReportedLoad) => {
        if (pacePercent !== undefined) context.paces.record(backEnd.id, pacePercent);
      },
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
    };
    return sendAttempt(plan, context.client, context.dialect, context.clock);
  }

  private requestHeaders(backEnd: BackEnd): string[] {
    const { context, exchange, times, priority, tenant, answer } = this.scope;
    const resumeAfter = answer.lastEventId;
    return context.dialect.requestHeaders(exchange.rawHeaders, {
      remainingMs: Math.max(1, Math.floor(times.remainingMs())),
      backEndName: backEnd.name,
      priority,
      ...(tenant === undefined ? {} : { tenant: tenant.name }),
      ...(resumeAfter === undefined ? {} : { resumeAfter }),
    });
  }

  private async conclude(
    outcome: SendOutcome,
    backEnd: BackEnd,
    ticket: WorkTicket,
    sentAt: number,
  ): Promise<AttemptResult> {
    const { progress, expired, exchange } = this.scope;
    switch (outcome.kind) {
      case 'answered':
        ticket.begun();
        return this.answerForwarder.forward({ ...outcome, backEnd, sentAt });
      case 'declined':
        return this.recordDeclined(backEnd, outcome.verdict);
      case 'unreachable':
        this.failures.recordFailure(backEnd, 'unreachable', outcome.detail);
        return { kind: 'not_run', arrived: false };
      case 'silent':
        this.failures.recordFailure(backEnd, 'timed_out', 'no answer in time');
        progress.mayHaveRunOn.add(backEnd.id);
        return { kind: 'maybe_run' };
      case 'broken':
        progress.mayHaveRunOn.add(backEnd.id);
        if (!expired.aborted) this.failures.recordBroken(backEnd, sentAt, outcome.detail);
        else if (!exchange.signal.aborted) this.failures.health().record(backEnd.id, 'timed_out');
        return { kind: 'maybe_run' };
    }
  }

  private recordDeclined(
    backEnd: BackEnd,
    verdict: 'not_run' | 'other_incarnation' | 'not_resident',
  ): AttemptResult {
    const { context, facts, progress } = this.scope;
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
