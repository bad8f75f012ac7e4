/** HTTP client based on undici. */
import { Agent, errors, type Dispatcher } from 'undici';
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

const DEFAULT_CONNECTIONS = 128;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends requests over pooled connections. */
export class UndiciHttpClient implements HttpClient {
  private readonly agent: Agent;

  constructor(options: UndiciHttpClientOptions = {}) {
    this.agent = new Agent({
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      connect: { timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS },
      bodyTimeout: 0,
      headersTimeout: 0,
      pipelining: 1,
    });
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
      const response = await this.agent.request({
        origin: call.origin,
        path: call.path,
        method: call.method,
        headers: { ...call.headers },
        body: call.body ?? null,
        signal: timeout.signal,
      });
      // Aborting destroys the body stream; its error event must be handled even when the body is not being read.
      response.body.on('error', () => undefined);
      return { status: response.statusCode, headers: flatten(response.headers), body: response.body };
    } catch (error) {
      throw classify(error);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections and aborts requests in progress. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
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
