/** HTTP client based on undici. */
import { Agent, errors, type Dispatcher } from 'undici';
import { UnmatchedAnswerError } from './answer-matcher.js';
import {
  CONNECT_TIMEOUT_MS,
  HttpNotSentError,
  type HttpCall,
  type HttpClient,
  type HttpHeaders,
  type HttpResponse,
} from './http.js';

/** Options of {@link UndiciHttpClient}. */
export interface UndiciHttpClientOptions {
  /** Maximum number of connections per origin. @default 128 */
  readonly connections?: number;
  /** Time-out for opening a connection, in milliseconds. @default 500 */
  readonly connectTimeoutMs?: number;
}

/** Header with the id of a call, which the server repeats in its response. */
export const CALL_ID_HEADER = 'x-call-id';

const DEFAULT_CONNECTIONS = 128;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends requests over pooled connections. */
export class UndiciHttpClient implements HttpClient {
  private readonly agent: Agent;
  /** Connections that carry one call each. */
  private readonly singleCallAgent: Agent;
  /** Origins that have repeated the id of a call. */
  private readonly namingOrigins = new Set<string>();

  constructor(options: UndiciHttpClientOptions = {}) {
    const agentOptions = {
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      connect: { timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS },
      bodyTimeout: 0,
      headersTimeout: 0,
      pipelining: 1,
    };
    this.agent = new Agent(agentOptions);
    // A value of 0 makes undici close each connection after its response.
    this.singleCallAgent = new Agent({ ...agentOptions, pipelining: 0 });
  }

  async send(call: HttpCall): Promise<HttpResponse> {
    const timeout = new AbortController();
    const timer =
      call.timeoutMs === undefined
        ? undefined
        : setTimeout(() => {
            timeout.abort(new Error(`no response within ${String(call.timeoutMs)} ms`));
          }, call.timeoutMs);
    const forward = (): void => {
      timeout.abort(call.signal?.reason);
    };
    if (call.signal?.aborted) forward();
    call.signal?.addEventListener('abort', forward);
    try {
      const response = await this.dispatcherOf(call).request({
        origin: call.origin,
        path: call.path,
        method: call.method,
        headers: { ...call.headers, ...(call.callId === undefined ? {} : { [CALL_ID_HEADER]: call.callId }) },
        body: call.body ?? null,
        signal: timeout.signal,
      });
      // Aborting destroys the body stream; its error event must be handled even when the body is not being read.
      response.body.on('error', () => undefined);
      return { status: response.statusCode, headers: flatten(response.headers), body: response.body };
    } catch (error) {
      const failure = classify(error);
      if (failure instanceof HttpNotSentError) this.namingOrigins.delete(call.origin);
      throw failure;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Returns what sends a call. Until its server has named a call, each one has a connection of its own. */
  private dispatcherOf(call: HttpCall): Dispatcher {
    if (call.callId === undefined) return this.agent;
    const isOnlyCall = !this.namingOrigins.has(call.origin);
    const agent = isOnlyCall ? this.singleCallAgent : this.agent;
    return agent.compose(
      checkHeads((headers) => {
        this.checkAnswer(call, isOnlyCall, headers[CALL_ID_HEADER]);
      }),
    );
  }

  /**
   * Records whether the server names the calls that it answers.
   *
   * @param isOnlyCall Whether the call has a connection of its own.
   * @throws UnmatchedAnswerError when the response may belong to another call.
   */
  private checkAnswer(
    { origin, callId }: HttpCall,
    isOnlyCall: boolean,
    answeredId: string | string[] | undefined,
  ): void {
    if (answeredId === callId) {
      this.namingOrigins.add(origin);
      return;
    }
    this.namingOrigins.delete(origin);
    if (answeredId !== undefined) throw new UnmatchedAnswerError('other_call');
    if (!isOnlyCall) throw new UnmatchedAnswerError('no_call');
  }

  /** Closes all connections and aborts requests in progress. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.singleCallAgent.destroy()]);
  }
}

/** Checks the final head of each response before anything of it is passed on. A check that throws fails the call and closes its connection. */
function checkHeads(
  check: (headers: Dispatcher.ResponseData['headers']) => void,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
      onResponseStart: (controller, status, headers, statusMessage) => {
        const isInformational = status < 200;
        if (!isInformational) check(headers);
        handler.onResponseStart?.(controller, status, headers, statusMessage);
      },
      onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    });
}

function flatten(headers: Dispatcher.ResponseData['headers']): HttpHeaders {
  const result: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) result[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return result;
}

function classify(error: unknown): Error {
  if (!(error instanceof Error)) return new Error(String(error));
  const code = (error as { code?: unknown }).code;
  const refused = typeof code === 'string' && NOT_SENT_CODES.has(code);
  if (refused || error instanceof errors.ConnectTimeoutError) {
    return new HttpNotSentError(error.message, { cause: error });
  }
  return error;
}
