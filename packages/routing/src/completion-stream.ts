/** How far a stream of completions has come: whole events, the mark that ends them, and nothing behind it. */

/** Data of the event that ends a whole stream. */
const DONE_EVENT = 'data: [DONE]';
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY_BUFFER = Buffer.alloc(0);

/** One stream, from an engine's bytes to what its caller may have of them. */
export class CompletionStream {
  private incompleteEvent: Buffer = EMPTY_BUFFER;
  private hasEnded = false;

  /** Whether the mark of the end has been passed on. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /** Adds bytes; returns the events that are complete now, up to the mark of the end, or undefined. */
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

/** Whether a stream of whole events holds the mark of the end. */
export function hasEndMark(stream: Uint8Array): boolean {
  return endOfDoneEvent(Buffer.from(stream.buffer, stream.byteOffset, stream.byteLength)) !== undefined;
}

/** Index behind the blank line after the mark, which is a line of its own; undefined while there is none. */
function endOfDoneEvent(data: Buffer): number | undefined {
  for (let from = data.indexOf(DONE_EVENT); from >= 0; from = data.indexOf(DONE_EVENT, from + 1)) {
    if (from > 0 && data[from - 1] !== LINE_FEED) continue;
    const end = endOfTwoLineBreaks(data, from + DONE_EVENT.length);
    if (end !== undefined) return end;
  }
  return undefined;
}

/** Index behind two ends of lines that begin at an index. */
function endOfTwoLineBreaks(data: Buffer, start: number): number | undefined {
  const second = endOfLineBreak(data, start);
  return second === undefined ? undefined : endOfLineBreak(data, second);
}

/** Index behind an end of line that begins at an index. */
function endOfLineBreak(data: Buffer, start: number): number | undefined {
  const index = data[start] === CARRIAGE_RETURN ? start + 1 : start;
  return data[index] === LINE_FEED ? index + 1 : undefined;
}

/** Index behind the last blank line, or 0. */
function endOfLastEvent(data: Buffer): number {
  for (let index = data.lastIndexOf(LINE_FEED); index > 0; index = data.lastIndexOf(LINE_FEED, index - 1)) {
    const previous = data[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (data[previous] === LINE_FEED) return index + 1;
  }
  return 0;
}
