/** The task of one request: choose a back end, send, and pass the answer on; again where the route allows it. */
import type { BackEnd, ModelTarget, ServiceDefinition, WorkTicket } from '@woodbarrow/backends';
import type { Turn, Verdict } from '@woodbarrow/quarantine';
import type { BackendAnswer, IncomingExchange } from '@woodbarrow/runtime';
import { AnswerRelay, type StreamOptions } from './answer-relay.js';
import type { BackendChoice, RefusalReason } from './backend-choice.js';
import type { BackendHealth, SendResult } from './backend-health.js';
import type { ForwardingContext } from './forwarding-context.js';
import { RequestEnding, type HeldAnswer, type StreamCourse } from './request-ending.js';
import { RequestTimes } from './request-times.js';
import { RunForecast } from './run-forecast.js';
import { requestDigest } from './request-identity.js';
import { isStream, mayRunAgain, type Route } from './route.js';
import { sendAttempt, type SendOutcome } from './send-attempt.js';
import type { RequestFacts } from './wire-dialect.js';

/** Sends at most, whatever came of them. */
const MAXIMUM_SENDS = 6;
/** Time kept for the answer to reach the client, in milliseconds. */
const ANSWER_MARGIN_MS = 20;
/** A stream silent for this many times its longest pause in time is taken up elsewhere. */
const SILENT_GAPS = 2.5;
/** Part of the client's patience with a gap for which a back end may be silent while no other holds the model. */
const LONE_SHARE = 0.5;
/** What one send came to. */
type AttemptResult =
  | { readonly kind: 'finished' }
  /** Sent nowhere, or certainly not run. */
  | { readonly kind: 'not_run'; readonly arrived: boolean }
  /** May have run, and no complete answer has been passed on. */
  | { readonly kind: 'maybe_run' }
  /** A failure that the back end answered with, held back. */
  | { readonly kind: 'failure'; readonly answer: HeldAnswer };

/** One request and all that is done for it. */
export class ForwardedRequest {
  private readonly expired = new AbortController();
  private readonly excluded = new Set<string>();
  /** Back ends on which it may have run. */
  private readonly ranOn = new Set<string>();
  private sends = 0;
  private isSending = false;
  /** This daemon stops: no further send is begun. */
  private stopped = false;
  private readonly relay: AnswerRelay;
  private readonly ending: RequestEnding;
  private readonly times: RequestTimes;
  private readonly forecast: RunForecast;
  private held: HeldAnswer | undefined;
  /** Digest of the content, which all attempts of one request share. */
  private readonly digest: string;

  constructor(
    private readonly context: ForwardingContext,
    private readonly exchange: IncomingExchange,
    private readonly facts: RequestFacts,
    private readonly route: Route,
    private readonly service: ServiceDefinition,
    private readonly body: Uint8Array,
    arrivedAt: number,
  ) {
    const { clock, dialect, journal } = context;
    this.digest = requestDigest(exchange, body);
    this.times = new RequestTimes(arrivedAt, facts, route, clock);
    this.forecast = new RunForecast(context.runTimes, facts);
    this.relay = new AnswerRelay(exchange, dialect, clock);
    this.ending = new RequestEnding({
      exchange,
      requestId: facts.id,
      routeName: route.name,
      elapsedMs: () => this.times.elapsedMs(),
      dialect,
      journal,
      sends: () => this.sends,
    });
  }

  /** Ends when the exchange has been answered or aborted. */
  async run(): Promise<void> {
    const { clock, budget, journal } = this.context;
    const cancelTimers = [
      clock.schedule(this.times.leftMs(), () => {
        if (!this.relay.hasBegun) this.expired.abort();
      }),
      clock.schedule(this.times.untilTimeoutMs(), () => {
        this.expired.abort();
      }),
    ];
    this.exchange.signal.addEventListener('abort', () => {
      this.expired.abort();
    });
    const stop = (): void => {
      if (!this.isSending) this.expired.abort();
      this.stopped = true;
    };
    if (this.context.stopWaiting.aborted) stop();
    this.context.stopWaiting.addEventListener('abort', stop);
    budget.recordRequest(this.service.name);
    if (this.facts.target !== undefined) this.context.loads.noteDemand(this.facts.target.model);
    journal.decided('request_admitted', this.facts.id, {
      route: this.route.name,
      service: this.service.name,
      content: this.digest,
      model: this.facts.target?.model,
      adapter: this.facts.target?.adapter,
      adapterVersion: this.facts.target?.adapterVersion,
      promptTokens: this.facts.promptTokens,
      outputTokens: this.facts.outputTokens,
      resumeAfter: this.facts.resumeAfter,
      leftMs: Math.round(this.times.leftMs()),
    });
    try {
      await this.work();
    } finally {
      for (const cancel of cancelTimers) cancel();
      this.context.stopWaiting.removeEventListener('abort', stop);
    }
  }

