/** The task of one request: choose a back end, send, and pass the answer on; again where the route allows it. */
import type { BackEnd, ModelTarget, ServiceDefinition, WorkTicket } from '@woodbarrow/backends';
import { answerFor, type ErrorKind } from '@woodbarrow/errors';
import {
  encodeText,
  type BackendAnswer,
  type IncomingExchange,
  type ResponseStream,
} from '@woodbarrow/runtime';
import type { BackendChoice, RefusalReason } from './backend-choice.js';
import type { BackendHealth, SendResult } from './backend-health.js';
import { BodyReader } from './body-reader.js';
import { EventSplitter } from './event-splitter.js';
import type { ForwardingContext } from './forwarding-context.js';
import { ASSUMED_TOKENS_PER_MS } from './replica-selector.js';
import { isStream, mayRunAgain, type Route } from './route.js';
import { sendAttempt, type SendOutcome } from './send-attempt.js';
import type { RequestFacts } from './wire-dialect.js';

/** Answers up to this size are held until they are whole, so that a broken one can be replaced, in bytes. */
const HELD_ANSWER_BYTES = 64 * 1024;
/** Sends at most, whatever came of them. */
const MAXIMUM_SENDS = 6;
/** Time kept for the answer to reach the client, in milliseconds. */
const ANSWER_MARGIN_MS = 20;
/** A stream silent for this many times its longest pause in time is taken up elsewhere. */
const SILENT_GAPS = 2.5;
/** Patience with the first answer, as a multiple of the target latency, where the request may run again. */
const PATIENCE_TARGETS = 1.5;
/** Part of the time left that one send may take, where the request may run again. */
const PATIENCE_SHARE = 0.5;
/** Expected time of a plain request, for health only, in milliseconds. */
const PLAIN_EXPECTED_MS = 20;
/** Expected time to a first token beside the reading of the prompt, for health only, in milliseconds. */
const FIRST_TOKEN_EXPECTED_MS = 15;
/** Time after which to come back to another daemon, in milliseconds. */
const STOPPING_RETRY_MS = 10;
/** Part of the remaining time that must be left to begin a request for a model. */
const START_SHARE = 0.9;

/** What one send came to. */
type AttemptResult =
  | { readonly kind: 'finished' }
  /** Sent nowhere, or certainly not run. */
  | { readonly kind: 'not_run'; readonly arrived: boolean }
  /** May have run, and no complete answer has been passed on. */
  | { readonly kind: 'maybe_run' }
  /** A failure that the back end answered with, held back. */
  | { readonly kind: 'failure'; readonly answer: HeldAnswer };

interface HeldAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: Uint8Array;
}

/** One request and all that is done for it. */
export class ForwardedRequest {
  private readonly arrivedAt: number;
  private readonly expired = new AbortController();
  private readonly excluded = new Set<string>();
  /** Back ends on which it may have run. */
  private readonly ranOn = new Set<string>();
  private sends = 0;
  private isSending = false;
  /** This daemon stops: no further send is begun. */
  private stopped = false;
  private stream: ResponseStream | undefined;
  private lastEventId: string | undefined;
  private held: HeldAnswer | undefined;

  constructor(
    private readonly context: ForwardingContext,
    private readonly exchange: IncomingExchange,
    private readonly facts: RequestFacts,
    private readonly route: Route,
    private readonly service: ServiceDefinition,
    private readonly body: Uint8Array,
    arrivedAt: number,
  ) {
    this.arrivedAt = arrivedAt;
  }

