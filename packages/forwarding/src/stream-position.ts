/**
 * Tracks the last event of a stream that a client has, and checks that the next one follows it. Event ids are increasing integers.
 * The first event of a resumed run must be the next one, so that the client gets no event twice and misses none.
 */
import type { StreamEvent } from './event-splitter.js';

/** How an event relates to the last event of the client. */
export type Continuation =
  | 'follows'
  /** Another run repeats events that the client has. */
  | 'begins_anew'
  /** Another run omits events. */
  | 'skips'
  /** The ids within a run do not increase. */
  | 'not_rising'
  /** Another run sends an event without a numeric id. */
  | 'without_id';

const NUMERIC_ID = /^\d{1,15}$/;
/** Assumed difference between consecutive ids, until a run shows a larger one. */
const DEFAULT_ID_STEP = 1;

/** Position in one stream. */
export class StreamPosition {
  private lastNumber: number | undefined;
  private lastIdText: string | undefined;
  /** Largest difference between consecutive ids within a run. */
  private maxStep = DEFAULT_ID_STEP;
  /** Whether an event without a numeric id was accepted, so that the stream cannot be resumed. */
  private hasOpaqueId = false;
  private isFirstOfRun = true;

  /** @param lastEventId Id of the last event that the client already has. */
  constructor(lastEventId: string | undefined) {
    this.lastIdText = lastEventId;
    this.lastNumber = toNumber(lastEventId);
    this.hasOpaqueId = lastEventId !== undefined && this.lastNumber === undefined;
  }

  /** Whether the client has received an event. */
  get hasBegun(): boolean {
    return this.lastIdText !== undefined;
  }

  /** Id of the last event that the client has. */
  get lastId(): string | undefined {
    return this.lastIdText;
  }

  /** Whether another run can resume after the last event. */
  get canResume(): boolean {
    return !this.hasOpaqueId;
  }

  /** Marks the next event as the first of another run. */
  startRun(): void {
    this.isFirstOfRun = true;
  }

  /** Checks whether the first of these events follows, without changing the position. */
  check(events: readonly StreamEvent[]): Continuation {
    const first = events.find(({ isEvent }) => isEvent);
    if (first === undefined) return 'follows';
    const id = toNumber(first.id);
    return id === undefined ? this.compareOpaque() : this.compare(id);
  }

  /** Advances the position by one event if it follows. */
  accept(event: StreamEvent): Continuation {
    if (!event.isEvent) return 'follows';
    const id = toNumber(event.id);
    if (id === undefined) return this.acceptOpaque(event);
    const continuation = this.compare(id);
    if (continuation === 'follows') this.advance(event.id, id);
    return continuation;
  }

  private acceptOpaque(event: StreamEvent): Continuation {
    if (this.compareOpaque() !== 'follows') return 'without_id';
    this.hasOpaqueId = true;
    this.isFirstOfRun = false;
    this.lastIdText = event.id ?? this.lastIdText;
    return 'follows';
  }

  private compareOpaque(): Continuation {
    return this.isFirstOfRun && this.lastNumber !== undefined ? 'without_id' : 'follows';
  }

  private compare(id: number): Continuation {
    if (this.lastNumber === undefined) return 'follows';
    if (!this.isFirstOfRun) return id > this.lastNumber ? 'follows' : 'not_rising';
    if (id <= this.lastNumber) return 'begins_anew';
    return id > this.lastNumber + this.maxStep ? 'skips' : 'follows';
  }

  private advance(text: string | undefined, id: number): void {
    if (!this.isFirstOfRun && this.lastNumber !== undefined) {
      this.maxStep = Math.max(this.maxStep, id - this.lastNumber);
    }
    this.lastNumber = id;
    this.lastIdText = text;
    this.isFirstOfRun = false;
  }
}

function toNumber(id: string | undefined): number | undefined {
  return id !== undefined && NUMERIC_ID.test(id) ? Number(id) : undefined;
}
