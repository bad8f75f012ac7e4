/**
 * HTTP for passing requests through: headers as they came, bodies as they arrive. Beside {@link HttpHandler},
 * which sees whole requests with normalised headers.
 */

/** Header names and values in turn, in the order and spelling received. */
export type RawHeaders = readonly string[];

/** Head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** A request that a client has sent and that must be answered once. */
export interface IncomingExchange {
  readonly method: string;
  /** Request target, unchanged. */
  readonly target: string;
  /** Headers by lower-case name; of repeated ones the first, unless the standard joins them. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly rawHeaders: RawHeaders;
  /** Aborts when the client has gone before its answer was complete. */
  readonly signal: AbortSignal;
  /** Collects the body. @throws BodyTooLargeError beyond `maximumBytes`; Error when the client breaks off. */
  readBody(maximumBytes: number): Promise<Uint8Array>;
  /** Sends a whole answer. */
  respond(head: ResponseHead, body: Uint8Array): void;
  /** Begins an answer whose body follows by {@link ResponseStream}. */
  beginStream(head: ResponseHead): ResponseStream;
  /** Ends the connection without a complete answer. */
  abort(): void;
}

/** Body of an answer in progress. */
export interface ResponseStream {
  /** Resolves when the client's side can take more; nothing is to be waited for where it can at once. */
  write(chunk: Uint8Array): Promise<void> | undefined;
  /** Ends the answer as complete. */
  end(): void;
  /** Ends the connection so that the answer cannot be taken for complete. */
  abort(): void;
}

/** Limits of an ingress; may be changed while it runs. */
export interface IngressLimits {
  /** Largest head of a request in bytes. */
  readonly maximumHeaderBytes: number;
  /** Milliseconds a client may take for the head of a request. */
  readonly headerTimeoutMs: number;
  /** Milliseconds a connection may rest between requests. */
  readonly idleTimeoutMs: number;
}

/** Accepts requests on one address. */
export interface Ingress {
  /** Applies new limits to connections and requests from now on. */
  setLimits(limits: IngressLimits): void;
  /** From now on answers ask clients to use another connection. */
  startDraining(): void;
  /** Number of requests that are not yet answered. */
  readonly inProgress: number;
  /** Stops accepting and ends connections that carry no request. */
  closeIdle(): void;
  /** Ends everything. */
  close(): Promise<void>;
}

/** The body is larger than allowed. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/** A request to a back end. */
export interface BackendCall {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** All headers to send but those of the connection; the length is added. */
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Ends the call, and the connection with it. */
  readonly signal: AbortSignal;
  /** Milliseconds to wait for a new connection. */
  readonly connectTimeoutMs: number;
}

/** Answer of a back end; the body is read as it arrives and throws when it breaks off. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly rawHeaders: RawHeaders;
  /** The body has no length of its own: it ends when the back end closes the connection, which a process that ends does as well. */
  readonly endsWithConnection: boolean;
  readonly body: AsyncIterable<Uint8Array>;
  /** Ends the connection; the body then throws if it is not complete. */
  discard(): void;
}

/** Sends requests to back ends over kept connections. */
export interface BackendClient {
  /**
   * Resolves with the head of the answer.
   *
   * @throws HttpNotSentError when no byte of the request can have reached the back end.
   * @throws Error for any other failure: the request may have been received.
   */
  send(call: BackendCall): Promise<BackendAnswer>;
  /** Ends the kept connections to an address. */
  forget(address: string): void;
  /** New connections made so far. */
  readonly connectionsOpened: number;
}
