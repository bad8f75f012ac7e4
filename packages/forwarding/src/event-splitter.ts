/**
 * Cuts a `text/event-stream` body into whole events, so that a stream that breaks off in the middle of an
 * event can be taken up again without a torn one.
 */

/** Whole events in the order received, as bytes, and the id of the last of them. */
export interface EventBatch {
  readonly bytes: Uint8Array;
  /** Id of the first event in the batch that has one. */
  readonly firstId?: string;
  /** Id of the last event in the batch that has one. */
  readonly lastId?: string;
  readonly count: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING = Buffer.alloc(0);
const ID_LINE = /^id: ?(.*?)\r?$/gm;

/** Splitter of one body. */
export class EventSplitter {
  private rest: Buffer = NOTHING;

  /** Whether bytes of an unfinished event are held. */
  get hasPartialEvent(): boolean {
    return this.partialBytes > 0;
  }

  /** Bytes held of an unfinished event. */
  get partialBytes(): number {
    return this.rest.byteLength;
  }

  /** Adds bytes; returns the events that are complete now, or undefined. */
  push(chunk: Uint8Array): EventBatch | undefined {
    const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const data = this.rest.byteLength === 0 ? added : Buffer.concat([this.rest, added]);
    const end = lastEventEnd(data);
    this.rest = end === data.byteLength ? NOTHING : Buffer.from(data.subarray(end));
    if (end === 0) return undefined;
    return toBatch(data.subarray(0, end));
  }

  /** The bytes of an unfinished event. */
  remainder(): Uint8Array {
    const { rest } = this;
    this.rest = NOTHING;
    return rest;
  }
}

/** Index after the last blank line, or 0. */
function lastEventEnd(data: Buffer): number {
  for (let index = data.byteLength - 1; index > 0; index -= 1) {
    if (data[index] !== LINE_FEED) continue;
    if (data[index - 1] === LINE_FEED) return index + 1;
    if (data[index - 1] === CARRIAGE_RETURN && data[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}

function toBatch(bytes: Buffer): EventBatch {
  const ids = [...bytes.toString('latin1').matchAll(ID_LINE)].map((match) => match[1] ?? '');
  const [firstId] = ids;
  const lastId = ids[ids.length - 1];
  if (firstId === undefined || lastId === undefined) return { bytes, count: 0 };
  return { bytes, firstId, lastId, count: ids.length };
}
