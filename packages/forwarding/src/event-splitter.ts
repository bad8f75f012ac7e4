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

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);
const ID_LINE = /^id(?:: ?(.*?))?\r?$/m;
const EVENT_LINE = /^(?:data|id)(?::|\r?$)/m;
/** A line that is neither blank nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m;

/** Splitter of one body. */
export class EventSplitter {
  private pending: Buffer = EMPTY;
  /** Offset of the last line in the pending bytes; earlier lines need not be scanned again. */
  private lineStart = 0;

  /** Pending bytes of an incomplete event; 0 if only comments are pending. */
  get incompleteEventBytes(): number {
    return FIELD_LINE.test(this.pending.toString('latin1')) ? this.pending.byteLength : 0;
  }

  /** Bytes after the last complete block: an incomplete event or comments. */
  get remainder(): Uint8Array {
    return this.pending;
  }

  /** Appends a chunk and returns the blocks that it completes. */
  push(chunk: Uint8Array): StreamEvent[] {
    const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const data = this.pending.byteLength === 0 ? added : Buffer.concat([this.pending, added]);
    const events: StreamEvent[] = [];
    let start = 0;
    let { lineStart } = this;
    for (let index = data.indexOf(LINE_FEED, lineStart); index >= 0;) {
      if (isBlankLine(data, lineStart, index)) {
        events.push(toEvent(data.subarray(start, index + 1)));
        start = index + 1;
      }
      lineStart = index + 1;
      index = data.indexOf(LINE_FEED, lineStart);
    }
    this.lineStart = lineStart - start;
    this.pending = start === data.byteLength ? EMPTY : Buffer.from(data.subarray(start));
    return events;
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
