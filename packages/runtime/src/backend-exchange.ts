/** One call to a back end over one connection, up to the head of its answer. */
import { request as startRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { UnmatchedAnswerError, type AnswerMatcher, type UnmatchedAnswer } from './answer-matcher.js';
import { HttpNotSentError } from './http.js';
import { removeFromPool } from './keep-alive-agent.js';
import { endsWithConnection, NodeBackendResponse } from './node-backend-response.js';
import { connectionOf, SentConnection } from './sent-connection.js';
import type { BackendCall, BackendResponse } from './streaming-http.js';
import { parseAddress } from './transport.js';

/** Maximum size of the body of an answer that is skipped, in bytes; beyond it the connection is closed. */
const MAX_SKIPPED_BYTES = 64 * 1024;

/** Maximum number of interim (1xx) responses before the final one. */
const MAX_INTERIM_RESPONSES = 32;

/** The back end sent interim responses without a final one; it may have received the request. */
export class TooManyInterimResponsesError extends Error {
  constructor() {
    super(`more than ${String(MAX_INTERIM_RESPONSES)} interim responses`);
  }
}

/** Options of {@link BackendExchange}. */
export interface BackendExchangeOptions {
  readonly agent: Agent;
  /** @default every answer is taken for that to the call in progress */
  readonly matcher?: AnswerMatcher | undefined;
  /** Called for each answer that does not name the call. */
  readonly onUnmatched?: ((answer: UnmatchedAnswer) => void) | undefined;
}

/** An exchange in progress. */
export class BackendExchange {
  /** Whether a byte of the request may have been sent. */
  private isSent = false;
  /** Answer to the call before that is being read to its end, and its connection. */
  private skipped: { readonly message: IncomingMessage; readonly socket: Socket } | undefined;
  private hasSkipped = false;
  private connectTimer: NodeJS.Timeout | undefined;
  /** The request whose answer is awaited. */
  private current: ClientRequest | undefined;
  private resolve: (response: BackendResponse) => void = () => undefined;
  private reject: (error: Error) => void = () => undefined;
  private readonly abort = (): void => {
    this.current?.destroy(new Error('request aborted'));
  };

  constructor(
    private readonly call: BackendCall,
    private readonly options: BackendExchangeOptions,
  ) {}

  /** Sends the request. See {@link BackendClient.send}. */
  start(): Promise<BackendResponse> {
    const { call } = this;
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
      if (call.signal.aborted) {
        reject(new HttpNotSentError('request aborted before it was sent'));
        return;
      }
      call.signal.addEventListener('abort', this.abort, { once: true });
      const request = startRequest({
        ...parseAddress(call.address),
        method: call.method,
        path: call.target,
        headers: headersOf(call) as never,
        setHost: false,
        agent: this.options.agent,
      });
      request.once('socket', (socket: Socket) => {
        this.observeConnection(request, socket);
      });
      this.awaitAnswer(request);
      request.end(call.body);
    });
  }

  private observeConnection(request: ClientRequest, socket: Socket): void {
    if (!socket.connecting) {
      // A connection that has failed by now carries no byte of this request.
      this.isSent = !socket.destroyed;
      return;
    }
    this.connectTimer = setTimeout(() => {
      request.destroy(new Error('connection timed out'));
    }, this.call.connectTimeoutMs);
    socket.once('connect', () => {
      this.isSent = true;
      clearTimeout(this.connectTimer);
    });
  }

  private awaitAnswer(request: ClientRequest): void {
    this.current = request;
    let interimCount = 0;
    request.on('information', () => {
      interimCount += 1;
      if (interimCount > MAX_INTERIM_RESPONSES) request.destroy(new TooManyInterimResponsesError());
    });
    request.once('response', (message: IncomingMessage) => {
      this.onAnswer(request, message);
    });
    request.on('error', (error) => {
      if (this.isSent) this.reject(error);
      else this.reject(new HttpNotSentError(error.message, { cause: error }));
    });
    request.once('close', () => {
      if (this.skipped === undefined || !this.readOn(this.skipped)) this.end();
    });
  }

  private onAnswer(request: ClientRequest, message: IncomingMessage): void {
    const { matcher } = this.options;
    if (matcher === undefined) {
      this.resolve(new NodeBackendResponse(request, message));
      return;
    }
    const { call } = this;
    const connection = connectionOf(message.socket);
    const match = matcher.match(call, connection, message);
    const isSkipped = match === 'repeated' && !this.hasSkipped && !endsWithConnection(message);
    if (match !== 'named' && match !== 'distinct') this.report(matcher, match, isSkipped, message);
    if (isSkipped) this.skip(request, message);
    else if (match === 'named' || match === 'distinct' || match === 'sole') {
      matcher.noteAnswered(call, connection, message);
      // Nothing would tell a second answer on this connection from the answer to the next call.
      if (match === 'sole') request.shouldKeepAlive = false;
      this.resolve(new NodeBackendResponse(request, message));
    } else {
      request.destroy();
      this.reject(new UnmatchedAnswerError(match));
    }
  }

  private report(
    matcher: AnswerMatcher,
    match: UnmatchedAnswer['match'],
    isSkipped: boolean,
    message: IncomingMessage,
  ): void {
    const { backEndId, requestId } = this.call;
    const answeredId = matcher.answeredId(message.headers as BackendResponse['headers']);
    const status = message.statusCode ?? 0;
    this.options.onUnmatched?.({ match, isSkipped, backEndId, requestId, answeredId, status });
  }

  /** Reads a second answer to the call before to its end, and then awaits the answer to this call on the same connection. */
  private skip(request: ClientRequest, message: IncomingMessage): void {
    this.hasSkipped = true;
    this.skipped = { message, socket: message.socket };
    // The pool must not hand out a connection on which an answer is still to come.
    removeFromPool(message.socket);
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size > MAX_SKIPPED_BYTES) request.destroy(new UnmatchedAnswerError('repeated'));
    });
    message.on('error', (error) => {
      this.reject(error);
    });
  }

  /** Awaits the next answer once the skipped one has been read. Returns whether the connection allows it. */
  private readOn({ message, socket }: { message: IncomingMessage; socket: Socket }): boolean {
    this.skipped = undefined;
    if (!message.complete || socket.destroyed || this.call.signal.aborted) {
      socket.destroy();
      this.reject(new Error('connection failed after an answer to another call'));
      return false;
    }
    const { method, target } = this.call;
    const next = startRequest({
      method,
      path: target,
      setHost: false,
      createConnection: () => new SentConnection(socket),
    });
    this.awaitAnswer(next);
    next.end();
    return true;
  }

  private end(): void {
    clearTimeout(this.connectTimer);
    this.call.signal.removeEventListener('abort', this.abort);
  }
}

function headersOf(call: BackendCall): string[] {
  const headers = [...call.headers, 'Connection', 'keep-alive'];
  const bodyless = call.body.byteLength === 0 && (call.method === 'GET' || call.method === 'HEAD');
  if (!bodyless) headers.push('Content-Length', String(call.body.byteLength));
  return headers;
}
