/** Forwards a back end's answer to the client and records its outcome for health, quarantine and run times. */
import type { BackEnd, ReportedLoad } from '@woodbarrow/backends';
import type { BackendResponse } from '@woodbarrow/runtime';
import { raceAbort } from './race-abort.js';
import {
  AnswerRelay,
  type BrokenResult,
  type StreamRelayOptions,
  type StreamRelayResult,
} from './answer-relay.js';
import { MAX_EVENT_BYTES } from './event-splitter.js';
import { runsVersion } from './backend-choice.js';
import type { EventStreamAnswer, PendingAnswer } from './client-answer.js';
import type { StreamSummary } from './request-completion.js';
import type { AttemptResult, RequestScope } from './request-scope.js';
import type { RunTimeEstimate } from './run-time-estimate.js';
import { isStream, mayRunAgain } from './route.js';
import type { RunOutcome } from './run-outcome.js';
import type { SendFailures } from './send-failures.js';
import { StreamPosition } from './stream-position.js';
import { streamIdOf, takeUpPeriodMs } from './stream-take-ups.js';

/** After this multiple of the target gap without data, another back end is sought that resumes the stream. */
const STALL_GAP_MULTIPLE = 2.5;
/** Share of the client's gap limit without data after which one is sought while no other holds the model. */
const SOLE_HOLDER_GAP_SHARE = 0.5;
const EVENT_STREAM_TYPE = 'text/event-stream';
const FIRST_FAILURE_STATUS = 500;

/** An answer, its back end, and the time at which the request was sent. */
export interface SentAnswer {
  readonly answer: BackendResponse;
  /** Load that the answer reports. */
  readonly load?: ReportedLoad;
  readonly backEnd: BackEnd;
  /** Monotonic time in milliseconds. */
  readonly sentAt: number;
  readonly outcome: RunOutcome;
}

/** Why an answer cannot resume a stream. */
type ResumeRefusal = 'failure' | 'not_a_stream' | Extract<StreamRelayResult, { kind: 'refused' }>['reason'];

/** Forwards the answers to one request, which may come from several back ends. */
export class AnswerForwarder {
  private readonly relay: AnswerRelay;
  /** Position of the client in a resumable stream; absent for other kinds of requests. */
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

  /** Whether an answer may take the place of a silent one; a failure may not. */
  canReplace(answer: BackendResponse): boolean {
    const hasEvents = this.scope.answer.hasBegun || this.position?.hasBegun === true;
    return hasEvents ? isEventStream(answer) : answer.status < FIRST_FAILURE_STATUS;
  }

  /** Forwards an answer as far as it continues what the client has received. */
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
   * Continues a stream that has begun. Only another event stream may do so: the text of any other answer would become part of
   * the client's stream and end it as complete.
   */
  private resumeStream(client: EventStreamAnswer, sent: SentAnswer): Promise<AttemptResult> {
    const { backEnd, answer } = sent;
    const afterEvent = client.lastEventId;
    const { id, softwareVersion } = backEnd;
    this.recordDecision('request_resumed', {
      backEnd: id,
      softwareVersion,
      afterEvent,
      status: answer.status,
    });
    return isEventStream(answer)
      ? this.forwardStream(client, sent)
      : Promise.resolve(this.refuseNonStream(sent));
  }

  /** Refuses an answer that is not an event stream as the continuation of a stream. */
  private refuseNonStream(sent: SentAnswer): AttemptResult {
    sent.answer.discard();
    return this.recordRefused(sent, isSuccess(sent.answer) ? 'not_a_stream' : 'failure');
  }

  private async forwardBody(client: PendingAnswer, sent: SentAnswer): Promise<AttemptResult> {
    const { context, route, progress, times, completion } = this.scope;
    const { answer, backEnd, sentAt, load } = sent;
    const latencyMs = context.clock.monotonic() - sentAt;
    const silence = {
      idleTimeoutMs: () => this.failures.answerTimeoutMs(progress.mayHaveRunOn.size),
      onSilence: (ready: Promise<void>) => this.scope.replacement.seek(backEnd, ready),
    };
    const isProcessAlive = (): Promise<boolean> => this.isProcessAlive(backEnd);
    const result = await this.relay.relayBody(client, answer, silence, isProcessAlive);
    if (result.kind === 'replaced') return this.recordReplaced(sent);
    if (result.kind === 'broken') return this.recordBroken(sent, result);
    const failed = answer.status >= 500;
    // A back end may answer with a failure without having run the request.
    if (!failed) sent.outcome.noteServed();
    const latencyRatio = failed ? undefined : latencyMs / times.expectedMs();
    const health = this.failures.health();
    health.record(backEnd.id, failed ? 'failed_answer' : 'good', latencyRatio, load?.pacePercent);
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
    if (result.kind === 'replaced') return this.recordReplaced(sent);
    if (result.kind === 'broken') return this.recordBroken(sent, result);
    if (result.kind === 'refused') return this.recordRefused(sent, result.reason, result.firstEvent);
    sent.outcome.noteServed();
    // The duration of a resumed run is not that of a whole run.
    if (progress.mayHaveRunOn.size === 1) this.runTimeEstimate.recordRun(context.clock.monotonic() - sentAt);
    completion.recordAnswered(answer.status, backEnd.id, this.streamSummary(firstMs, result.lastEvent));
    return { kind: 'finished' };
  }

