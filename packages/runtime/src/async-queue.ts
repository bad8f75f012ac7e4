/** Unbounded queue between one producer and one consumer. */

/** Delivers pushed values in order to a single `for await` loop. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  private readonly values: T[] = [];
  private waiting: ((result: IteratorResult<T>) => void) | undefined;
  private rejectWaiting: ((error: Error) => void) | undefined;
  private closed = false;
  private failure: Error | undefined;

  /** Number of values not yet read. */
  get length(): number {
    return this.values.length;
  }

  /** Adds a value; ignored after the queue has been closed. */
  push(value: T): void {
    if (this.closed) return;
    if (this.waiting === undefined) {
      this.values.push(value);
      return;
    }
    const resolve = this.waiting;
    this.clearWaiting();
    resolve({ done: false, value });
  }

  /** Ends iteration after the queued values have been read; when `error` is given, the next read then throws it. */
  close(error?: Error): void {
    if (this.closed) return;
    this.closed = true;
    this.failure = error;
    const resolve = this.waiting;
    const reject = this.rejectWaiting;
    this.clearWaiting();
    if (error === undefined) resolve?.({ done: true, value: undefined });
    else reject?.(error);
  }

  /** Resolves with the next value, or with `done` after the queue was closed. @throws the error passed to {@link close}. */
  next(): Promise<IteratorResult<T>> {
    if (this.values.length > 0) return Promise.resolve({ done: false, value: this.values.shift() as T });
    if (this.failure !== undefined) return Promise.reject(this.failure);
    if (this.closed) return Promise.resolve({ done: true, value: undefined });
    return new Promise((resolve, reject) => {
      this.waiting = resolve;
      this.rejectWaiting = reject;
    });
  }

  [Symbol.asyncIterator](): AsyncIterator<T> {
    return {
      next: () => this.next(),
      return: () => {
        this.close();
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }

  private clearWaiting(): void {
    this.waiting = undefined;
    this.rejectWaiting = undefined;
  }
}
