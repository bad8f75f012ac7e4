/** HTTP client for back ends, based on the HTTP client of Node.js, with a connection pool for each address. */
import { Agent, request as startRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { HttpNotSentError } from './http.js';
import { MessageBody } from './message-body.js';
import type {
  BackendResponse,
  BackendCall,
  BackendClient,
  ConnectionProbe,
  UnmatchedAnswer,
} from './streaming-http.js';
import { parseAddress } from './transport.js';

/** Maximum number of idle connections retained for each address. */
export const MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4;

const EMPTY_BUFFER = Buffer.alloc(0);
/** Responses with these statuses never have a body (RFC 9110). */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Pools idle connections. Destroys a connection that receives data while idle, as that data could be taken for the next response. */
class KeepAliveAgent extends Agent {
  constructor(private readonly onOpened: () => void) {
    super({ keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_ADDRESS, scheduling: 'lifo' });
  }

  override createConnection(...parameters: Parameters<Agent['createConnection']>): Socket {
    this.onOpened();
    const socket = super.createConnection(...parameters) as Socket;
    socket.setNoDelay(true);
    // An abort at the end of a response destroys the socket when the HTTP client has already removed its own listener.
    socket.on('error', ignoreError);
    return socket;
  }

  // The type definitions disagree on the return type of this method.
  override keepSocketAlive(socket: Socket): void {
    const isKeptAlive = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKeptAlive) socket.on('data', destroyOnData);
    return isKeptAlive as unknown as undefined;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

function ignoreError(): void {
  // The HTTP client reports the errors of requests in progress.
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

/** Detects truncation: a body without a length ends with its connection, and is incomplete when the connection was reset. */
class ResponseBody implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array> {
  constructor(
    private readonly body: MessageBody,
    private readonly assertComplete: () => Promise<void>,
  ) {}

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array>> {
    const step = await this.body.next();
    if (step.done === true) await this.assertComplete();
    return step;
  }

  return(): Promise<IteratorResult<Uint8Array>> {
    return this.body.return();
  }
}

class NodeBackendResponse implements BackendResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly rawHeaders: readonly string[];
  readonly endsWithConnection: boolean;
  readonly body: AsyncIterable<Uint8Array>;
  private failed = false;
  private resetCheck: Promise<void> | undefined;

  constructor(
    private readonly request: ClientRequest,
    message: IncomingMessage,
  ) {
    this.status = message.statusCode ?? 0;
    this.headers = message.headers as Readonly<Record<string, string | undefined>>;
    this.rawHeaders = message.rawHeaders;
    this.body = new ResponseBody(new MessageBody(message), () => this.assertComplete());
    request.once('error', () => {
      this.failed = true;
    });
    this.endsWithConnection = request.method !== 'HEAD' && endsWithConnection(message);
    if (this.endsWithConnection) this.detectReset(message.socket);
    // After a response that precedes the end of the request, the connection cannot be reused.
    message.once('end', () => {
      if (!request.writableFinished) request.destroy();
    });
  }

  discard(): void {
    this.request.destroy();
  }

  private async assertComplete(): Promise<void> {
    await this.resetCheck;
    if (this.failed) throw new Error('connection failed before the end of the response');
  }

  /**
   * Node.js reports a reset that arrives together with data as a normal end of the connection. An empty write fails
   * after a reset and succeeds after a normal end.
   */
  private detectReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      this.resetCheck = new Promise((resolve) => {
        socket.write(EMPTY_BUFFER, (error) => {
          if (error !== undefined && error !== null) this.failed = true;
          resolve();
        });
      });
    });
  }
}

function endsWithConnection({ headers, statusCode = 0 }: IncomingMessage): boolean {
  if (statusCode < 200 || BODYLESS_STATUSES.has(statusCode)) return false;
  const isChunked = headers['transfer-encoding']?.toLowerCase().includes('chunked') === true;
  return headers['content-length'] === undefined && !isChunked;
}

