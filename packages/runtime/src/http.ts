/** HTTP client and handler interfaces, implemented over sockets and in simulation. */

/** Header values by lower-case name. */
export type HttpHeaders = Readonly<Record<string, string>>;

/** A request with its complete body. */
export interface HttpRequest {
  readonly method: string;
  /** Path with query, starting with a slash. */
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Aborts when the client disconnects or cancels the request. */
  readonly signal: AbortSignal;
}

/** A response whose body is either complete or a stream of chunks. A stream that was truncated throws. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array | AsyncIterable<Uint8Array>;
}

/** Handles a request and returns its response. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/** An outgoing request; see {@link HttpClient.send}. */
export interface HttpCall {
  readonly method: string;
  /** Scheme and authority, for example `http://127.0.0.1:8080`. */
  readonly origin: string;
  readonly path: string;
  readonly headers?: HttpHeaders;
  readonly body?: Uint8Array;
  readonly signal?: AbortSignal;
  /** Milliseconds to wait for the response head; no limit when absent. */
  readonly timeoutMs?: number;
  /**
   * Unique id of the call, sent as header `x-call-id`. A server that repeats it in its responses lets the client detect a second
   * response to an earlier call. Each call to a server that does not gets a connection of its own.
   */
  readonly callId?: string;
}

/** Time-out for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;

/** Sends requests. */
export interface HttpClient {
  /**
   * Resolves when the response head has arrived; the body may still be streaming.
   *
   * @throws HttpNotSentError when no byte of the request can have reached the server.
   * @throws UnmatchedAnswerError when the response belongs to another call; the request may have been received.
   * @throws Error for any other failure; the request may have been received.
   */
  send(call: HttpCall): Promise<HttpResponse>;
}

/** The connection could not be opened, so the request was certainly not received. */
export class HttpNotSentError extends Error {
  override readonly name = 'HttpNotSentError';
}

const decoder = new TextDecoder();
const encoder = new TextEncoder();

/** Reads a complete body. @throws Error when it exceeds `maximumBytes` or the stream is truncated. */
export async function readBody(body: HttpResponse['body'], maximumBytes = Infinity): Promise<Uint8Array> {
  if (body instanceof Uint8Array) return body;
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.byteLength;
    if (size > maximumBytes) throw new Error(`body larger than ${String(maximumBytes)} bytes`);
    chunks.push(chunk);
  }
  return chunks.length === 1 ? (chunks[0] as Uint8Array) : Buffer.concat(chunks);
}

/** Reads a complete body as UTF-8 text. @throws as {@link readBody}. */
export async function readText(body: HttpResponse['body'], maximumBytes?: number): Promise<string> {
  return decoder.decode(await readBody(body, maximumBytes));
}

/** Reads a complete body and parses it as JSON. @throws SyntaxError for invalid JSON, otherwise as {@link readBody}. */
export async function readJson(body: HttpResponse['body'], maximumBytes?: number): Promise<unknown> {
  return JSON.parse(await readText(body, maximumBytes)) as unknown;
}

export function encodeText(text: string): Uint8Array {
  return encoder.encode(text);
}

/** Decodes UTF-8; invalid sequences become U+FFFD. */
export function decodeText(bytes: Uint8Array): string {
  return decoder.decode(bytes);
}

/** Creates a response with a JSON body. */
export function jsonResponse(status: number, value: unknown, headers: HttpHeaders = {}): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json', ...headers },
    body: encodeText(JSON.stringify(value)),
  };
}
