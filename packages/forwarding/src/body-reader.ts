/** Reads the body of a back end's answer, limits the time between chunks, and detects incomplete bodies. */
import { settleWithin, type BackendResponse, type Clock } from '@woodbarrow/runtime';

/** Result of one read. */
export type BodyStep =
  | { readonly kind: 'chunk'; readonly chunk: Uint8Array }
  | { readonly kind: 'end' }
  /** The body is incomplete: the connection broke, the process exited, or no data arrived in time. */
  | { readonly kind: 'broken'; readonly hasTimedOut: boolean };

/** Returns whether the process behind an answer still runs, or exited as announced. */
export type ProcessCheck = () => Promise<boolean>;

/** Reader of one body. */
export class BodyReader {
  private readonly iterator: AsyncIterator<Uint8Array>;

  constructor(
    private readonly answer: BackendResponse,
    private readonly clock: Clock,
    private readonly isProcessAlive: ProcessCheck,
  ) {
    this.iterator = answer.body[Symbol.asyncIterator]();
  }

  /** Reads the next chunk. Never rejects. @param timeoutMs Milliseconds to wait; unlimited when absent. */
  async next(timeoutMs?: number): Promise<BodyStep> {
    try {
      const step = await this.readChunk(timeoutMs);
      if (step === undefined) {
        this.answer.discard();
        return { kind: 'broken', hasTimedOut: true };
      }
      if (step.done !== true) return { kind: 'chunk', chunk: step.value };
      return (await this.isComplete()) ? { kind: 'end' } : { kind: 'broken', hasTimedOut: false };
    } catch {
      return { kind: 'broken', hasTimedOut: false };
    }
  }

  /**
   * A body without a length ends when its connection is closed. The connection of a killed process closes in the same way as that
   * of a finished answer, so the process has to be checked.
   */
  private async isComplete(): Promise<boolean> {
    return !this.answer.endsWithConnection || this.isProcessAlive();
  }

  private async readChunk(timeoutMs?: number): Promise<IteratorResult<Uint8Array> | undefined> {
    const pending = this.iterator.next();
    if (timeoutMs === undefined) return pending;
    const settled = await settleWithin(this.clock, timeoutMs, pending);
    return settled.timedOut ? undefined : settled.value;
  }
}
