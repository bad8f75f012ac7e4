/** HTTP ingress based on the HTTP server of Node.js. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  BodyTooLargeError,
  type IncomingExchange,
  type Ingress,
  type IngressLimits,
  type RawHeaders,
  type ResponseHead,
  type ResponseStream,
} from './streaming-http.js';
import { BufferedResponseStream } from './buffered-response-stream.js';
import { parseAddress, type Address } from './transport.js';

/** Handles one request; must eventually respond to the exchange or abort it. */
export type ExchangeHandler = (exchange: IncomingExchange) => Promise<void>;

/** Interval between checks of connections for exceeded timeouts, in milliseconds. */
const LIMIT_CHECK_INTERVAL_MS = 500;
/** Upper bound of the configurable head size; Node.js fixes its own limit at start, so the configured limit is checked separately. */
const MAX_HEAD_BYTES = 256 * 1024;
/** Bytes of separators and line ends for each header, and for the request line including the HTTP version. */
const HEADER_LINE_OVERHEAD_BYTES = 4;
const REQUEST_LINE_OVERHEAD_BYTES = 14;
const STATUS_HEADERS_TOO_LARGE = 431;
/** Maximum time a client may block a write before its connection is closed, in milliseconds. */
const WRITE_STALL_TIMEOUT_MS = 15_000;

const CHUNK_END = Buffer.from('\r\n');
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

/** Returns a chunk of the chunked transfer coding (RFC 9112) as one buffer; Node.js would write its parts one by one. */
function toTransferChunk(data: Uint8Array): Buffer {
  const size = Buffer.from(`${data.byteLength.toString(16)}\r\n`, 'latin1');
  return Buffer.concat([size, data, CHUNK_END]);
}

class NodeResponseStream implements ResponseStream {
  private readonly isChunked: boolean;

  constructor(private readonly response: ServerResponse) {
    this.isChunked = response.chunkedEncoding;
    // Chunks are encoded here.
    response.chunkedEncoding = false;
  }

  write(chunk: Uint8Array): Promise<void> | undefined {
    const { response } = this;
    if (response.destroyed || chunk.byteLength === 0) return undefined;
    if (response.write(this.isChunked ? toTransferChunk(chunk) : chunk)) return undefined;
    return new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        response.off('drain', finish);
        response.off('close', finish);
        resolve();
      };
      const timer = setTimeout(() => {
        this.abort();
      }, WRITE_STALL_TIMEOUT_MS);
      response.on('drain', finish);
      response.on('close', finish);
    });
  }

  end(): void {
    if (this.isChunked) this.response.end(LAST_CHUNK);
    else this.response.end();
  }

  /** Without chunked encoding, a normal close would mark the response as complete, so the connection is reset. */
  abort(): void {
    const { response } = this;
    if (!this.isChunked) response.socket?.resetAndDestroy();
    response.destroy();
  }
}

class NodeExchange implements IncomingExchange {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly rawHeaders: RawHeaders;
  readonly signal: AbortSignal;
  readonly clientAddress: string | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {
    this.method = request.method ?? 'GET';
    this.target = request.url ?? '/';
    this.headers = request.headers as Readonly<Record<string, string | undefined>>;
    this.rawHeaders = request.rawHeaders;
    this.clientAddress = request.socket.remoteAddress;
    const controller = new AbortController();
    this.signal = controller.signal;
    response.once('close', () => {
      if (!response.writableFinished) controller.abort();
    });
  }

