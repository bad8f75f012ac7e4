/** Reads the body of a back end's answer, limits the time between chunks, and detects incomplete bodies. */
import { settleWithin, type BackendResponse, type Clock } from '@woodbarrow/runtime';

/** Result of one read. */
export type BodyStep =
  | { readonly kind: 'chunk'; readonly chunk: Uint8Array }
  | { readonly kind: 'end' }
  /** No data arrived in time. The answer is still read: the next read waits for the same data. */
  | { readonly kind: 'silent' }
  /** The body is incomplete: the connection broke or the process exited. */
  | { readonly kind: 'broken' };

/** Returns whether the process behind an answer still runs, or exited as announced. */
export type ProcessCheck = () => Promise<boolean>;

/** Reader of one body. */
export class BodyReader {
  private readonly iterator: AsyncIterator<Uint8Array>;
  private readonly endsWithConnection: boolean;
  /** The read in progress. */
  private pending: Promise<IteratorResult<Uint8Array>> | undefined;

  constructor(
    answer: BackendResponse,
    private readonly clock: Clock,
    private readonly isProcessAlive: ProcessCheck,
  ) {
    this.iterator = answer.body[Symbol.asyncIterator]();
    this.endsWithConnection = answer.endsWithConnection;
  }

  /** Reads the next chunk. Never rejects. @param timeoutMs Milliseconds to wait; unlimited when absent. */
  async next(timeoutMs?: number): Promise<BodyStep> {
    try {
      const step = await this.readChunk(timeoutMs);
      if (step === undefined) return { kind: 'silent' };
      this.pending = undefined;
      if (step.done !== true) return { kind: 'chunk', chunk: step.value };
      return (await this.isComplete()) ? { kind: 'end' } : { kind: 'broken' };
    } catch {
      return { kind: 'broken' };
    }
  }

  /** Resolves when the next read need not wait: data has arrived, or the body has ended or failed. Never rejects. */
  async whenReady(): Promise<void> {
    this.pending ??= this.iterator.next();
    await this.pending.then(ignore, ignore);
  }

  /**
   * A body without a length ends when its connection is closed. The connection of a killed process closes in the same way as that
   * of a finished answer, so the process has to be checked.
   */
  private async isComplete(): Promise<boolean> {
    return !this.endsWithConnection || this.isProcessAlive();
  }

  private async readChunk(timeoutMs?: number): Promise<IteratorResult<Uint8Array> | undefined> {
    this.pending ??= this.iterator.next();
    if (timeoutMs === undefined) return this.pending;
    const settled = await settleWithin(this.clock, timeoutMs, this.pending);
    return settled.timedOut ? undefined : settled.value;
  }
}

function ignore(): void {
  // The next read returns the result.
}
