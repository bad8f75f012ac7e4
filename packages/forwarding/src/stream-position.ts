/**
 * Which event of a stream a client has, and whether the next one follows it. Ids of events are whole numbers that rise; where another
 * run takes the stream up, its first event must be the very next one: a run that begins anew, or leaves events out, would give the client
 * events twice or not at all.
 */
import type { StreamEvent } from './event-splitter.js';

/** How an event relates to what the client has. */
export type Continuation =
  | 'follows'
  /** Another run gives events again that the client has. */
  | 'begins_anew'
  /** Another run leaves events out. */
  | 'skips'
  /** Within a run the ids do not rise. */
  | 'not_rising'
  /** Another run gives an event whose id cannot be compared. */
  | 'without_id';

const NUMERIC_ID = /^\d{1,15}$/;
/** Difference between the ids of two events; larger only where a run of the stream itself has shown it. */
const DEFAULT_ID_STEP = 1;

/** Position in one stream. */
export class StreamPosition {
  private lastNumber: number | undefined;
  private lastIdText: string | undefined;
  /** Largest difference between the ids of two events of one run. */
  private maxStep = DEFAULT_ID_STEP;
  /** An event was passed on that no other run can be told to go on after. */
  private hasOpaqueId = false;
  private isFirstOfRun = true;

  /** @param lastEventId Event that the client had before. */
  constructor(lastEventId: string | undefined) {
    this.lastIdText = lastEventId;
    this.lastNumber = toNumber(lastEventId);
    this.hasOpaqueId = lastEventId !== undefined && this.lastNumber === undefined;
  }

  /** Whether the client has an event. */
  get hasBegun(): boolean {
    return this.lastIdText !== undefined;
  }

  /** Last event that the client has. */
  get lastId(): string | undefined {
    return this.lastIdText;
  }

  /** Whether another run can be told where to go on. */
  get canResume(): boolean {
    return !this.hasOpaqueId;
  }

  /** The next event is the first of another run. */
  startRun(): void {
    this.isFirstOfRun = true;
  }

  /** Whether the first of these events follows; does not move on. */
  check(events: readonly StreamEvent[]): Continuation {
    const first = events.find(({ isEvent }) => isEvent);
    if (first === undefined) return 'follows';
    const id = toNumber(first.id);
    return id === undefined ? this.compareOpaque() : this.compare(id);
  }

  /** Moves on by one event, if it follows. */
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
