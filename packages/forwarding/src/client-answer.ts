/**
 * State machine of the answer to one client; all writes to the client go through it. A complete answer can be
 * given only before the first byte. After that only data of the same answer may follow, or the connection is
 * aborted. This prevents error texts or parts of another run from being written into an answer that has
 * begun. Without a single place that decides this, streams ended as complete with events missing (10 streams
 * in 24 s with 8 daemons and three in ten answers broken).
 */
import type { IncomingExchange, ResponseHead, ResponseStream } from '@woodbarrow/runtime';
import type { StreamEvent } from './event-splitter.js';
import type { Continuation, StreamPosition } from './stream-position.js';
import type { AnswerMeter } from './unread-answers.js';

/** State of a client's answer. */
export type ClientAnswerState = PendingAnswer | EventStreamAnswer | ByteStreamAnswer | EndedAnswer;

/** No answer has begun. */
export interface PendingAnswer {
  readonly kind: 'not_begun';
  /** Sends a complete answer. */
  respond(head: ResponseHead, body: Uint8Array): void;
  /** Begins an event stream. @param position Position of the client; absent if the stream cannot be resumed. */
  beginEvents(head: ResponseHead, position?: StreamPosition): EventStreamAnswer;
  /** Begins a body that no other run can continue. */
  beginBytes(head: ResponseHead): ByteStreamAnswer;
}

/** An event stream has begun; another run may continue after its last event. */
export interface EventStreamAnswer {
  readonly kind: 'events';
  /** Id of the last event written. */
  readonly lastEventId: string | undefined;
  /** Whether another run can resume after the last event. */
  readonly canResume: boolean;
  /** The next events come from another run. */
  startRun(): void;
  /** Writes the events before the first one that does not follow, and returns why that one was refused. */
  write(events: readonly StreamEvent[]): EventWriteResult;
  /** Ends the stream as complete. */
  complete(): void;
}

/** Result of writing events. */
export interface EventWriteResult {
  /** `follows` if all events were written, else why one was refused. */
  readonly continuation: Continuation;
  /** Resolves when the client's side can accept more data; absent if it can at once. */
  readonly drained: Promise<void> | undefined;
}

/** A body that is not a resumable stream has begun. */
export interface ByteStreamAnswer {
  readonly kind: 'bytes';
  write(chunk: Uint8Array): Promise<void> | undefined;
  /** Ends the body as complete. */
  complete(): void;
}

/** The answer has ended; nothing more may be written. */
export interface EndedAnswer {
  readonly kind: 'ended';
}

const ENDED: EndedAnswer = { kind: 'ended' };

/** Answer to one client. */
export class ClientAnswer {
  private current: ClientAnswerState;
  private stream: ResponseStream | undefined;
  private meter: AnswerMeter | undefined;

  constructor(private readonly exchange: IncomingExchange) {
    this.current = this.pendingState();
  }

  get state(): ClientAnswerState {
    return this.current;
  }

  /** Whether the client has begun to receive an answer. */
  get hasBegun(): boolean {
    return this.current.kind !== 'not_begun';
  }

  /** Whether another send can still lead to a complete answer. */
  get canContinue(): boolean {
    const state = this.current;
    return state.kind === 'not_begun' || (state.kind === 'events' && state.canResume);
  }

  /** Id of the last event that the client has; undefined until a stream has begun. */
  get lastEventId(): string | undefined {
    return this.current.kind === 'events' ? this.current.lastEventId : undefined;
  }

  /** Lets a meter observe and delay the writes that follow. */
  meterWith(meter: AnswerMeter): void {
    this.meter = meter;
  }

  /** Aborts the connection, so that the client cannot mistake a partial answer for a complete one. */
  abort(): void {
    if (this.current.kind === 'ended') return;
    this.current = ENDED;
    if (this.stream === undefined) this.exchange.abort();
    else this.stream.abort();
  }

  private pendingState(): PendingAnswer {
    const state: PendingAnswer = {
      kind: 'not_begun',
      respond: (head, body) => {
        this.requireCurrent(state);
        this.exchange.respond(head, body);
        this.current = ENDED;
      },
      beginEvents: (head, position) => this.beginEvents(state, head, position),
      beginBytes: (head) => this.beginBytes(state, head),
    };
    return state;
  }

  private beginEvents(
    expected: PendingAnswer,
    head: ResponseHead,
    position?: StreamPosition,
  ): EventStreamAnswer {
    const stream = this.beginStream(expected, head);
    const state: EventStreamAnswer = {
      kind: 'events',
      get lastEventId() {
        return position?.lastId;
      },
      get canResume() {
        return position?.canResume === true;
      },
      startRun: () => {
        position?.startRun();
      },
      write: (events) => {
        this.requireCurrent(state);
        return writeEvents((chunk) => this.writeTo(stream, chunk), position, events);
      },
      complete: () => {
        this.end(state, stream);
      },
    };
    this.current = state;
    return state;
  }

  private beginBytes(expected: PendingAnswer, head: ResponseHead): ByteStreamAnswer {
    const stream = this.beginStream(expected, head);
    const state: ByteStreamAnswer = {
      kind: 'bytes',
      write: (chunk) => {
        this.requireCurrent(state);
        return this.writeTo(stream, chunk);
      },
      complete: () => {
        this.end(state, stream);
      },
    };
    this.current = state;
    return state;
  }

  private beginStream(expected: PendingAnswer, head: ResponseHead): ResponseStream {
    this.requireCurrent(expected);
    this.stream = this.exchange.beginStream(head);
    return this.stream;
  }

  private writeTo(stream: ResponseStream, chunk: Uint8Array): Promise<void> | undefined {
    const drained = stream.write(chunk);
    return this.meter === undefined ? drained : this.meter.admit(chunk.byteLength, drained);
  }

  private end(expected: ClientAnswerState, stream: ResponseStream): void {
    this.requireCurrent(expected);
    stream.end();
    this.current = ENDED;
  }

  /** Throws if the given state is no longer the current one. */
  private requireCurrent(state: ClientAnswerState): void {
    if (this.current !== state) throw new Error(`cannot write: the answer is no longer ${state.kind}`);
  }
}

function writeEvents(
  write: (chunk: Uint8Array) => Promise<void> | undefined,
  position: StreamPosition | undefined,
  events: readonly StreamEvent[],
): EventWriteResult {
  const accepted: Uint8Array[] = [];
  let continuation: Continuation = 'follows';
  for (const event of events) {
    continuation = position?.accept(event) ?? 'follows';
    if (continuation !== 'follows') break;
    accepted.push(event.bytes);
  }
  const [first] = accepted;
  if (first === undefined) return { continuation, drained: undefined };
  return { continuation, drained: write(accepted.length === 1 ? first : Buffer.concat(accepted)) };
}