  /** Ends when the exchange has been answered or aborted. */
  async run(): Promise<void> {
    const { clock, budget, journal } = this.context;
    const cancelTimers = [
      clock.schedule(this.leftMs(), () => {
        if (this.stream === undefined) this.expired.abort();
      }),
      clock.schedule(this.route.timeoutMs - this.elapsedMs(), () => {
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
      model: this.facts.target?.model,
      adapter: this.facts.target?.adapter,
      leftMs: Math.round(this.leftMs()),
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
      const choice = await this.choose();
      if (choice.kind === 'refuse') {
        this.finishWithout(choice.reason, choice.retryAfterMs);
        return;
      }
      // Others may have taken the last connections since the choice was made.
      if (!this.context.connections.allows(this.service, choice.backEnd.id)) continue;
      const result = await this.attempt(choice);
      if (result.kind === 'finished') return;
      if (this.expired.signal.aborted) {
        this.finishExpired();
        return;
      }
      if (!this.mayContinue(result)) {
        this.finishUnserved();
        return;
      }
    }
  }

  /** Whether another send is allowed after one that brought no answer. */
  private mayContinue(result: AttemptResult): boolean {
    if (result.kind === 'failure') this.held = result.answer;
    if (this.sends >= MAXIMUM_SENDS || this.stopped) return false;
    const ran = result.kind === 'maybe_run' || result.kind === 'failure';
    if (ran && !mayRunAgain(this.route.kind)) return false;
    if (ran && this.ranOn.size >= this.route.maximumAttempts) return false;
    if (this.leftMs() <= ANSWER_MARGIN_MS) return false;
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
    if (engine === undefined || target === undefined) {
      return this.context.plain.select(this.service, health, this.excluded);
    }
    return this.context.replicas.select(
      {
        service: this.service,
        engine,
        target,
        facts: this.facts,
        priority: this.route.priority,
        targetLatencyMs: this.route.targetLatencyMs,
        startBy: this.arrivedAt + this.startLimitMs(),
        excluded: this.excluded,
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
    const ticket = loads.start(backEnd.id, this.facts.target, this.facts);
    const sentAt = clock.monotonic();
    journal.decided('request_sent', this.facts.id, {
      backEnd: backEnd.id,
      zone: backEnd.zone,
      reason: choice.reason,
      running: loads.of(backEnd.id).requests,
      recordAgeMs: Math.round(this.context.directory.recordAgeMs(backEnd.id)),
      leftMs: Math.round(this.leftMs()),
    });
    try {
      const patienceMs = this.patienceMs();
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
      remainingMs: Math.max(1, Math.floor(this.leftMs())),
      backEndId: backEnd.id,
      priority: this.route.priority,
      ...(this.lastEventId === undefined ? {} : { resumeAfter: this.lastEventId }),
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
        this.noteFailure(backEnd, 'unreachable', 'no connection');
        return { kind: 'not_run', arrived: false };
      case 'silent':
        this.noteFailure(backEnd, 'timed_out', 'no answer in time');
        this.ranOn.add(backEnd.id);
        return { kind: 'maybe_run' };
      case 'broken':
        this.ranOn.add(backEnd.id);
        if (!this.expired.signal.aborted) this.noteFailure(backEnd, 'broken', outcome.detail);
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
    if (isStream(this.route.kind) && answer.status >= 200 && answer.status < 300) {
      this.health().record(backEnd.id, 'good', tookMs / this.expectedMs());
      return this.passStream(answer, backEnd);
    }
    return this.passWhole(answer, backEnd, tookMs);
  }

  private async passWhole(answer: BackendAnswer, backEnd: BackEnd, tookMs: number): Promise<AttemptResult> {
    const reader = new BodyReader(answer, this.context.clock);
    const chunks: Uint8Array[] = [];
    let size = 0;
    for (;;) {
      const step = await reader.next();
      if (step.kind === 'broken') return this.onBrokenBody(backEnd);
      if (step.kind === 'end') break;
      size += step.chunk.byteLength;
      if (this.stream === undefined) chunks.push(step.chunk);
      else await this.stream.write(step.chunk);
      if (this.stream === undefined && size > HELD_ANSWER_BYTES) await this.openStream(answer, chunks);
    }
    const failed = answer.status >= 500;
    this.health().record(
      backEnd.id,
      failed ? 'failed_answer' : 'good',
      failed ? undefined : tookMs / this.expectedMs(),
    );
    if (this.stream !== undefined) {
      this.stream.end();
      this.noteAnswered(answer.status, backEnd);
      return { kind: 'finished' };
    }
    const held = {
      status: answer.status,
      headers: this.context.dialect.answerHeaders(answer.rawHeaders),
      body: Buffer.concat(chunks),
    };
    if (failed && mayRunAgain(this.route.kind)) {
      this.excluded.add(backEnd.id);
      return { kind: 'failure', answer: held };
    }
    this.exchange.respond(held, held.body);
    this.noteAnswered(answer.status, backEnd);
    return { kind: 'finished' };
  }

  private async openStream(answer: BackendAnswer, chunks: Uint8Array[]): Promise<void> {
    const headers = this.context.dialect.answerHeaders(answer.rawHeaders);
    this.stream = this.exchange.beginStream({ status: answer.status, headers });
    for (const chunk of chunks) await this.stream.write(chunk);
    chunks.length = 0;
  }

  private async passStream(answer: BackendAnswer, backEnd: BackEnd): Promise<AttemptResult> {
    const resumable = this.route.kind === 'resumable_stream';
    if (this.stream === undefined) {
      const headers = this.context.dialect.answerHeaders(answer.rawHeaders);
      this.stream = this.exchange.beginStream({ status: answer.status, headers });
    } else {
      this.context.journal.decided('request_resumed', this.facts.id, {
        backEnd: backEnd.id,
        afterEvent: this.lastEventId,
      });
    }
    const reader = new BodyReader(answer, this.context.clock);
    const splitter = new EventSplitter();
    const gapMs = resumable
      ? (this.route.targetGapMs ?? this.route.targetLatencyMs) * SILENT_GAPS
      : undefined;
    for (;;) {
      const step = await reader.next(gapMs);
      if (step.kind === 'broken') return this.onBrokenBody(backEnd);
      if (step.kind === 'end') break;
      if (!resumable) {
        await this.stream.write(step.chunk);
        continue;
      }
      const batch = splitter.push(step.chunk);
      if (batch === undefined) continue;
      if (batch.lastId !== undefined) this.lastEventId = batch.lastId;
      await this.stream.write(batch.bytes);
    }
    if (splitter.hasPartialEvent) await this.stream.write(splitter.remainder());
    this.stream.end();
    this.noteAnswered(answer.status, backEnd);
    return { kind: 'finished' };
  }

  private onBrokenBody(backEnd: BackEnd): AttemptResult {
    if (!this.expired.signal.aborted) this.noteFailure(backEnd, 'broken', 'the answer broke off');
    return { kind: 'maybe_run' };
  }

  /** Refused by the choice of a back end. */
  private finishWithout(reason: RefusalReason, retryAfterMs: number): void {
    if (this.expired.signal.aborted) this.finishExpired();
    else if (this.ranOn.size > 0) this.finishUnserved();
    else this.refuse(reason === 'model_too_late' ? 'wait_expired' : 'no_replica', reason, retryAfterMs);
  }

  /** Time is up, or the client has gone. */
  private finishExpired(): void {
    if (this.exchange.signal.aborted) {
      this.exchange.abort();
      this.end('abandoned');
      this.context.journal.decided('request_abandoned', this.facts.id, { sends: this.sends });
    } else if (this.stream !== undefined) {
      this.breakOff('time is up');
    } else if (this.ranOn.size === 0) {
      if (this.stopped) this.refuse('stopping', 'this daemon stops', STOPPING_RETRY_MS);
      else this.refuse('wait_expired', 'time is up', 0);
    } else {
      this.fail('request_timeout', 'time is up');
    }
  }

  /** No further send is allowed. */
  private finishUnserved(): void {
    if (this.stream !== undefined) {
      this.breakOff('no back end may take the stream up');
    } else if (this.held !== undefined) {
      this.exchange.respond(this.held, this.held.body);
      this.end('failure_passed_on');
    } else if (this.ranOn.size === 0) {
      this.refuse('no_replica', 'all back ends declined', 0);
    } else {
      this.fail('backend_broken', 'no answer after a send that may have run');
    }
  }

  private breakOff(cause: string): void {
    this.stream?.abort();
    this.end('broken_off');
    this.context.journal.decided('request_failed', this.facts.id, {
      answer: 'broken_off',
      cause,
      sends: this.sends,
    });
  }

  private refuse(kind: ErrorKind, cause: string, retryAfterMs: number): void {
    this.answerError(kind, retryAfterMs);
    this.end('refused');
    this.context.journal.decided('request_refused', this.facts.id, {
      kind,
      cause,
      retryAfterMs: Math.round(retryAfterMs),
      sends: this.sends,
      waitedMs: Math.round(this.elapsedMs()),
    });
  }

  private fail(kind: ErrorKind, cause: string): void {
    this.answerError(kind, 0);
    this.end('failed');
    this.context.journal.decided('request_failed', this.facts.id, { answer: kind, cause, sends: this.sends });
  }

  private answerError(kind: ErrorKind, retryAfterMs: number): void {
    const { status } = answerFor(kind);
    const retryAfterSeconds = retryAfterMs > 0 ? retryAfterMs / 1000 : undefined;
    const headers = this.context.dialect.ownHeaders(this.facts.id, retryAfterSeconds);
    this.exchange.respond({ status, headers }, encodeText(`${kind}\n`));
  }

  private noteAnswered(status: number, backEnd: BackEnd): void {
    this.end(status < 500 ? 'served' : 'failure_passed_on');
    this.context.journal.decided('request_answered', this.facts.id, {
      status,
      backEnd: backEnd.id,
      sends: this.sends,
      tookMs: Math.round(this.elapsedMs()),
    });
  }

  private end(outcome: string): void {
    this.context.journal.ended(this.route.name, outcome, this.elapsedMs());
  }

  /** How long to wait for a first answer before another back end is tried, where that is allowed. */
  private patienceMs(): number | undefined {
    if (!mayRunAgain(this.route.kind) || this.ranOn.size + 1 >= this.route.maximumAttempts) return undefined;
    return Math.min(this.leftMs() * PATIENCE_SHARE, this.route.targetLatencyMs * PATIENCE_TARGETS);
  }

  private expectedMs(): number {
    if (this.facts.target === undefined) return PLAIN_EXPECTED_MS;
    return FIRST_TOKEN_EXPECTED_MS + this.facts.promptTokens / ASSUMED_TOKENS_PER_MS;
  }

  private health(): BackendHealth {
    return this.context.healthOf(this.service.name);
  }

  private elapsedMs(): number {
    return this.context.clock.monotonic() - this.arrivedAt;
  }

  /** Milliseconds from its arrival by which a request for a model must have been sent. */
  private startLimitMs(): number {
    const limitMs = Math.min(this.elapsedMs() + this.leftMs(), this.route.clientGapMs ?? Infinity);
    return limitMs * START_SHARE - this.expectedMs();
  }

  /** Milliseconds in which an answer must have begun. */
  private leftMs(): number {
    const limit = Math.min(this.facts.waitMs ?? Infinity, this.route.timeoutMs);
    return Math.max(0, limit - this.elapsedMs());
  }
}
