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

const WHOLE_NUMBER = /^\d{1,15}$/;
/** Difference between the ids of two events; larger only where a run of the stream itself has shown it. */
const USUAL_STEP = 1;

/** Position in one stream. */
export class StreamPosition {
  private last: number | undefined;
  private lastText: string | undefined;
  /** Largest difference between the ids of two events of one run. */
  private step = USUAL_STEP;
  /** An event was passed on that no other run can be told to go on after. */
  private isOpaque = false;
  private isAtStartOfRun = true;

  /** @param after Event that the client had before. */
  constructor(after: string | undefined) {
    this.lastText = after;
    this.last = toNumber(after);
    this.isOpaque = after !== undefined && this.last === undefined;
  }

  /** Whether the client has an event. */
  get hasBegun(): boolean {
    return this.lastText !== undefined;
  }

  /** Last event that the client has. */
  get lastId(): string | undefined {
    return this.lastText;
  }

  /** Whether another run can be told where to go on. */
  get canBeTakenUp(): boolean {
    return !this.isOpaque;
  }

  /** The next event is the first of another run. */
  startRun(): void {
    this.isAtStartOfRun = true;
  }

  /** Whether the first of these events follows; does not move on. */
  judge(events: readonly StreamEvent[]): Continuation {
    const first = events.find(({ isEvent }) => isEvent);
    if (first === undefined) return 'follows';
    const id = toNumber(first.id);
    return id === undefined ? this.compareOpaque() : this.compare(id);
  }

  /** Moves on by one event, if it follows. */
  take(event: StreamEvent): Continuation {
    if (!event.isEvent) return 'follows';
    const id = toNumber(event.id);
    if (id === undefined) return this.takeOpaque(event);
    const continuation = this.compare(id);
    if (continuation === 'follows') this.advance(event.id, id);
    return continuation;
  }

  private takeOpaque(event: StreamEvent): Continuation {
    if (this.compareOpaque() !== 'follows') return 'without_id';
    this.isOpaque = true;
    this.isAtStartOfRun = false;
    this.lastText = event.id ?? this.lastText;
    return 'follows';
  }

  private compareOpaque(): Continuation {
    return this.isAtStartOfRun && this.last !== undefined ? 'without_id' : 'follows';
  }

  private compare(id: number): Continuation {
    if (this.last === undefined) return 'follows';
    if (!this.isAtStartOfRun) return id > this.last ? 'follows' : 'not_rising';
    if (id <= this.last) return 'begins_anew';
    return id > this.last + this.step ? 'skips' : 'follows';
  }

  private advance(text: string | undefined, id: number): void {
    if (!this.isAtStartOfRun && this.last !== undefined) {
      this.step = Math.max(this.step, id - this.last);
    }
    this.last = id;
    this.lastText = text;
    this.isAtStartOfRun = false;
  }
}

function toNumber(id: string | undefined): number | undefined {
  return id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;
}
