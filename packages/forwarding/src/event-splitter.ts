/**
 * Cuts a `text/event-stream` body into whole events, so that a stream that breaks off in the middle of an
 * event can be taken up again without a torn one.
 */

/** One block of a stream, with the blank line behind it. */
export interface StreamEvent {
  readonly bytes: Uint8Array;
  /** Absent where the block names none. */
  readonly id?: string;
  /** False for blank lines and blocks of comments alone, which clients pass over. */
  readonly isEvent: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING = Buffer.alloc(0);
const ID_LINE = /^id(?:: ?(.*?))?\r?$/m;
/** A line that is neither blank nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m;

/** Splitter of one body. */
export class EventSplitter {
  private rest: Buffer = NOTHING;

  /** Bytes held of an unfinished event. */
  get partialBytes(): number {
    return this.rest.byteLength;
  }

  /** Adds bytes; returns the blocks that are complete now. */
  push(chunk: Uint8Array): StreamEvent[] {
    const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const data = this.rest.byteLength === 0 ? added : Buffer.concat([this.rest, added]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfBlock(data, start); end > start; end = endOfBlock(data, start)) {
      events.push(toEvent(data.subarray(start, end)));
      start = end;
    }
    this.rest = start === data.byteLength ? NOTHING : Buffer.from(data.subarray(start));
    return events;
  }
}

/** Index after the blank line that ends the block at `start`, or `start` where there is none yet. */
function endOfBlock(data: Buffer, start: number): number {
  let lineStart = start;
  for (let index = data.indexOf(LINE_FEED, start); index >= 0; index = data.indexOf(LINE_FEED, index + 1)) {
    const isBlank = index === lineStart || (index === lineStart + 1 && data[lineStart] === CARRIAGE_RETURN);
    if (isBlank) return index + 1;
    lineStart = index + 1;
  }
  return start;
}

function toEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const isEvent = FIELD_LINE.test(text);
  const id = ID_LINE.exec(text)?.[1];
  return id === undefined ? { bytes, isEvent } : { bytes, id, isEvent };
}
