/** Passes answers of back ends on to one client: whole ones once they are complete, streams event by event as they come. */
import type { BackendAnswer, Clock } from '@woodbarrow/runtime';
import { ABORTED, raceAbort } from './race-abort.js';
import { BodyReader, type ProcessCheck } from './body-reader.js';
import type { ByteStreamAnswer, EventStreamAnswer, PendingAnswer } from './client-answer.js';
import { EventSplitter } from './event-splitter.js';
import type { BufferedAnswer } from './request-completion.js';
import type { Continuation, StreamPosition } from './stream-position.js';
import type { WireDialect } from './wire-dialect.js';

/** Answers up to this size are held until they are whole, so that a broken one can be replaced, in bytes. */
const MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;

/** What came of passing a whole answer on. */
export type BodyRelayResult =
  /** The client has all of it. */
  | { readonly kind: 'passed' }
  /** It is whole and has not been passed on. */
  | { readonly kind: 'held'; readonly answer: BufferedAnswer }
  | BrokenResult;

/** It broke off, or stopped. */
export interface BrokenResult {
  readonly kind: 'broken';
  /** Bytes of an unfinished event at a plain end; 0 where the connection broke. */
  readonly tornBytes: number;
}

/** What came of passing a stream on. */
export type StreamRelayResult =
  /** The client has all of it. */
  | { readonly kind: 'passed'; readonly lastEvent: string | undefined }
  /** An event does not follow those that the client has; that one and what came after it were not passed on. */
  | {
      readonly kind: 'refused';
      readonly reason: Exclude<Continuation, 'follows'>;
      readonly firstEvent: string | undefined;
    }
  | BrokenResult;

/** How to pass a stream on. */
export interface StreamRelayOptions {
  /** What the client has of an earlier answer; absent where no other run may go on, and then events are not compared. */
  readonly position?: StreamPosition;
  /** Milliseconds without a byte after which the stream counts as broken, asked anew before each wait. */
  readonly idleTimeoutMs: () => number | undefined;
  readonly isProcessAlive: ProcessCheck;
  /** Called once when the first events of this run have been found to follow. */
  readonly onAccepted: () => void;
}

/** Relay of one request; a stream may go on from one answer to the next. */
export class AnswerRelay {
  /** Monotonic time of the last bytes of a stream. */
  private lastChunkAt: number | undefined;
  private maxGapMs = 0;
  private firstEventId: string | undefined;
  /** A run has broken off inside an event, so there is at least one more. */
  private expectsMoreEvents = false;

  constructor(
    private readonly dialect: WireDialect,
    private readonly clock: Clock,
    /** Aborts when time is up: a client that does not read must not hold the request longer. */
    private readonly expired: AbortSignal,
  ) {}

  /** Longest pause between two pieces of a stream as they came, in milliseconds; 0 before the second. */
  get longestGapMs(): number {
    return this.maxGapMs;
  }

  /** Id of the first event that the last back end sent. */
  get firstEventIdOfRun(): string | undefined {
    return this.firstEventId;
  }

  /**
   * Reads an answer to its end; a large one is passed on while it comes.
   *
   * @param idleTimeoutMs Milliseconds without a byte after which it counts as broken; without end when undefined.
   */
  async relayBody(
    client: PendingAnswer,
    answer: BackendAnswer,
    idleTimeoutMs: number | undefined,
    isProcessAlive: ProcessCheck,
  ): Promise<BodyRelayResult> {
    const reader = new BodyReader(answer, this.clock, isProcessAlive);
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    const buffered: Uint8Array[] = [];
    let byteAnswer: ByteStreamAnswer | undefined;
    let size = 0;
    for (;;) {
      const step = await reader.next(idleTimeoutMs);
      if (step.kind === 'broken') return { kind: 'broken', tornBytes: 0 };
      if (step.kind === 'end') break;
      buffered.push(step.chunk);
      size += step.chunk.byteLength;
      if (size <= MAX_BUFFERED_ANSWER_BYTES) continue;
      byteAnswer ??= client.beginBytes({ status: answer.status, headers });
      const drained = byteAnswer.write(Buffer.concat(buffered.splice(0)));
      if (await this.expiresBeforeDrained(drained)) return { kind: 'broken', tornBytes: 0 };
    }
    if (byteAnswer === undefined)
      return { kind: 'held', answer: { status: answer.status, headers, body: Buffer.concat(buffered) } };
    byteAnswer.complete();
    return { kind: 'passed' };
  }

