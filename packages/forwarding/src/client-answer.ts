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
export type ClientAnswerState = UnbegunAnswer | EventAnswer | ByteAnswer | EndedAnswer;

/** Nothing has been written. */
export interface UnbegunAnswer {
  readonly kind: 'not_begun';
  /** Gives a whole answer. */
  respond(head: ResponseHead, body: Uint8Array): void;
  /** Begins a series of events. @param position What the client has; absent where no other run may go on. */
  beginEvents(head: ResponseHead, position?: StreamPosition): EventAnswer;
  /** Begins a body that only the back end which sent this head can go on with. */
  beginBytes(head: ResponseHead): ByteAnswer;
}

/** Events have been passed on; another run may go on right after the last of them. */
export interface EventAnswer {
  readonly kind: 'events';
  /** Last event passed on. */
  readonly lastEventId: string | undefined;
  /** Another run can be told where to go on. */
  readonly canBeTakenUp: boolean;
  /** The next events come from another run. */
  startRun(): void;
  /** Passes events on up to the first that does not follow, and says what was wrong with that one. */
  pass(events: readonly StreamEvent[]): PassedEvents;
  /** Ends it as complete. */
  complete(): void;
}

/** What became of events that were passed on. */
export interface PassedEvents {
  /** Whether all of them followed. */
  readonly continuation: Continuation;
  /** Resolves when the client's side can take more; absent where it can at once, as it nearly always can. */
  readonly taken: Promise<void> | undefined;
}

/** Part of a body has been passed on. */
export interface ByteAnswer {
  readonly kind: 'bytes';
  pass(chunk: Uint8Array): Promise<void> | undefined;
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
    this.current = this.unbegun();
  }

  get state(): ClientAnswerState {
    return this.current;
  }

  /** Whether the client has begun to receive an answer. */
  get hasBegun(): boolean {
    return this.current.kind !== 'not_begun';
  }

  /** Whether a further send can still bring about a whole answer. */
  get mayGoOn(): boolean {
    const state = this.current;
    return state.kind === 'not_begun' || (state.kind === 'events' && state.canBeTakenUp);
  }

  /** Last event that the client has; undefined until a stream has begun. */
  get lastEventId(): string | undefined {
    return this.current.kind === 'events' ? this.current.lastEventId : undefined;
  }

  /** Cuts the connection, so that what the client has cannot be taken for complete. */
  cut(): void {
    if (this.current.kind === 'ended') return;
    this.current = ENDED;
    if (this.stream === undefined) this.exchange.abort();
    else this.stream.abort();
  }

  private unbegun(): UnbegunAnswer {
    const state: UnbegunAnswer = {
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

  private beginEvents(from: UnbegunAnswer, head: ResponseHead, position?: StreamPosition): EventAnswer {
    const stream = this.beginStream(from, head);
    const state: EventAnswer = {
      kind: 'events',
      get lastEventId() {
        return position?.lastId;
      },
      get canBeTakenUp() {
        return position?.canBeTakenUp === true;
      },
      startRun: () => {
        position?.startRun();
      },
      pass: (events) => {
        this.requireCurrent(state);
        return passEvents(stream, position, events);
      },
      complete: () => {
        this.end(state, stream);
      },
    };
    this.current = state;
    return state;
  }

  private beginBytes(from: UnbegunAnswer, head: ResponseHead): ByteAnswer {
    const stream = this.beginStream(from, head);
    const state: ByteAnswer = {
      kind: 'bytes',
      pass: (chunk) => {
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

  private beginStream(from: UnbegunAnswer, head: ResponseHead): ResponseStream {
    this.requireCurrent(from);
    this.stream = this.exchange.beginStream(head);
    return this.stream;
  }

  private end(from: ClientAnswerState, stream: ResponseStream): void {
    this.requireCurrent(from);
    stream.end();
    this.current = ENDED;
  }

  /** A state that was left must not be written to: what it allowed may no longer follow. */
  private requireCurrent(state: ClientAnswerState): void {
    if (this.current !== state) throw new Error(`written to an answer that is no longer ${state.kind}`);
  }
}

function passEvents(
  stream: ResponseStream,
  position: StreamPosition | undefined,
  events: readonly StreamEvent[],
): PassedEvents {
  const fitting: Uint8Array[] = [];
  let continuation: Continuation = 'follows';
  for (const event of events) {
    continuation = position?.take(event) ?? 'follows';
    if (continuation !== 'follows') break;
    fitting.push(event.bytes);
  }
  const [first] = fitting;
  if (first === undefined) return { continuation, taken: undefined };
  return { continuation, taken: stream.write(fitting.length === 1 ? first : Buffer.concat(fitting)) };
}
