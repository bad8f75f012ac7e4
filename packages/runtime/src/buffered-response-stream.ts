/**
 * Response stream for clients without chunked encoding: buffers the body and sends it with a content length.
 * Without a length, the end of the connection marks the end of the body, so a response truncated by a crash would look complete.
 */
import type { ResponseStream } from './streaming-http.js';

/** Maximum size of one buffered response; a larger one resets the connection. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** Buffers a response and sends it once it is complete. */
export class BufferedResponseStream implements ResponseStream {
  private chunks: Uint8Array[] = [];
  private bufferedBytes = 0;
  private hasEnded = false;

  /**
   * @param respond Sends the complete response.
   * @param resetConnection Resets the connection without sending a response.
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
