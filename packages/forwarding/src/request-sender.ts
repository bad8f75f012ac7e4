/** Starts the sends of a request. */
import type { BackEnd, ReportedLoad } from '@woodbarrow/backends';
import { AnswerForwarder } from './answer-forwarder.js';
import type { SendChoice } from './backend-choice.js';
import type { BackendNotice } from './backend-notice.js';
import { RequestRun } from './request-run.js';
import type { RequestScope } from './request-scope.js';
import { RunOutcome } from './run-outcome.js';
import type { RunTimeEstimate } from './run-time-estimate.js';
import { sendAttempt, type OverlongPart, type SendOutcome } from './send-attempt.js';
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

  /** Sends the request to the chosen back end. */
  begin(choice: SendChoice): RequestRun {
    const { backEnd } = choice;
    const { scope, failures, answerForwarder } = this;
    const { context, facts, progress, expired } = scope;
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    expired.addEventListener('abort', abort);
    if (expired.aborted) abort();
    progress.sends += 1;
    progress.runsInProgress += 1;
    const expectedMs = this.runTimeEstimate.expectedMs();
    const ticket = context.loads.start(backEnd.id, facts.target, { ...facts, expectedMs });
    choice.place?.release('sent');
    const sentAt = context.clock.monotonic();
    this.recordSent(choice);
    const head = this.send(backEnd, controller, sentAt);
    const outcome = new RunOutcome(scope, backEnd, sentAt);
    const onEnded = (): void => {
      expired.removeEventListener('abort', abort);
    };
    return new RequestRun({
      scope,
      failures,
      answerForwarder,
      choice,
      abort,
      onEnded,
      ticket,
      head,
      sentAt,
      outcome,
    });
  }

  private recordSent({ backEnd, reason, queuedMs = 0 }: SendChoice): void {
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
    const { exchange, context, facts, body } = this.scope;
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
      onOverlong: (part: OverlongPart) => {
        context.journal.decided('answer_overlong', facts.id, { backEnd: backEnd.id, part });
      },
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
}