  private async work(): Promise<void> {
    for (;;) {
      const turn = await this.context.quarantine.takeTurn(this.digest, this.expired.signal);
      try {
        if (await this.tryOnce(turn)) return;
      } finally {
        turn.release();
      }
    }
  }

  /** One choice of a back end and one send. Returns whether the request has ended. */
  private async tryOnce(turn: Turn): Promise<boolean> {
    if (this.finishQuarantined()) return true;
    const choice = await this.choose();
    if (choice.kind === 'refuse') {
      this.finishWithout(choice.reason, choice.retryAfterMs);
      return true;
    }
    // The choice may have taken seconds: word may have come, and others may have taken the last connections.
    if (this.finishQuarantined()) return true;
    if (!this.context.connections.allows(this.service, choice.backEnd.id)) return false;
    turn.sentTo(choice.backEnd.id);
    const result = await this.attempt(choice);
    if (result.kind === 'finished') return true;
    if (this.expired.signal.aborted) {
      this.finishExpired();
      return true;
    }
    if (this.mayContinue(result)) return false;
    this.finishUnserved();
    return true;
  }

  /** Ends the request if its content has proved to end the processes that run it. Returns whether it did. */
  private finishQuarantined(): boolean {
    const verdict = this.context.quarantine.verdictOf(this.digest);
    if (verdict === undefined) return false;
    if (this.relay.hasBegun || this.ranOn.size > 0) this.finishUnserved();
    else this.refuseQuarantined(verdict);
    return true;
  }

  private refuseQuarantined({ ends, retryAfterMs }: Verdict): void {
    this.ending.refuse('request_quarantined', `${String(ends)} processes ended under it`, retryAfterMs);
  }

  /** Whether another send is allowed after one that brought no answer. */
  private mayContinue(result: AttemptResult): boolean {
    if (result.kind === 'failure') this.held = result.answer;
    if (this.sends >= MAXIMUM_SENDS || this.stopped) return false;
    const ran = result.kind === 'maybe_run' || result.kind === 'failure';
    if (ran && !mayRunAgain(this.route.kind)) return false;
    if (ran && this.ranOn.size >= this.route.maximumAttempts) return false;
    if (this.times.leftMs() <= ANSWER_MARGIN_MS) return false;
    const arrived = ran || (result.kind === 'not_run' && result.arrived);
    const allowed = !arrived || this.context.budget.tryRepeat(this.service.name);
    this.context.journal.decided('request_repeated', this.facts.id, {
      allowed,
      after: result.kind,
      sends: this.sends,
      budgetLeft: Math.floor(this.context.budget.remaining(this.service.name)),
    });
    return allowed;
  }

  private async choose(): Promise<BackendChoice> {
    const health = this.context.healthOf(this.service.name);
    const { engine } = this.service;
    const { target } = this.facts;
    const excluded = new Set([...this.excluded, ...this.context.quarantine.processesToAvoid(this.digest)]);
    if (engine === undefined || target === undefined) {
      return this.context.plain.select(this.service, health, excluded);
    }
    return this.context.replicas.select(
      {
        service: this.service,
        engine,
        target,
        facts: this.facts,
        priority: this.route.priority,
        targetLatencyMs: this.route.targetLatencyMs,
        targetBy: this.times.targetBy(),
        startBy: this.relay.hasBegun ? this.times.resumeBy() : this.times.startBy(),
        excluded,
        signal: this.expired.signal,
      },
      health,
    );
  }

  private async attempt(choice: BackendChoice & { kind: 'send' }): Promise<AttemptResult> {
    const { backEnd } = choice;
    const { loads, clock, journal, dialect, client } = this.context;
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    this.expired.signal.addEventListener('abort', abort);
    if (this.expired.signal.aborted) abort();
    this.sends += 1;
    this.isSending = true;
    const ticket = loads.start(backEnd.id, this.facts.target, {
      ...this.facts,
      expectedMs: this.forecast.expectedMs(),
    });
    const sentAt = clock.monotonic();
    journal.decided('request_sent', this.facts.id, {
      backEnd: backEnd.id,
      zone: backEnd.zone,
      reason: choice.reason,
      running: loads.of(backEnd.id).requests,
      recordAgeMs: Math.round(this.context.directory.recordAgeMs(backEnd.id)),
      leftMs: Math.round(this.times.leftMs()),
    });
    try {
      const patienceMs = this.patienceMs(this.ranOn.size + 1);
      const outcome = await sendAttempt(
        {
          backEnd,
          requestId: this.facts.id,
          method: this.exchange.method,
          target: this.exchange.target,
          headers: this.requestHeaders(backEnd),
          body: this.body,
          controller,
          ...(patienceMs === undefined ? {} : { patienceMs }),
        },
        client,
        dialect,
        clock,
      );
      return await this.conclude(outcome, backEnd, ticket, sentAt);
    } finally {
      this.isSending = false;
      ticket.ended();
      this.expired.signal.removeEventListener('abort', abort);
    }
  }

