/** Codec of the internal protocol: each frame is one BSON document. */
import { deserialize, serialize, type Document } from 'bson';

/** Version of the internal protocol; daemons of different versions refuse each other's connections. */
export const PROTOCOL_VERSION = 1;

/** First frame on a connection, from the side that opened it. */
export interface HelloEnvelope {
  readonly type: 'hello';
  readonly version: number;
  /** Name of the deployment; a connection from another deployment is refused. */
  readonly deployment: string;
  /** Where the side that opened the connection listens; absent from daemons of older versions. */
  readonly address?: string | undefined;
}

/** A call to a method of the peer. */
export interface RequestEnvelope {
  readonly type: 'request';
  /** Unique on the connection. */
  readonly id: number;
  readonly method: string;
  readonly body: object;
}

/** The response to a successful call. */
export interface ResponseEnvelope {
  readonly type: 'response';
  readonly id: number;
  readonly body: object;
}

/** The response to a failed call. */
export interface FailureEnvelope {
  readonly type: 'failure';
  readonly id: number;
  /** Error kind, as defined by the errors package. */
  readonly kind: string;
  readonly message: string;
}

/** Any message that a frame can carry. */
export type Envelope = HelloEnvelope | RequestEnvelope | ResponseEnvelope | FailureEnvelope;

const TYPE_CODES = { hello: 0, request: 1, response: 2, failure: 3 } as const;

/** Thrown when a frame is not a valid envelope. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError';
}

/** Encodes an envelope. Field names are short because they are sent with every message. */
export function encodeEnvelope(envelope: Envelope): Uint8Array {
  return serialize(toDocument(envelope), { ignoreUndefined: true });
}

/** Decodes a frame. @throws MalformedFrameError if the frame is not a valid envelope */
export function decodeEnvelope(frame: Uint8Array): Envelope {
  let document: Document;
  try {
    document = deserialize(frame, { promoteBuffers: true, promoteLongs: true });
  } catch (error) {
    throw new MalformedFrameError('frame is not a BSON document', { cause: error });
  }
  return fromDocument(document);
}

function toDocument(envelope: Envelope): Document {
  switch (envelope.type) {
    case 'hello':
      return { t: TYPE_CODES.hello, v: envelope.version, d: envelope.deployment, a: envelope.address };
    case 'request':
      return { t: TYPE_CODES.request, i: envelope.id, m: envelope.method, b: envelope.body };
    case 'response':
      return { t: TYPE_CODES.response, i: envelope.id, b: envelope.body };
    case 'failure':
      return { t: TYPE_CODES.failure, i: envelope.id, k: envelope.kind, e: envelope.message };
  }
}

function fromDocument(document: Document): Envelope {
  const { t, i, b } = document;
  if (t === TYPE_CODES.hello && typeof document['v'] === 'number' && typeof document['d'] === 'string') {
    const address: unknown = document['a'];
    const hello = { type: 'hello', version: document['v'], deployment: document['d'] } as const;
    return typeof address === 'string' ? { ...hello, address } : hello;
  }
  if (typeof i !== 'number') throw new MalformedFrameError('envelope has no numeric id');
  if (t === TYPE_CODES.failure && typeof document['k'] === 'string') {
    return { type: 'failure', id: i, kind: document['k'], message: String(document['e']) };
  }
  if (typeof b !== 'object' || b === null) throw new MalformedFrameError('envelope has no body');
  if (t === TYPE_CODES.request && typeof document['m'] === 'string') {
    return { type: 'request', id: i, method: document['m'], body: b as object };
  }
  if (t === TYPE_CODES.response) return { type: 'response', id: i, body: b as object };
  throw new MalformedFrameError('unknown envelope type or missing fields');
}
