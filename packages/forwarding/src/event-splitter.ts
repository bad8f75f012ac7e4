/**
 * Splits a `text/event-stream` body into complete events, so that a stream that breaks inside an event can be
 * resumed without a partial event.
 */

/** One block of a stream, including its terminating blank line. */
export interface StreamEvent {
  readonly bytes: Uint8Array;
  /** Absent if the block has no id. */
  readonly id?: string;
  /** False for blocks without data or id, such as comments, which clients ignore. */
  readonly isEvent: boolean;
}

/** Maximum number of bytes of one event, or of comments between events. */
export const MAX_EVENT_BYTES = 256 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const INITIAL_CAPACITY = 1024;
const ID_LINE = /^id(?:: ?(.*?))?\r?$/m;
const EVENT_LINE = /^(?:data|id)(?::|\r?$)/m;
/** A line that is neither blank nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m;

/** Splitter of one body. Each byte is scanned once, however small the chunks are. */
export class EventSplitter {
  /** Holds the pending bytes at its start; grows as needed. */
  private buffer = Buffer.alloc(0);
  private pendingBytes = 0;
  /** Offset of the last line in the pending bytes. */
  private lineStart = 0;

  /** Pending bytes of an incomplete event; 0 if only comments are pending. */
  get incompleteEventBytes(): number {
    return FIELD_LINE.test(this.pending.toString('latin1')) ? this.pendingBytes : 0;
  }

  /** Whether the pending bytes exceed {@link MAX_EVENT_BYTES}, so that the body should not be read on. */
  get isOverlong(): boolean {
    return this.pendingBytes > MAX_EVENT_BYTES;
  }

  /** Bytes after the last complete block: an incomplete event or comments. */
  get remainder(): Uint8Array {
    return this.pending;
  }

  /** Appends a chunk and returns the blocks that it completes. */
  push(chunk: Uint8Array): StreamEvent[] {
    const events: StreamEvent[] = [];
    let index = this.pendingBytes;
    this.append(chunk);
    let start = 0;
    for (index = this.buffer.indexOf(LINE_FEED, index); index >= 0 && index < this.pendingBytes;) {
      if (isBlankLine(this.buffer, this.lineStart, index)) {
        events.push(toEvent(Buffer.from(this.buffer.subarray(start, index + 1))));
        start = index + 1;
      }
      this.lineStart = index + 1;
      index = this.buffer.indexOf(LINE_FEED, this.lineStart);
    }
    if (start > 0) this.buffer.copyWithin(0, start, this.pendingBytes);
    this.pendingBytes -= start;
    this.lineStart -= start;
    return events;
  }

  private get pending(): Buffer {
    return this.buffer.subarray(0, this.pendingBytes);
  }

  private append(chunk: Uint8Array): void {
    const needed = this.pendingBytes + chunk.byteLength;
    if (needed > this.buffer.byteLength) {
      const grown = Buffer.alloc(Math.max(needed, 2 * this.buffer.byteLength, INITIAL_CAPACITY));
      this.pending.copy(grown);
      this.buffer = grown;
    }
    this.buffer.set(chunk, this.pendingBytes);
    this.pendingBytes = needed;
  }
}

/** @param end Index of the line feed. */
function isBlankLine(data: Buffer, start: number, end: number): boolean {
  return end === start || (end === start + 1 && data[start] === CARRIAGE_RETURN);
}

function toEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const isEvent = EVENT_LINE.test(text);
  const id = ID_LINE.exec(text)?.[1];
  return id === undefined ? { bytes, isEvent } : { bytes, id, isEvent };
}
