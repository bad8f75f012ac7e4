/** Serves an {@link HttpHandler} over HTTP or HTTPS with express. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import express from 'express';
import type { HttpHandler, HttpHeaders, HttpResponse } from './http.js';
import { refreshTls, type TlsSource } from './tls-refresh.js';
import { parseAddress, type Address } from './transport.js';

/** Options of {@link serveHttp}. */
export interface ServeHttpOptions {
  /** Address to listen on; port 0 selects a free port. */
  readonly address: Address;
  readonly handler: HttpHandler;
  /** Maximum size of a request body in bytes; a larger one is answered with `onTooLarge`. @default 1 MiB */
  readonly maximumBodyBytes?: number;
  /** Milliseconds within which a client must send its headers. @default 10000 */
  readonly headersTimeoutMs?: number;
  /** Milliseconds within which a client must send the whole request. @default 30000 */
  readonly requestTimeoutMs?: number;
  /** Certificate and key for HTTPS, reloaded periodically; plain HTTP when absent. */
  readonly tls?: TlsSource;
  /** Returns the response to a request whose body is too large; the connection is closed without a response when absent. */
  readonly onTooLarge?: () => HttpResponse;
}

/** A running HTTP server. */
export interface HttpServer {
  /** Address that the server is bound to. */
  readonly address: Address;
  /** Number of requests in progress. */
  readonly activeRequests: () => number;
  /** Stops accepting connections; requests in progress continue. */
  stopAccepting(): void;
  /** Closes the server and all its connections. */
  close(): Promise<void>;
}

const DEFAULT_MAXIMUM_BODY_BYTES = 1024 * 1024;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const BODILESS_METHODS = new Set(['GET', 'HEAD', 'DELETE']);
const EMPTY_BODY = new Uint8Array(0);

class BodyTooLargeError extends Error {}

/** Starts a server. @throws Error when the address cannot be bound. */
export async function serveHttp(options: ServeHttpOptions): Promise<HttpServer> {
  let active = 0;
  const application = express();
  application.disable('x-powered-by');
  application.disable('etag');
  application.use((request, response) => {
    active += 1;
    response.once('close', () => {
      active -= 1;
    });
    void handleRequest(request, response, options);
  });
  const limits = {
    headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
    requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: 1000,
  };
  const tls = options.tls;
  const server: Server =
    tls === undefined
      ? createServer(limits, application)
      : createTlsServer({ ...limits, ...tls() }, application);
  const stopRefreshing = tls === undefined ? undefined : refreshTls(server, tls);
  const { host, port } = parseAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `${host}:${String(bound.port)}`,
    activeRequests: () => active,
    stopAccepting: () => {
      server.close();
      server.closeIdleConnections();
    },
    close: () =>
      new Promise((resolve) => {
        stopRefreshing?.();
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: ServeHttpOptions,
): Promise<void> {
  const disconnected = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) disconnected.abort();
  });
  try {
    const body = await readRequestBody(request, options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES);
    const result = await options.handler({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: requestHeaders(request),
      body,
      signal: disconnected.signal,
    });
    await sendResponse(response, result);
  } catch (error) {
    if (error instanceof BodyTooLargeError && options.onTooLarge !== undefined) {
      response.setHeader('connection', 'close');
      await sendResponse(response, options.onTooLarge());
      return;
    }
    response.destroy();
  }
}

async function sendResponse(response: ServerResponse, result: HttpResponse): Promise<void> {
  const body = result.body;
  if (body instanceof Uint8Array) {
    response.writeHead(result.status, { ...result.headers, 'content-length': body.byteLength });
    response.end(body);
    return;
  }
  response.writeHead(result.status, result.headers);
  response.flushHeaders();
  for await (const chunk of body) {
    if (response.destroyed) return;
    if (!response.write(chunk)) await waitForDrain(response);
  }
  response.end();
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.on('drain', finish);
    response.on('close', finish);
  });
}

function requestHeaders(request: IncomingMessage): HttpHeaders {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}

async function readRequestBody(request: IncomingMessage, maximumBytes: number): Promise<Uint8Array> {
  if (BODILESS_METHODS.has(request.method ?? 'GET')) return EMPTY_BODY;
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) throw new BodyTooLargeError();
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Uint8Array>) {
    size += chunk.byteLength;
    if (size > maximumBytes) throw new BodyTooLargeError();
    chunks.push(chunk);
  }
  return chunks.length === 1 ? (chunks[0] as Uint8Array) : Buffer.concat(chunks);
}