  private requestHeaders(backEnd: BackEnd): string[] {
    return this.context.dialect.requestHeaders(this.exchange.rawHeaders, {
      remainingMs: Math.max(1, Math.floor(this.times.leftMs())),
      backEndId: backEnd.id,
      priority: this.route.priority,
      ...(this.relay.lastEventId === undefined ? {} : { resumeAfter: this.relay.lastEventId }),
    });
  }

  private async conclude(
    outcome: SendOutcome,
    backEnd: BackEnd,
    ticket: WorkTicket,
    sentAt: number,
  ): Promise<AttemptResult> {
    switch (outcome.kind) {
      case 'answered':
        ticket.begun();
        return this.passOn(outcome.answer, backEnd, sentAt);
      case 'declined':
        return this.noteDeclined(backEnd, outcome.verdict);
      case 'unreachable':
        this.noteFailure(backEnd, 'unreachable', outcome.detail);
        return { kind: 'not_run', arrived: false };
      case 'silent':
        this.noteFailure(backEnd, 'timed_out', 'no answer in time');
        this.ranOn.add(backEnd.id);
        return { kind: 'maybe_run' };
      case 'broken':
        this.ranOn.add(backEnd.id);
        if (!this.expired.signal.aborted) this.noteBroken(backEnd, sentAt, outcome.detail);
        else if (!this.exchange.signal.aborted) this.health().record(backEnd.id, 'timed_out');
        return { kind: 'maybe_run' };
    }
  }

  private noteDeclined(
    backEnd: BackEnd,
    verdict: 'not_run' | 'other_incarnation' | 'not_resident',
  ): AttemptResult {
    const { directory, journal } = this.context;
    journal.decided('request_declined', this.facts.id, { backEnd: backEnd.id, verdict });
    if (verdict === 'not_resident' && this.facts.target !== undefined) {
      directory.announce(backEnd.id, this.missingTarget(backEnd, this.facts.target), false);
    } else {
      this.excluded.add(backEnd.id);
      if (verdict === 'other_incarnation') directory.remove(backEnd.id);
    }
    return { kind: 'not_run', arrived: true };
  }

  /** With an adapter wanted, the model may still be there. */
  private missingTarget(backEnd: BackEnd, target: ModelTarget): ModelTarget {
    const modelRecorded = backEnd.models.some((held) => held.name === target.model);
    return modelRecorded ? target : { model: target.model };
  }

  /** The answer broke off; whether the process has ended with it is found out meanwhile. */
  private noteBroken(backEnd: BackEnd, sentAt: number, detail: string): void {
    this.noteFailure(backEnd, 'broken', detail);
    const known = this.context.directory.get(backEnd.id);
    this.context.quarantine.noteBroken({
      content: this.digest,
      requestId: this.facts.id,
      route: this.route.name,
      backEnd,
      wasLeaving: known === undefined || known.draining,
      sentAt,
    });
  }

  private noteFailure(backEnd: BackEnd, result: SendResult, detail: string): void {
    this.health().record(backEnd.id, result);
    this.excluded.add(backEnd.id);
    this.context.journal.decided('request_declined', this.facts.id, {
      backEnd: backEnd.id,
      verdict: result,
      detail,
    });
  }

  private async passOn(answer: BackendAnswer, backEnd: BackEnd, sentAt: number): Promise<AttemptResult> {
    const tookMs = this.context.clock.monotonic() - sentAt;
    this.ranOn.add(backEnd.id);
    if (this.relay.hasBegun) this.noteTakenUp(answer, backEnd);
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (isStream(this.route.kind) && isSuccess) return this.passStream(answer, backEnd, sentAt);
    return this.passWhole(answer, backEnd, sentAt, tookMs);
  }

  /** A stream that has begun goes on with what this back end answers, which may be a failure. */
  private noteTakenUp({ status }: BackendAnswer, backEnd: BackEnd): void {
    this.context.journal.decided('request_resumed', this.facts.id, {
      backEnd: backEnd.id,
      afterEvent: this.relay.lastEventId,
      status,
    });
  }

