/** Response of a back end whose body is streamed; detects bodies that were cut short. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { MessageBody } from './message-body.js';
import type { BackendResponse } from './streaming-http.js';
import { connectionOf } from './sent-connection.js';

const EMPTY_BUFFER = Buffer.alloc(0);
/** Responses with these statuses never have a body (RFC 9110). */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Response read with the HTTP client of Node.js. */
export class NodeBackendResponse implements BackendResponse {
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
    this.body = new MessageBody(message, () => this.assertComplete());
    request.once('error', () => {
      this.failed = true;
    });
    this.endsWithConnection = request.method !== 'HEAD' && endsWithConnection(message);
    if (this.endsWithConnection) this.detectReset(connectionOf(message.socket));
    // After a response that precedes the end of the request, the connection cannot be reused.
    message.once('end', () => {
      if (!request.writableFinished) request.destroy();
    });
  }

  discard(): void {
    this.request.destroy();
  }

  /** A body without a length ends with its connection, and is incomplete when the connection was reset. */
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

/** Whether only the end of the connection marks the end of the body. */
export function endsWithConnection({ headers, statusCode = 0 }: IncomingMessage): boolean {
  if (statusCode < 200 || BODYLESS_STATUSES.has(statusCode)) return false;
  const isChunked = headers['transfer-encoding']?.toLowerCase().includes('chunked') === true;
  return headers['content-length'] === undefined && !isChunked;
}
