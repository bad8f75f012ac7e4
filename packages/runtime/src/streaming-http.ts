/**
 * HTTP interfaces of the proxy: headers are forwarded unchanged and bodies are streamed. For complete requests with
 * normalised headers see {@link HttpHandler}.
 */

/** Alternating header names and values, in the order and spelling received. */
export type RawHeaders = readonly string[];

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** A client request, which must be answered or aborted exactly once. */
export interface IncomingExchange {
  readonly method: string;
  /** Request target as received. */
  readonly target: string;
  /** Headers by lower-case name; of repeated headers the first value, unless HTTP allows joining them. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly rawHeaders: RawHeaders;
  /** Aborts when the client disconnects before its response is complete. */
  readonly signal: AbortSignal;
  /** Reads the complete body. @throws BodyTooLargeError above `maximumBytes`; Error when the client disconnects. */
  readBody(maximumBytes: number): Promise<Uint8Array>;
  /** Sends a complete response. */
  respond(head: ResponseHead, body: Uint8Array): void;
  /** Begins a response whose body is written to the returned {@link ResponseStream}. */
  beginStream(head: ResponseHead): ResponseStream;
  /** Closes the connection without a complete response; what the client has not received of a response is discarded. */
  abort(): void;
  /** IP address of the client; absent if unknown. */
  readonly clientAddress?: string | undefined;
  /** Returns the bytes of the response that wait in memory for the client to read; 0 after the connection has closed. */
  unreadBytes?(): number;
}

/** Body of a response in progress. */
export interface ResponseStream {
  /** Writes a chunk. Returns a promise that resolves when more can be written, or undefined when that is already possible. */
  write(chunk: Uint8Array): Promise<void> | undefined;
  /** Completes the response. */
  end(): void;
  /** Closes the connection in a way that marks the response as incomplete. */
  abort(): void;
}

/** Limits of an ingress; can be changed at run time. */
export interface IngressLimits {
  /** Maximum size of a request head in bytes. */
  readonly maximumHeaderBytes: number;
  /** Milliseconds within which a client must send the head of a request. */
  readonly headerTimeoutMs: number;
  /** Milliseconds for which a connection may be idle between requests. */
  readonly idleTimeoutMs: number;
}

/** Server that accepts requests on one address. */
export interface Ingress {
  /** Applies new limits to subsequent connections and requests. */
  setLimits(limits: IngressLimits): void;
  /** Adds `Connection: close` to subsequent responses, so that clients open new connections. */
  startDraining(): void;
  /** Number of requests whose response is not yet complete. */
  readonly inProgress: number;
  /** Stops accepting connections and closes idle ones. */
  closeIdle(): void;
  /** Closes the server and all its connections. */
  close(): Promise<void>;
}

/** The request body exceeds the size limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/** A request to a back end. */
export interface BackendCall {
  /** Back end that is called; absent for calls to other systems. */
  readonly backEndId?: string;
  /** Id that the headers carry and the answer names; absent or empty if the call has none. */
  readonly requestId?: string;
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Headers to send, without connection headers and content length, which are added. */
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Aborts the call and closes its connection. */
  readonly signal: AbortSignal;
  /** Time-out for opening a new connection, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** Response of a back end; the body is streamed and throws when it is truncated. */
export interface BackendResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly rawHeaders: RawHeaders;
  /** Whether the end of the body is marked only by the end of the connection, which a crash of the back end causes as well. */
  readonly endsWithConnection: boolean;
  readonly body: AsyncIterable<Uint8Array>;
  /** Closes the connection; reading an incomplete body then throws. */
  discard(): void;
}

/** Sends requests to back ends over pooled connections. */
export interface BackendClient {
  /**
   * Resolves when the response head has arrived; the body may still be streaming.
   *
   * @throws HttpNotSentError when no byte of the request can have reached the back end.
   * @throws UnmatchedAnswerError when the answer may belong to another call; the request may have been received.
   * @throws Error for any other failure; the request may have been received.
   */
  send(call: BackendCall): Promise<BackendResponse>;
  /** Closes the idle connections to an address and discards its pool. */
  closeIdleConnections(address: string): void;
  /** Number of connections opened since the start. */
  readonly connectionsOpened: number;
}

/** Opens connections only to find out whether that is possible. */
export interface ConnectionProbe {
  /** Whether a new connection to an address opens within `timeoutMs` milliseconds; it is closed at once. Never rejects. */
  canConnect(address: string, timeoutMs: number): Promise<boolean>;
}