  private async passWhole(
    answer: BackendAnswer,
    backEnd: BackEnd,
    sentAt: number,
    tookMs: number,
  ): Promise<AttemptResult> {
    const result = await this.relay.passWhole(answer, this.patienceMs(this.ranOn.size));
    if (result.kind === 'broken') return this.noteBrokenBody(backEnd, sentAt);
    this.context.quarantine.noteServed(this.digest);
    const failed = answer.status >= 500;
    const ratio = failed ? undefined : tookMs / this.times.expectedMs();
    this.health().record(backEnd.id, failed ? 'failed_answer' : 'good', ratio);
    if (result.kind === 'held') {
      if (failed && mayRunAgain(this.route.kind)) {
        this.excluded.add(backEnd.id);
        return { kind: 'failure', answer: result.answer };
      }
      this.exchange.respond(result.answer, result.answer.body);
    }
    this.ending.answered(answer.status, backEnd.id);
    return { kind: 'finished' };
  }

  private async passStream(answer: BackendAnswer, backEnd: BackEnd, sentAt: number): Promise<AttemptResult> {
    const tookMs = this.context.clock.monotonic() - sentAt;
    const firstMs = this.times.elapsedMs();
    this.health().record(backEnd.id, 'good', tookMs / this.times.expectedMs());
    const result = await this.relay.passStream(answer, this.streamOptions(backEnd));
    if (result.kind === 'broken') return this.noteBrokenBody(backEnd, sentAt);
    this.context.quarantine.noteServed(this.digest);
    // A run that took a stream up in the middle says nothing of whole ones.
    if (this.ranOn.size === 1) this.forecast.note(this.context.clock.monotonic() - sentAt);
    this.ending.answered(answer.status, backEnd.id, this.streamCourse(firstMs));
    return { kind: 'finished' };
  }

  private streamCourse(firstMs: number): StreamCourse {
    const { longestGapMs, firstEventIdOfRun, lastEventId, tornBytes } = this.relay;
    return { firstMs, longestGapMs, firstEvent: firstEventIdOfRun, lastEvent: lastEventId, tornBytes };
  }

  private streamOptions(backEnd: BackEnd): StreamOptions {
    if (this.route.kind !== 'resumable_stream') return { resumable: false, silentAfterMs: () => undefined };
    const gapMs = this.route.targetGapMs ?? this.route.targetLatencyMs;
    const clientGapMs = this.route.clientGapMs ?? Infinity;
    return {
      resumable: true,
      silentAfterMs: () =>
        this.hasAlternative(backEnd) ? gapMs * SILENT_GAPS : Math.max(gapMs, clientGapMs * LONE_SHARE),
    };
  }

  /** Whether another back end could take the stream up at once. */
  private hasAlternative(backEnd: BackEnd): boolean {
    const { target } = this.facts;
    if (target === undefined || this.stopped) return false;
    return this.context.directory
      .holdersOf(this.service.name, target)
      .some(({ id }) => id !== backEnd.id && !this.excluded.has(id));
  }

  private noteBrokenBody(backEnd: BackEnd, sentAt: number): AttemptResult {
    if (!this.expired.signal.aborted) this.noteBroken(backEnd, sentAt, 'the answer broke off');
    return { kind: 'maybe_run' };
  }

  /** Refused by the choice of a back end. */
  private finishWithout(reason: RefusalReason, retryAfterMs: number): void {
    if (this.expired.signal.aborted) this.finishExpired();
    else if (this.ranOn.size > 0) this.finishUnserved();
    else
      this.ending.refuse(reason === 'model_too_late' ? 'wait_expired' : 'no_replica', reason, retryAfterMs);
  }

  /** Time is up, the daemon stops, or the client has gone. */
  private finishExpired(): void {
    if (this.exchange.signal.aborted) this.ending.abandoned();
    else if (this.relay.hasBegun) this.breakOff('time is up');
    else if (this.ranOn.size > 0) this.ending.fail('request_timeout', 'time is up');
    else if (this.stopped) this.ending.refuseStopping();
    else this.ending.refuse('wait_expired', 'time is up', 0);
  }

  /** No further send is allowed. */
  private finishUnserved(): void {
    if (this.relay.hasBegun) this.breakOff('no back end may take the stream up');
    else if (this.held !== undefined) this.ending.passFailure(this.held);
    else if (this.ranOn.size === 0) this.ending.refuse('no_replica', 'all back ends declined', 0);
    else this.ending.fail('backend_broken', 'no answer after a send that may have run');
  }

  private breakOff(cause: string): void {
    this.relay.cut();
    this.ending.brokenOff(cause);
  }

  /**
   * How long a back end may be silent before another is tried, where that is allowed.
   *
   * @param ranOn Back ends on which the request may have run, this one included.
   */
  private patienceMs(ranOn: number): number | undefined {
    const mayTryAnother = mayRunAgain(this.route.kind) && ranOn < this.route.maximumAttempts;
    return mayTryAnother ? this.times.patienceMs() : undefined;
  }

  private health(): BackendHealth {
    return this.context.healthOf(this.service.name);
  }
}
