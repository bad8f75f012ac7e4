/**
 * Body of an HTTP message, piece by piece as it comes. Node.js' own iterator over a stream waits by several promises and listeners for
 * each piece; here one listener each stays for the whole body (figures in docs/BENCHMARKS.md, passing events on).
 */
import type { IncomingMessage } from 'node:http';

/** A body that can be read once. */
export class MessageBody implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array> {
  private hasEnded = false;
  private failure: Error | undefined;
  private wake: (() => void) | undefined;

  constructor(private readonly message: IncomingMessage) {
    const notifyReader = (): void => {
      this.wake?.();
    };
    message.on('readable', notifyReader);
    message.once('end', () => {
      this.hasEnded = true;
      notifyReader();
    });
    message.once('error', (error) => {
      this.failure ??= error;
      notifyReader();
    });
    message.once('close', () => {
      if (!this.hasEnded) this.failure ??= new Error('the message broke off');
      notifyReader();
    });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** All that has come since the last piece. @throws where the body breaks off. */
  async next(): Promise<IteratorResult<Uint8Array>> {
    for (;;) {
      const chunk = this.message.read() as Uint8Array | null;
      if (chunk !== null) return { done: false, value: chunk };
      if (this.hasEnded) return { done: true, value: undefined };
      if (this.failure !== undefined) throw this.failure;
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
      this.wake = undefined;
    }
  }

  /** The reader wants no more. */
  return(): Promise<IteratorResult<Uint8Array>> {
    this.message.destroy();
    return Promise.resolve({ done: true, value: undefined });
  }
}
