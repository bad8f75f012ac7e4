/** Passes the answer of one back end on to the client, and notes what it tells of the back end. */
import type { BackEnd } from '@woodbarrow/backends';
import type { BackendAnswer } from '@woodbarrow/runtime';
import { ABORTED, raceAbort } from './race-abort.js';
import {
  AnswerRelay,
  type BrokenResult,
  type StreamRelayOptions,
  type StreamRelayResult,
} from './answer-relay.js';
import type { EventStreamAnswer, PendingAnswer } from './client-answer.js';
import type { StreamSummary } from './request-completion.js';
import type { AttemptResult, RequestScope } from './request-scope.js';
import type { RunTimeEstimate } from './run-time-estimate.js';
import { isStream, mayRunAgain } from './route.js';
import type { SendFailures } from './send-failures.js';
import { StreamPosition } from './stream-position.js';

/** A stream silent for this many times its longest pause in time is taken up elsewhere. */
const STALL_GAP_MULTIPLE = 2.5;
/** Part of the client's patience with a gap for which a back end may be silent while no other holds the model. */
const SOLE_HOLDER_GAP_SHARE = 0.5;
const EVENT_STREAM_TYPE = 'text/event-stream';

/** An answer, who gave it, and when the request was sent there. */
export interface SentAnswer {
  readonly answer: BackendAnswer;
  readonly backEnd: BackEnd;
  /** Monotonic. */
  readonly sentAt: number;
}

/** Why an answer cannot take a stream up. */
type ResumeRefusal = 'failure' | 'not_a_stream' | Extract<StreamRelayResult, { kind: 'refused' }>['reason'];

/** Passing of the answers to one request. */
export class AnswerForwarder {
  private readonly relay: AnswerRelay;
  /** What the client has of the stream; absent where it may run only once. */
  private readonly position: StreamPosition | undefined;

  constructor(
    private readonly scope: RequestScope,
    private readonly runTimeEstimate: RunTimeEstimate,
    private readonly failures: SendFailures,
  ) {
    const { context, route, facts } = scope;
    this.relay = new AnswerRelay(context.dialect, context.clock, scope.expired);
    this.position = route.kind === 'resumable_stream' ? new StreamPosition(facts.resumeAfter) : undefined;
  }

  /** Passes an answer on as far as it fits what the client has received. */
  async forward(sent: SentAnswer): Promise<AttemptResult> {
    const { answer, progress, route } = this.scope;
    progress.mayHaveRunOn.add(sent.backEnd.id);
    const client = answer.state;
    switch (client.kind) {
      case 'not_begun':
        if (isStream(route.kind) && isEventStream(sent.answer)) return this.forwardStream(client, sent);
        if (this.position?.hasBegun === true && isSuccess(sent.answer)) return this.refuseNonStream(sent);
        return this.forwardBody(client, sent);
      case 'events':
        return this.resumeStream(client, sent);
      case 'bytes':
      case 'ended':
        sent.answer.discard();
        return { kind: 'maybe_run' };
    }
  }

  /**
   * Lets an answer go on with a stream that has begun, which only a stream can do: the text of a failure, or of anything else, would
   * become a part of the client's answer and end it as complete.
   */
  private resumeStream(client: EventStreamAnswer, sent: SentAnswer): Promise<AttemptResult> {
    const { backEnd, answer } = sent;
    const afterEvent = client.lastEventId;
    this.recordDecision('request_resumed', { backEnd: backEnd.id, afterEvent, status: answer.status });
    return isEventStream(answer)
      ? this.forwardStream(client, sent)
      : Promise.resolve(this.refuseNonStream(sent));
  }

  /** What is no stream cannot go on with one, neither here nor at a client that takes it up itself. */
  private refuseNonStream(sent: SentAnswer): AttemptResult {
    sent.answer.discard();
    return this.recordRefused(sent, isSuccess(sent.answer) ? 'not_a_stream' : 'failure');
  }

  private async forwardBody(client: PendingAnswer, sent: SentAnswer): Promise<AttemptResult> {
    const { context, route, progress, times, completion } = this.scope;
    const { answer, backEnd, sentAt } = sent;
    const latencyMs = context.clock.monotonic() - sentAt;
    const idleTimeoutMs = this.failures.answerTimeoutMs(progress.mayHaveRunOn.size);
    const isProcessAlive = (): Promise<boolean> => this.isProcessAlive(backEnd);
    const result = await this.relay.relayBody(client, answer, idleTimeoutMs, isProcessAlive);
    if (result.kind === 'broken') return this.recordBroken(sent, result);
    context.quarantine.noteServed(this.scope.digest);
    const failed = answer.status >= 500;
    const latencyRatio = failed ? undefined : latencyMs / times.expectedMs();
    this.failures.health().record(backEnd.id, failed ? 'failed_answer' : 'good', latencyRatio);
    if (result.kind === 'held') {
      if (failed && mayRunAgain(route.kind)) {
        progress.excluded.add(backEnd.id);
        progress.bufferedFailure = result.answer;
        return { kind: 'failure' };
      }
      client.respond(result.answer, result.answer.body);
    }
    completion.recordAnswered(answer.status, backEnd.id);
    return { kind: 'finished' };
  }

