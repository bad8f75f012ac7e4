/** Passes answers of back ends on to one client: whole ones once they are complete, streams event by event as they come. */
import type { BackendAnswer, Clock } from '@woodbarrow/runtime';
import { ABORTED, orAborted } from './abortable.js';
import { BodyReader, type ProcessCheck } from './body-reader.js';
import type { ByteAnswer, EventAnswer, UnbegunAnswer } from './client-answer.js';
import { EventSplitter } from './event-splitter.js';
import type { HeldAnswer } from './request-ending.js';
import type { Continuation, StreamPosition } from './stream-position.js';
import type { WireDialect } from './wire-dialect.js';

/** Answers up to this size are held until they are whole, so that a broken one can be replaced, in bytes. */
const HELD_ANSWER_BYTES = 64 * 1024;

/** What came of passing a whole answer on. */
export type WholeResult =
  /** The client has all of it. */
  | { readonly kind: 'passed' }
  /** It is whole and has not been passed on. */
  | { readonly kind: 'held'; readonly answer: HeldAnswer }
  | BrokenResult;

/** It broke off, or stopped. */
export interface BrokenResult {
  readonly kind: 'broken';
  /** Bytes of an unfinished event at a plain end; 0 where the connection broke. */
  readonly tornBytes: number;
}

/** What came of passing a stream on. */
export type StreamResult =
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
export interface StreamOptions {
  /** What the client has of an earlier answer; absent where no other run may go on, and then events are not compared. */
  readonly position?: StreamPosition;
  /** Milliseconds without a byte after which the stream counts as broken, asked anew before each wait. */
  readonly silentAfterMs: () => number | undefined;
  readonly processLives: ProcessCheck;
  /** Called once when the first events of this run have been found to follow. */
  readonly onFollows: () => void;
}

/** Relay of one request; a stream may go on from one answer to the next. */
export class AnswerRelay {
  /** Monotonic time of the last bytes of a stream. */
  private lastAt: number | undefined;
  private longestGap = 0;
  private firstOfRun: string | undefined;
  /** A run has broken off inside an event, so there is at least one more. */
  private knowsOfMore = false;

  constructor(
    private readonly dialect: WireDialect,
    private readonly clock: Clock,
    /** Aborts when time is up: a client that does not read must not hold the request longer. */
    private readonly expired: AbortSignal,
  ) {}

  /** Longest pause between two pieces of a stream as they came, in milliseconds; 0 before the second. */
  get longestGapMs(): number {
    return this.longestGap;
  }

  /** Id of the first event that the last back end sent. */
  get firstEventIdOfRun(): string | undefined {
    return this.firstOfRun;
  }

  /**
   * Reads an answer to its end; a large one is passed on while it comes.
   *
   * @param silentAfterMs Milliseconds without a byte after which it counts as broken; without end when undefined.
   */
  async passWhole(
    client: UnbegunAnswer,
    answer: BackendAnswer,
    silentAfterMs: number | undefined,
    processLives: ProcessCheck,
  ): Promise<WholeResult> {
    const reader = new BodyReader(answer, this.clock, processLives);
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    const held: Uint8Array[] = [];
    let begun: ByteAnswer | undefined;
    let size = 0;
    for (;;) {
      const step = await reader.next(silentAfterMs);
      if (step.kind === 'broken') return { kind: 'broken', tornBytes: 0 };
      if (step.kind === 'end') break;
      held.push(step.chunk);
      size += step.chunk.byteLength;
      if (size <= HELD_ANSWER_BYTES) continue;
      begun ??= client.beginBytes({ status: answer.status, headers });
      const taken = begun.pass(Buffer.concat(held.splice(0)));
      if (await this.isTimeUp(taken)) return { kind: 'broken', tornBytes: 0 };
    }
    if (begun === undefined)
      return { kind: 'held', answer: { status: answer.status, headers, body: Buffer.concat(held) } };
    begun.complete();
    return { kind: 'passed' };
  }

  /**
   * Passes a stream on, event by event. A client's answer begins with the first event that follows what the client has, so that until
   * then another answer may be given; it keeps the head of its first run.
   */
  async passStream(
    client: UnbegunAnswer | EventAnswer,
    answer: BackendAnswer,
    options: StreamOptions,
  ): Promise<StreamResult> {
    const reader = new BodyReader(answer, this.clock, options.processLives);
    const splitter = new EventSplitter();
    this.firstOfRun = undefined;
    let target = client;
    let follows = false;
    if (target.kind === 'events') target.startRun();
    for (;;) {
      const step = await reader.next(options.silentAfterMs());
      if (step.kind === 'broken') return this.broken(splitter);
      if (step.kind === 'end') break;
      this.noteArrival();
      const events = splitter.push(step.chunk);
      if (events.length === 0) continue;
      this.firstOfRun ??= events.find(({ id }) => id !== undefined)?.id;
      if (target.kind === 'not_begun') {
        const continuation = options.position?.judge(events) ?? 'follows';
        if (continuation !== 'follows') return this.giveUp(answer, continuation);
        target = this.begin(target, answer, options);
      }
      const { continuation, taken } = target.pass(events);
      if (await this.isTimeUp(taken)) return { kind: 'broken', tornBytes: 0 };
      if (continuation !== 'follows') return this.giveUp(answer, continuation);
      if (!follows) options.onFollows();
      follows = true;
      this.knowsOfMore = false;
    }
    // An event without its blank line is not whole: clients drop it, so a stream that ends there must not look complete.
    if (splitter.partialBytes > 0 || this.knowsOfMore)
      return { ...this.broken(splitter), tornBytes: splitter.partialBytes };
    if (!follows) options.onFollows();
    if (target.kind === 'not_begun') target = this.begin(target, answer, options);
    // Comments behind the last event belong to the back end's whole body.
    const { remainder: bytes } = splitter;
    if (bytes.byteLength > 0) {
      const { taken } = target.pass([{ bytes, isEvent: false }]);
      await this.isTimeUp(taken);
    }
    const lastEvent = target.lastEventId;
    target.complete();
    return { kind: 'passed', lastEvent };
  }

  /** Waits until the client has taken what was written, and says whether time is up by then. */
  private async isTimeUp(taken: Promise<void> | undefined): Promise<boolean> {
    if (taken === undefined) return this.expired.aborted;
    return (await orAborted(taken, this.expired)) === ABORTED;
  }

  private begin(client: UnbegunAnswer, answer: BackendAnswer, { position }: StreamOptions): EventAnswer {
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    return client.beginEvents({ status: answer.status, headers }, position);
  }

  private giveUp(answer: BackendAnswer, reason: Exclude<Continuation, 'follows'>): StreamResult {
    answer.discard();
    return { kind: 'refused', reason, firstEvent: this.firstOfRun };
  }

  private broken({ partialBytes }: EventSplitter): BrokenResult {
    this.knowsOfMore ||= partialBytes > 0;
    return { kind: 'broken', tornBytes: 0 };
  }

  private noteArrival(): void {
    const now = this.clock.monotonic();
    if (this.lastAt !== undefined) this.longestGap = Math.max(this.longestGap, now - this.lastAt);
    this.lastAt = now;
  }
}
