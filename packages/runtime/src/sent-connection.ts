/**
 * A connection whose request has been sent already, as a stream for the HTTP client of Node.js: it reads on from the connection, and
 * what the client writes is discarded.
 */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

/** Lets the HTTP client read another response from a connection. Ends with the connection, and the connection with it. */
export class SentConnection extends Duplex {
  constructor(readonly socket: Socket) {
    super();
    socket.on('data', (chunk: Buffer) => {
      if (!this.push(chunk)) socket.pause();
    });
    socket.once('end', () => {
      this.push(null);
    });
    socket.once('error', (error) => {
      this.destroy(error);
    });
    socket.once('close', () => {
      if (!this.readableEnded && !socket.readableEnded) this.destroy();
    });
  }

  override _read(): void {
    this.socket.resume();
  }

  override _write(_chunk: unknown, _encoding: BufferEncoding, done: () => void): void {
    done();
  }

  /** Called by the HTTP client when the answer has ended. */
  destroySoon(): void {
    this.destroy();
  }

  override _destroy(error: Error | null, done: (error: Error | null) => void): void {
    this.socket.destroy();
    done(error);
  }
}

/** Returns the connection that a stream of the HTTP client reads from. */
export function connectionOf(stream: Socket): Socket {
  const source: Duplex = stream;
  return source instanceof SentConnection ? source.socket : stream;
}
