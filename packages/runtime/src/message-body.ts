/**
 * Async iterator over the body of an HTTP message. Cheaper per chunk than the iterator of Node.js streams, because its
 * listeners are registered once for the whole body.
 */
import type { IncomingMessage } from 'node:http';

/** Body of a message; can be read once, by a single consumer. */
export class MessageBody implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array> {
  private hasEnded = false;
  private failure: Error | undefined;
  private wake: (() => void) | undefined;

  /** @param assertComplete Called at the end; rejects if the body was cut short although the message ended. */
  constructor(
    private readonly message: IncomingMessage,
    private readonly assertComplete: () => Promise<void> = () => Promise.resolve(),
  ) {
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
      if (!this.hasEnded) this.failure ??= new Error('connection closed before the end of the message body');
      notifyReader();
    });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** Resolves with all bytes received since the previous call. @throws Error when the body is truncated. */
  async next(): Promise<IteratorResult<Uint8Array>> {
    for (;;) {
      const chunk = this.message.read() as Uint8Array | null;
      if (chunk !== null) return { done: false, value: chunk };
      if (this.hasEnded) {
        await this.assertComplete();
        return { done: true, value: undefined };
      }
      if (this.failure !== undefined) throw this.failure;
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
      this.wake = undefined;
    }
  }

  /** Destroys the message when the consumer stops reading early. */
  return(): Promise<IteratorResult<Uint8Array>> {
    this.message.destroy();
    return Promise.resolve({ done: true, value: undefined });
  }
}