  readBody(maximumBytes: number): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let size = 0;
      this.request.on('data', (chunk: Buffer) => {
        size += chunk.byteLength;
        if (size > maximumBytes)
          reject(new BodyTooLargeError(`body larger than ${String(maximumBytes)} bytes`));
        else chunks.push(chunk);
      });
      this.request.on('end', () => {
        resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
      });
      this.request.on('error', reject);
      this.request.on('close', () => {
        reject(new Error('the client closed the connection before the end of its request'));
      });
    });
  }

  respond(head: ResponseHead, body: Uint8Array): void {
    if (this.response.headersSent || this.response.destroyed) return;
    // The connection cannot be reused when the request body was not read to its end.
    const isRequestUnread = !this.request.complete;
    const headers = [...head.headers, 'Content-Length', String(body.byteLength)];
    this.writeHead(head.status, headers, isRequestUnread);
    if (isRequestUnread) this.response.once('finish', () => this.request.destroy());
    this.response.end(body);
  }

  beginStream(head: ResponseHead): ResponseStream {
    if (!this.supportsChunkedEncoding && !hasLength(head)) return this.beginBufferedStream(head);
    this.writeHead(head.status, [...head.headers], false);
    this.response.flushHeaders();
    return new NodeResponseStream(this.response);
  }

  abort(): void {
    this.response.destroy();
    this.request.destroy();
  }

  unreadBytes(): number {
    const { response } = this;
    return response.destroyed || response.writableFinished ? 0 : response.writableLength;
  }

  /** Whether the client can receive chunks; HTTP/1.0 clients take the end of the connection for the end of the response. */
  private get supportsChunkedEncoding(): boolean {
    return this.request.httpVersionMajor > 1 || this.request.httpVersionMinor > 0;
  }

  private beginBufferedStream(head: ResponseHead): ResponseStream {
    return new BufferedResponseStream(
      (body) => {
        this.respond(head, body);
      },
      () => {
        this.response.socket?.resetAndDestroy();
        this.response.destroy();
      },
    );
  }

  private writeHead(status: number, headers: string[], closeConnection: boolean): void {
    if (closeConnection || this.isDraining()) headers.push('Connection', 'close');
    this.response.writeHead(status, headers);
  }
}

/** Accepts HTTP requests and passes them to a handler. */
export class NodeIngress implements Ingress {
  private readonly server: Server;
  private readonly activeRequestsBySocket = new Map<Socket, number>();
  private readonly sockets = new Set<Socket>();
  private isDraining = false;
  private activeRequests = 0;
  private maximumHeaderBytes: number;

  private constructor(limits: IngressLimits, handler: ExchangeHandler) {
    this.server = createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: LIMIT_CHECK_INTERVAL_MS,
      requireHostHeader: true,
      noDelay: true,
    });
    this.maximumHeaderBytes = limits.maximumHeaderBytes;
    this.setLimits(limits);
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => {
        this.sockets.delete(socket);
        this.activeRequestsBySocket.delete(socket);
      });
    });
    this.server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.handleRequest(request, response, handler);
    });
  }

  /** Starts listening on `ip:port`. @throws Error when the address cannot be bound. */
  static async listen(
    address: Address,
    limits: IngressLimits,
    handler: ExchangeHandler,
  ): Promise<NodeIngress> {
    const ingress = new NodeIngress(limits, handler);
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      ingress.server.once('error', reject);
      ingress.server.listen({ host, port, backlog: 1024 }, resolve);
    });
    return ingress;
  }

  /** Bound port; differs from the requested port when that was 0. */
  get port(): number {
    const bound = this.server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  get inProgress(): number {
    return this.activeRequests;
  }

  setLimits(limits: IngressLimits): void {
    this.maximumHeaderBytes = limits.maximumHeaderBytes;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  startDraining(): void {
    this.isDraining = true;
  }

  closeIdle(): void {
    this.isDraining = true;
    this.server.close(() => undefined);
    for (const socket of this.sockets) {
      if (!this.activeRequestsBySocket.has(socket)) socket.end();
    }
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      for (const socket of this.sockets) socket.destroy();
    });
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse, handler: ExchangeHandler): void {
    const { socket } = request;
    this.activeRequests += 1;
    this.activeRequestsBySocket.set(socket, (this.activeRequestsBySocket.get(socket) ?? 0) + 1);
    response.once('close', () => {
      this.activeRequests -= 1;
      this.releaseSocket(socket);
    });
    if (headSizeBytes(request) > this.maximumHeaderBytes) {
      response.writeHead(STATUS_HEADERS_TOO_LARGE, { Connection: 'close' }).end();
      return;
    }
    const exchange = new NodeExchange(request, response, () => this.isDraining);
    void handler(exchange);
  }

  private releaseSocket(socket: Socket): void {
    const remaining = (this.activeRequestsBySocket.get(socket) ?? 1) - 1;
    if (remaining > 0) this.activeRequestsBySocket.set(socket, remaining);
    else this.activeRequestsBySocket.delete(socket);
  }
}

function hasLength({ headers }: ResponseHead): boolean {
  return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
}

/** Returns the size of the received request head in bytes. */
function headSizeBytes(request: IncomingMessage): number {
  const requestLineBytes =
    (request.method?.length ?? 0) + (request.url?.length ?? 0) + REQUEST_LINE_OVERHEAD_BYTES;
  const headerCount = request.rawHeaders.length / 2;
  return request.rawHeaders.reduce(
    (sum, text) => sum + text.length,
    requestLineBytes + headerCount * HEADER_LINE_OVERHEAD_BYTES,
  );
}
