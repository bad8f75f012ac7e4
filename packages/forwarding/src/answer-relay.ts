/** Passes answers of back ends on to one client: whole ones once they are complete, streams as they come. */
import type { BackendAnswer, Clock, IncomingExchange, ResponseStream } from '@woodbarrow/runtime';
import { BodyReader } from './body-reader.js';
import { EventSplitter } from './event-splitter.js';
import type { HeldAnswer } from './request-ending.js';
import type { WireDialect } from './wire-dialect.js';

/** Answers up to this size are held until they are whole, so that a broken one can be replaced, in bytes. */
const HELD_ANSWER_BYTES = 64 * 1024;

/** What came of passing an answer on. */
export type RelayResult =
  /** The client has all of it. */
  | { readonly kind: 'passed' }
  /** It is whole and has not been passed on. */
  | { readonly kind: 'held'; readonly answer: HeldAnswer }
  /** It broke off. */
  | { readonly kind: 'broken' };

/** How to pass a stream on. */
export interface StreamOptions {
  /** Only whole events are passed on, so that another run can go on after the last of them. */
  readonly resumable: boolean;
  /** Milliseconds without a byte after which the stream counts as broken, asked anew before each wait. */
  readonly silentAfterMs: () => number | undefined;
}

/** Relay of one request; a stream may go on from one answer to the next. */
export class AnswerRelay {
  private stream: ResponseStream | undefined;
  private lastEvent: string | undefined;
  /** Id of the first event of the answer that is read now. */
  private firstOfRun: string | undefined;
  private torn = 0;
  /** Monotonic time of the last bytes of a stream. */
  private lastAt: number | undefined;
  private longestGap = 0;

  constructor(
    private readonly exchange: IncomingExchange,
    private readonly dialect: WireDialect,
    private readonly clock: Clock,
  ) {}

  /** Whether the client has begun to receive an answer. */
  get hasBegun(): boolean {
    return this.stream !== undefined;
  }

  /** Id of the last event passed on. */
  get lastEventId(): string | undefined {
    return this.lastEvent;
  }

  /** Id of the first event that the last back end sent. */
  get firstEventIdOfRun(): string | undefined {
    return this.firstOfRun;
  }

  /** Bytes of an unfinished event at the end of the last answer. */
  get tornBytes(): number {
    return this.torn;
  }

  /** Longest pause between two pieces of a stream as they came, in milliseconds; 0 before the second. */
  get longestGapMs(): number {
    return this.longestGap;
  }

  /** Cuts the client's answer, so that it cannot be taken for complete. */
  cut(): void {
    this.stream?.abort();
  }

  /**
   * Reads an answer to its end; a large one is passed on while it comes.
   *
   * @param silentAfterMs Milliseconds without a byte after which it counts as broken; without end when absent.
   */
  async passWhole(answer: BackendAnswer, silentAfterMs?: number): Promise<RelayResult> {
    const reader = new BodyReader(answer, this.clock);
    const chunks: Uint8Array[] = [];
    let size = 0;
    for (;;) {
      const step = await reader.next(silentAfterMs);
      if (step.kind === 'broken') return { kind: 'broken' };
      if (step.kind === 'end') break;
      size += step.chunk.byteLength;
      if (this.stream !== undefined) await this.stream.write(step.chunk);
      else chunks.push(step.chunk);
      if (this.stream === undefined && size > HELD_ANSWER_BYTES)
        await this.beginWith(answer, chunks.splice(0));
    }
    if (this.stream !== undefined) {
      this.stream.end();
      return { kind: 'passed' };
    }
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    return { kind: 'held', answer: { status: answer.status, headers, body: Buffer.concat(chunks) } };
  }

  /** Passes events on as they come; the head is that of the first answer. */
  async passStream(answer: BackendAnswer, options: StreamOptions): Promise<RelayResult> {
    const stream = this.stream ?? this.begin(answer);
    const reader = new BodyReader(answer, this.clock);
    const splitter = new EventSplitter();
    this.firstOfRun = undefined;
    for (;;) {
      const step = await reader.next(options.silentAfterMs());
      if (step.kind === 'broken') return { kind: 'broken' };
      if (step.kind === 'end') break;
      this.noteArrival();
      if (options.resumable) await this.passEvents(splitter, stream, step.chunk);
      else await stream.write(step.chunk);
    }
    this.torn = splitter.partialBytes;
    if (splitter.hasPartialEvent) await stream.write(splitter.remainder());
    stream.end();
    return { kind: 'passed' };
  }

  private noteArrival(): void {
    const now = this.clock.monotonic();
    if (this.lastAt !== undefined) this.longestGap = Math.max(this.longestGap, now - this.lastAt);
    this.lastAt = now;
  }

  private async passEvents(
    splitter: EventSplitter,
    stream: ResponseStream,
    chunk: Uint8Array,
  ): Promise<void> {
    const batch = splitter.push(chunk);
    if (batch === undefined) return;
    this.firstOfRun ??= batch.firstId;
    this.lastEvent = batch.lastId ?? this.lastEvent;
    await stream.write(batch.bytes);
  }

  private begin(answer: BackendAnswer): ResponseStream {
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    this.stream = this.exchange.beginStream({ status: answer.status, headers });
    return this.stream;
  }

  private async beginWith(answer: BackendAnswer, chunks: readonly Uint8Array[]): Promise<void> {
    const stream = this.begin(answer);
    for (const chunk of chunks) await stream.write(chunk);
  }
}
