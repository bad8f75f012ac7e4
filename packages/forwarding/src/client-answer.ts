/**
 * The answer of one client: what it has received so far, and what may still follow. Everything that is written to a client passes
 * through here. What may follow depends on the state alone: a whole answer can be given only while none has begun; after the first
 * byte only what belongs to that answer may follow, or the connection is cut. Guards against a failure's text, or the pieces of
 * another run, written into an answer that has begun: where each branch that wrote decided for itself, 10 streams ended as complete
 * with events missing within 24 s (8 daemons, three in ten answers broken, two in five requests failing).
 */
import type { IncomingExchange, ResponseHead, ResponseStream } from '@woodbarrow/runtime';
import type { StreamEvent } from './event-splitter.js';
import type { Continuation, StreamPosition } from './stream-position.js';

/** State of a client's answer. */
export type ClientAnswerState = PendingAnswer | EventStreamAnswer | ByteStreamAnswer | EndedAnswer;

/** Nothing has been written. */
export interface PendingAnswer {
  readonly kind: 'not_begun';
  /** Gives a whole answer. */
  respond(head: ResponseHead, body: Uint8Array): void;
  /** Begins a series of events. @param position What the client has; absent where no other run may go on. */
  beginEvents(head: ResponseHead, position?: StreamPosition): EventStreamAnswer;
  /** Begins a body that only the back end which sent this head can go on with. */
  beginBytes(head: ResponseHead): ByteStreamAnswer;
}

/** Events have been passed on; another run may go on right after the last of them. */
export interface EventStreamAnswer {
  readonly kind: 'events';
  /** Last event passed on. */
  readonly lastEventId: string | undefined;
  /** Another run can be told where to go on. */
  readonly canResume: boolean;
  /** The next events come from another run. */
  startRun(): void;
  /** Passes events on up to the first that does not follow, and says what was wrong with that one. */
  write(events: readonly StreamEvent[]): EventWriteResult;
  /** Ends it as complete. */
  complete(): void;
}

/** What became of events that were passed on. */
export interface EventWriteResult {
  /** Whether all of them followed. */
  readonly continuation: Continuation;
  /** Resolves when the client's side can take more; absent where it can at once, as it nearly always can. */
  readonly drained: Promise<void> | undefined;
}

/** Part of a body has been passed on. */
export interface ByteStreamAnswer {
  readonly kind: 'bytes';
  write(chunk: Uint8Array): Promise<void> | undefined;
  /** Ends it as complete. */
  complete(): void;
}

/** Nothing more may be written. */
export interface EndedAnswer {
  readonly kind: 'ended';
}

const ENDED: EndedAnswer = { kind: 'ended' };

/** The only writer to one client. */
export class ClientAnswer {
  private current: ClientAnswerState;
  private stream: ResponseStream | undefined;

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

  /** Whether a further send can still bring about a whole answer. */
  get canContinue(): boolean {
    const state = this.current;
    return state.kind === 'not_begun' || (state.kind === 'events' && state.canResume);
  }

  /** Last event that the client has; undefined until a stream has begun. */
  get lastEventId(): string | undefined {
    return this.current.kind === 'events' ? this.current.lastEventId : undefined;
  }

  /** Cuts the connection, so that what the client has cannot be taken for complete. */
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
        return writeEvents(stream, position, events);
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
        return stream.write(chunk);
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

  private end(expected: ClientAnswerState, stream: ResponseStream): void {
    this.requireCurrent(expected);
    stream.end();
    this.current = ENDED;
  }

  /** A state that was left must not be written to: what it allowed may no longer follow. */
  private requireCurrent(state: ClientAnswerState): void {
    if (this.current !== state) throw new Error(`written to an answer that is no longer ${state.kind}`);
  }
}

function writeEvents(
  stream: ResponseStream,
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
  return { continuation, drained: stream.write(accepted.length === 1 ? first : Buffer.concat(accepted)) };
}