  /**
   * Passes a stream on, event by event. A client's answer begins with the first event that follows what the client has, so that until
   * then another answer may be given; it keeps the head of its first run.
   */
  async relayStream(
    client: PendingAnswer | EventStreamAnswer,
    answer: BackendAnswer,
    options: StreamRelayOptions,
  ): Promise<StreamRelayResult> {
    const reader = new BodyReader(answer, this.clock, options.isProcessAlive);
    const splitter = new EventSplitter();
    this.firstEventId = undefined;
    let target = client;
    let hasAccepted = false;
    if (target.kind === 'events') target.startRun();
    for (;;) {
      const step = await reader.next(options.idleTimeoutMs());
      if (step.kind === 'broken') return this.brokenResult(splitter);
      if (step.kind === 'end') break;
      this.recordChunkArrival();
      const events = splitter.push(step.chunk);
      if (events.length === 0) continue;
      this.firstEventId ??= events.find(({ id }) => id !== undefined)?.id;
      if (target.kind === 'not_begun') {
        const continuation = options.position?.check(events) ?? 'follows';
        if (continuation !== 'follows') return this.refuseContinuation(answer, continuation);
        target = this.begin(target, answer, options);
      }
      const { continuation, drained } = target.write(events);
      if (await this.expiresBeforeDrained(drained)) return { kind: 'broken', tornBytes: 0 };
      if (continuation !== 'follows') return this.refuseContinuation(answer, continuation);
      if (!hasAccepted) options.onAccepted();
      hasAccepted = true;
      this.expectsMoreEvents = false;
    }
    // An event without its blank line is not whole: clients drop it, so a stream that ends there must not look complete.
    if (splitter.incompleteEventBytes > 0 || this.expectsMoreEvents)
      return { ...this.brokenResult(splitter), tornBytes: splitter.incompleteEventBytes };
    if (!hasAccepted) options.onAccepted();
    if (target.kind === 'not_begun') target = this.begin(target, answer, options);
    // Comments behind the last event belong to the back end's whole body.
    const { remainder: bytes } = splitter;
    if (bytes.byteLength > 0) {
      const { drained } = target.write([{ bytes, isEvent: false }]);
      await this.expiresBeforeDrained(drained);
    }
    const lastEvent = target.lastEventId;
    target.complete();
    return { kind: 'passed', lastEvent };
  }

  /** Waits until the client has taken what was written, and says whether time is up by then. */
  private async expiresBeforeDrained(drained: Promise<void> | undefined): Promise<boolean> {
    if (drained === undefined) return this.expired.aborted;
    return (await raceAbort(drained, this.expired)) === ABORTED;
  }

  private begin(
    client: PendingAnswer,
    answer: BackendAnswer,
    { position }: StreamRelayOptions,
  ): EventStreamAnswer {
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    return client.beginEvents({ status: answer.status, headers }, position);
  }

  private refuseContinuation(
    answer: BackendAnswer,
    reason: Exclude<Continuation, 'follows'>,
  ): StreamRelayResult {
    answer.discard();
    return { kind: 'refused', reason, firstEvent: this.firstEventId };
  }

  private brokenResult({ incompleteEventBytes }: EventSplitter): BrokenResult {
    this.expectsMoreEvents ||= incompleteEventBytes > 0;
    return { kind: 'broken', tornBytes: 0 };
  }

  private recordChunkArrival(): void {
    const now = this.clock.monotonic();
    if (this.lastChunkAt !== undefined) this.maxGapMs = Math.max(this.maxGapMs, now - this.lastChunkAt);
    this.lastChunkAt = now;
  }
}
