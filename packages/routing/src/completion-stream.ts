/** Splits a completion stream (server-sent events) into complete events, up to its final `[DONE]` event. */

/** Line of the event that terminates a complete stream. */
const DONE_EVENT = 'data: [DONE]';
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY_BUFFER = Buffer.alloc(0);

/** Buffers the bytes of one engine's stream and releases complete events only. */
export class CompletionStream {
  private incompleteEvent: Buffer = EMPTY_BUFFER;
  private hasEnded = false;

  /** Whether the `[DONE]` event has been released. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /** Adds bytes and returns the events completed by them, up to `[DONE]`; undefined when there are none. */
  push(chunk: Uint8Array): Uint8Array | undefined {
    if (this.hasEnded) return undefined;
    const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const data = this.incompleteEvent.byteLength === 0 ? added : Buffer.concat([this.incompleteEvent, added]);
    const doneEventEnd = endOfDoneEvent(data);
    this.hasEnded = doneEventEnd !== undefined;
    const end = doneEventEnd ?? endOfLastEvent(data);
    this.incompleteEvent = Buffer.from(data.subarray(end));
    return end === 0 ? undefined : data.subarray(0, end);
  }
}

/** Whether a stream of complete events contains the `[DONE]` event. */
export function hasDoneEvent(stream: Uint8Array): boolean {
  return endOfDoneEvent(Buffer.from(stream.buffer, stream.byteOffset, stream.byteLength)) !== undefined;
}

/** Returns the index after the `[DONE]` event and its blank line; undefined when the data has no such event. */
function endOfDoneEvent(data: Buffer): number | undefined {
  for (let from = data.indexOf(DONE_EVENT); from >= 0; from = data.indexOf(DONE_EVENT, from + 1)) {
    if (from > 0 && data[from - 1] !== LINE_FEED) continue;
    const end = endOfTwoLineBreaks(data, from + DONE_EVENT.length);
    if (end !== undefined) return end;
  }
  return undefined;
}

/** Returns the index after two line breaks that begin at `start`; undefined when there are none. */
function endOfTwoLineBreaks(data: Buffer, start: number): number | undefined {
  const second = endOfLineBreak(data, start);
  return second === undefined ? undefined : endOfLineBreak(data, second);
}

/** Returns the index after a line break (LF or CRLF) that begins at `start`; undefined when there is none. */
function endOfLineBreak(data: Buffer, start: number): number | undefined {
  const index = data[start] === CARRIAGE_RETURN ? start + 1 : start;
  return data[index] === LINE_FEED ? index + 1 : undefined;
}

/** Returns the index after the last blank line, or 0 when there is none. */
function endOfLastEvent(data: Buffer): number {
  for (let index = data.lastIndexOf(LINE_FEED); index > 0; index = data.lastIndexOf(LINE_FEED, index - 1)) {
    const previous = data[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (data[previous] === LINE_FEED) return index + 1;
  }
  return 0;
}
