/**
 * A stream for clients that take no chunks: collected, and sent as one answer with its length. Without a length it would end with the connection, and
 * half of it would look whole when the process is killed. The client waits for the last event instead of the first.
 */
import type { ResponseStream } from './streaming-http.js';

/** Bytes kept for one answer at most: a stream of 1,000 events of 1 KB. Clients of HTTP/1.0 are few, and a daemon has 96 MB of heap. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** One answer that is not sent before it is whole. */
export class BufferedResponseStream implements ResponseStream {
  private chunks: Uint8Array[] = [];
  private bufferedBytes = 0;
  private hasEnded = false;

  /**
   * @param respond Sends the whole answer.
   * @param resetConnection Ends the connection without an answer.
   */
  constructor(
    private readonly respond: (body: Uint8Array) => void,
    private readonly resetConnection: () => void,
  ) {}

  write(chunk: Uint8Array): Promise<void> | undefined {
    if (this.hasEnded) return undefined;
    this.bufferedBytes += chunk.byteLength;
    if (this.bufferedBytes > MAX_BUFFERED_RESPONSE_BYTES) this.abort();
    else this.chunks.push(Uint8Array.from(chunk));
    return undefined;
  }

  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.respond(Buffer.concat(this.chunks));
  }

  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.chunks = [];
    this.resetConnection();
  }
}