/** Whether a call failed because its connection was refused. */
export function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof HttpNotSentError) || !(error.cause instanceof Error)) return false;
  return (error.cause as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** Options of {@link NodeBackendClient}. */
export interface NodeBackendClientOptions {
  /** Returns the id of the call that an answer names; undefined if it names none. @default answers name no calls */
  readonly answeredId?: (headers: BackendResponse['headers']) => string | undefined;
  /** Called for each answer that does not name its call. */
  readonly onUnmatched?: (answer: UnmatchedAnswer) => void;
}

/** Sends requests to back ends over plain HTTP. */
export class NodeBackendClient implements BackendClient, ConnectionProbe {
  private readonly agents = new Map<string, KeepAliveAgent>();
  private openedCount = 0;

  constructor(private readonly options: NodeBackendClientOptions = {}) {}

  get connectionsOpened(): number {
    return this.openedCount;
  }

  send(call: BackendCall): Promise<BackendResponse> {
    return new Promise((resolve, reject) => {
      if (call.signal.aborted) {
        reject(new HttpNotSentError('request aborted before it was sent'));
        return;
      }
      const { host, port } = parseAddress(call.address);
      const request = startRequest({
        host,
        port,
        method: call.method,
        path: call.target,
        headers: headersOf(call) as never,
        setHost: false,
        agent: this.agentOf(call.address),
      });
      let sent = false;
      let connectTimer: NodeJS.Timeout | undefined;
      const abort = (): void => {
        request.destroy(new Error('request aborted'));
      };
      call.signal.addEventListener('abort', abort, { once: true });
      request.once('close', () => {
        clearTimeout(connectTimer);
        call.signal.removeEventListener('abort', abort);
      });
      request.once('socket', (socket: Socket) => {
        if (!socket.connecting) {
          // A connection that has failed by now carries no byte of this request.
          sent = !socket.destroyed;
          return;
        }
        connectTimer = setTimeout(() => {
          request.destroy(new Error('connection timed out'));
        }, call.connectTimeoutMs);
        socket.once('connect', () => {
          sent = true;
          clearTimeout(connectTimer);
        });
      });
      request.once('response', (message: IncomingMessage) => {
        const response = new NodeBackendResponse(request, message);
        this.reportUnmatched(call, response);
        resolve(response);
      });
      request.on('error', (error) => {
        if (sent) reject(error);
        else reject(new HttpNotSentError(error.message, { cause: error }));
      });
      request.end(call.body);
    });
  }

  canConnect(address: string, timeoutMs: number): Promise<boolean> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      const finish = (isConnected: boolean): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(isConnected);
      };
      const timer = setTimeout(() => {
        finish(false);
      }, timeoutMs);
      socket.once('connect', () => {
        finish(true);
      });
      socket.on('error', () => {
        finish(false);
      });
    });
  }

  closeIdleConnections(address: string): void {
    const agent = this.agents.get(address);
    if (agent === undefined) return;
    this.agents.delete(address);
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private reportUnmatched({ backEndId, requestId }: BackendCall, { status, headers }: BackendResponse): void {
    const { answeredId: idIn, onUnmatched } = this.options;
    if (idIn === undefined) return;
    const answeredId = idIn(headers);
    if (answeredId !== requestId) onUnmatched?.({ backEndId, requestId, answeredId, status });
  }

  private agentOf(address: string): KeepAliveAgent {
    let agent = this.agents.get(address);
    if (agent === undefined) {
      agent = new KeepAliveAgent(() => {
        this.openedCount += 1;
      });
      this.agents.set(address, agent);
    }
    return agent;
  }
}

function headersOf(call: BackendCall): string[] {
  const headers = [...call.headers, 'Connection', 'keep-alive'];
  const bodyless = call.body.byteLength === 0 && (call.method === 'GET' || call.method === 'HEAD');
  if (!bodyless) headers.push('Content-Length', String(call.body.byteLength));
  return headers;
}