  private async forwardStream(
    client: PendingAnswer | EventStreamAnswer,
    sent: SentAnswer,
  ): Promise<AttemptResult> {
    const { context, progress, times, completion } = this.scope;
    const { answer, backEnd, sentAt } = sent;
    const firstMs = times.elapsedMs();
    const result = await this.relay.relayStream(client, answer, this.streamOptions(sent));
    if (result.kind === 'broken') return this.recordBroken(sent, result);
    if (result.kind === 'refused') return this.recordRefused(sent, result.reason, result.firstEvent);
    context.quarantine.noteServed(this.scope.digest);
    // A run that took a stream up in the middle says nothing of whole ones.
    if (progress.mayHaveRunOn.size === 1) this.runTimeEstimate.recordRun(context.clock.monotonic() - sentAt);
    completion.recordAnswered(answer.status, backEnd.id, this.streamSummary(firstMs, result.lastEvent));
    return { kind: 'finished' };
  }

  private streamSummary(firstMs: number, lastEvent: string | undefined): StreamSummary {
    const { longestGapMs, firstEventIdOfRun } = this.relay;
    return { firstMs, longestGapMs, firstEvent: firstEventIdOfRun, lastEvent };
  }

  private streamOptions({ backEnd, sentAt }: SentAnswer): StreamRelayOptions {
    const { context, times } = this.scope;
    const latencyRatio = (context.clock.monotonic() - sentAt) / times.expectedMs();
    return {
      ...(this.position === undefined ? {} : { position: this.position }),
      idleTimeoutMs: () => this.idleTimeoutMs(backEnd),
      isProcessAlive: () => this.isProcessAlive(backEnd),
      onAccepted: () => {
        this.failures.health().record(backEnd.id, 'good', latencyRatio);
      },
    };
  }

  private idleTimeoutMs(backEnd: BackEnd): number | undefined {
    const { route } = this.scope;
    if (route.kind !== 'resumable_stream') return undefined;
    const gapMs = route.targetGapMs ?? route.targetLatencyMs;
    const clientGapMs = route.clientGapMs ?? Infinity;
    return this.hasAlternative(backEnd)
      ? gapMs * STALL_GAP_MULTIPLE
      : Math.max(gapMs, clientGapMs * SOLE_HOLDER_GAP_SHARE);
  }

  /**
   * False where a process has ended, or time is up before that is known. One that was leaving may have ended after its last answer, which
   * counts where another run cannot show whether there is more.
   */
  private async isProcessAlive(backEnd: BackEnd): Promise<boolean> {
    const { context, expired, route } = this.scope;
    const isLeaving = context.directory.get(backEnd.id)?.draining === true;
    if (isLeaving && !mayRunAgain(route.kind)) return true;
    const fate = await raceAbort(context.quarantine.fateOf(backEnd), expired);
    return fate !== ABORTED && fate !== 'ended';
  }

  /** Whether another back end could take the stream up at once. */
  private hasAlternative(backEnd: BackEnd): boolean {
    const { context, facts, service, progress } = this.scope;
    if (facts.target === undefined || progress.isStopping) return false;
    return context.directory
      .holdersOf(service.name, facts.target)
      .some(({ id }) => id !== backEnd.id && !progress.excluded.has(id));
  }

  /** The answer does not go on where the client's has come to: the send has failed, and the client's answer stays as it is. */
  private recordRefused(
    { backEnd, answer }: SentAnswer,
    reason: ResumeRefusal,
    firstEvent?: string,
  ): AttemptResult {
    const { progress, facts } = this.scope;
    const { lastEventId: afterEvent = facts.resumeAfter, hasBegun } = this.scope.answer;
    progress.excluded.add(backEnd.id);
    // Where only the client has named the event, it may be the client that is wrong.
    if (hasBegun) this.failures.health().record(backEnd.id, 'failed_answer');
    const { status } = answer;
    this.recordDecision('take_up_refused', { backEnd: backEnd.id, reason, status, afterEvent, firstEvent });
    return { kind: 'maybe_run' };
  }

  private recordBroken({ backEnd, sentAt }: SentAnswer, { tornBytes }: BrokenResult): AttemptResult {
    if (this.scope.expired.aborted) return { kind: 'maybe_run' };
    const detail = tornBytes === 0 ? 'the answer broke off' : 'the answer ended inside an event';
    if (tornBytes > 0) {
      const afterEvent = this.scope.answer.lastEventId;
      this.recordDecision('event_torn', { backEnd: backEnd.id, afterEvent, tornBytes });
    }
    this.failures.recordBroken(backEnd, sentAt, detail);
    return { kind: 'maybe_run' };
  }

  private recordDecision(
    decision: 'request_resumed' | 'take_up_refused' | 'event_torn',
    facts: Readonly<Record<string, string | number | undefined>>,
  ): void {
    this.scope.context.journal.decided(decision, this.scope.facts.id, facts);
  }
}

function isSuccess({ status }: BackendAnswer): boolean {
  return status >= 200 && status < 300;
}

function isEventStream(answer: BackendAnswer): boolean {
  const type = answer.headers['content-type']?.split(';')[0]?.trim().toLowerCase();
  return isSuccess(answer) && type === EVENT_STREAM_TYPE;
}