  private streamSummary(firstMs: number, lastEvent: string | undefined): StreamSummary {
    const { longestGapMs, firstEventIdOfRun } = this.relay;
    return { firstMs, longestGapMs, firstEvent: firstEventIdOfRun, lastEvent };
  }

  private streamOptions({ backEnd, sentAt, load, outcome }: SentAnswer): StreamRelayOptions {
    const { context, times } = this.scope;
    const latencyRatio = (context.clock.monotonic() - sentAt) / times.expectedMs();
    return {
      ...(this.position === undefined ? {} : { position: this.position }),
      idleTimeoutMs: () => this.idleTimeoutMs(backEnd),
      onSilence: (ready) => this.scope.replacement.seek(backEnd, ready),
      isProcessAlive: () => this.isProcessAlive(backEnd),
      onBegin: () => {
        this.recordOrigin(backEnd);
      },
      onAccepted: () => {
        outcome.noteBegun();
        this.failures.health().record(backEnd.id, 'good', latencyRatio, load?.pacePercent);
      },
    };
  }

  /** Binds a resumable stream to the software version that brings its first event. */
  private recordOrigin({ softwareVersion }: BackEnd): void {
    const { context, facts, route, service, progress } = this.scope;
    if (route.kind !== 'resumable_stream' || softwareVersion === undefined) return;
    progress.softwareVersion = softwareVersion;
    const origin = { service: service.name, softwareVersion };
    context.origins?.record(streamIdOf(facts), origin, takeUpPeriodMs(route));
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
   * Returns false if the process has exited, or if that is unknown when time is up. A draining process may exit right after its
   * last answer, and one that cannot be reached may run, so both count as alive unless another run can check for missing data.
   */
  private async isProcessAlive(backEnd: BackEnd): Promise<boolean> {
    const { context, expired, route } = this.scope;
    const isLeaving = context.directory.get(backEnd.id)?.draining === true;
    if (isLeaving && !mayRunAgain(route.kind)) return true;
    const fate = await raceAbort(context.quarantine.processStateOf(backEnd), expired);
    if (fate === 'unknown') return !mayRunAgain(route.kind);
    return fate === 'running';
  }

  /** Whether another back end that holds the model could resume the stream. */
  private hasAlternative(backEnd: BackEnd): boolean {
    const { context, facts, service, progress } = this.scope;
    if (facts.target === undefined || progress.isStopping) return false;
    return context.directory
      .holdersOf(service.name, facts.target)
      .some(
        (other) =>
          other.id !== backEnd.id &&
          !progress.excluded.has(other.id) &&
          runsVersion(other, progress.softwareVersion),
      );
  }

  /** Records an answer that does not continue the client's stream; the client's answer stays unchanged. */
  private recordRefused(
    { backEnd, answer }: SentAnswer,
    reason: ResumeRefusal,
    firstEvent?: string,
  ): AttemptResult {
    const { progress, facts } = this.scope;
    const { lastEventId: afterEvent = facts.resumeAfter, hasBegun } = this.scope.answer;
    progress.excluded.add(backEnd.id);
    // If only the client has named the event, the client may be wrong, so the back end's health is not affected.
    if (hasBegun) this.failures.health().record(backEnd.id, 'failed_answer');
    const { status } = answer;
    this.recordDecision('take_up_refused', { backEnd: backEnd.id, reason, status, afterEvent, firstEvent });
    return { kind: 'maybe_run' };
  }

  private recordReplaced({ backEnd, outcome }: SentAnswer): AttemptResult {
    this.failures.recordReplaced(backEnd, outcome);
    return { kind: 'replaced' };
  }

  private recordBroken(
    { backEnd, outcome }: SentAnswer,
    { tornBytes, wasSilent, isOverlong }: BrokenResult,
  ): AttemptResult {
    if (this.scope.expired.aborted) return { kind: 'maybe_run' };
    const end = tornBytes === 0 ? 'the answer broke off' : 'the answer ended inside an event';
    const detail = wasSilent === true ? 'its process ended' : end;
    if (isOverlong === true)
      this.recordDecision('answer_overlong', {
        backEnd: backEnd.id,
        part: 'event',
        limitBytes: MAX_EVENT_BYTES,
      });
    if (tornBytes > 0) {
      const afterEvent = this.scope.answer.lastEventId;
      this.recordDecision('event_torn', { backEnd: backEnd.id, afterEvent, tornBytes });
    }
    this.failures.recordBroken(backEnd, outcome, detail);
    return { kind: 'maybe_run' };
  }

  private recordDecision(
    decision: 'request_resumed' | 'take_up_refused' | 'event_torn' | 'answer_overlong',
    facts: Readonly<Record<string, string | number | undefined>>,
  ): void {
    this.scope.context.journal.decided(decision, this.scope.facts.id, facts);
  }
}

function isSuccess({ status }: BackendResponse): boolean {
  return status >= 200 && status < 300;
}

function isEventStream(answer: BackendResponse): boolean {
  const type = answer.headers['content-type']?.split(';')[0]?.trim().toLowerCase();
  return isSuccess(answer) && type === EVENT_STREAM_TYPE;
}
