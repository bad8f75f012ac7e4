/** Client that reads its answer only while it is told to. */
import type { ResponseStream, ResponseHead } from '@woodbarrow/runtime';
import { SimulatedExchange } from './simulated-exchange.js';

/** Bytes above which a write has to wait until the client has read. */
const STREAM_BOUND_BYTES = 16 * 1024;

/** Exchange whose client has read nothing since it stopped reading. */
export class SlowClientExchange extends SimulatedExchange {
  readonly clientAddress: string;
  isReading = true;
  /** Number of calls of {@link unreadBytes}. */
  observations = 0;
  private unread: Uint8Array[] = [];
  private isWritten = false;
  private resolveDrained: () => void = () => undefined;

  constructor(headers: Record<string, string>, clientAddress: string) {
    super('/r0/', { host: 'host', ...headers });
    this.clientAddress = clientAddress;
  }

  unreadBytes(): number {
    this.observations += 1;
    return this.ending === 'aborted' ? 0 : this.heldBytes;
  }

  override beginStream(head: ResponseHead): ResponseStream {
    const stream = super.beginStream(head);
    return {
      write: (chunk) => {
        if (this.isReading) {
          void stream.write(chunk);
          return undefined;
        }
        this.unread.push(chunk);
        return this.heldBytes < STREAM_BOUND_BYTES
          ? undefined
          : new Promise((resolve) => {
              this.resolveDrained = resolve;
            });
      },
      end: () => {
        this.isWritten = true;
        if (this.unread.length === 0) stream.end();
      },
      abort: () => {
        this.abort();
      },
    };
  }

  /** Reads all that is unread, and from then on what is written. */
  readOn(): void {
    this.isReading = true;
    this.body += Buffer.concat(this.unread.splice(0)).toString();
    if (this.isWritten && this.ending === 'open') this.ending = 'complete';
    this.resolveDrained();
  }

  private get heldBytes(): number {
    return this.unread.reduce((sum, chunk) => sum + chunk.byteLength, 0);
  }
}
