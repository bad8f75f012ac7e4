/** Reads the body of a back end's answer to its true end, with a limit on the time between two chunks. */
import { settleWithin, type BackendAnswer, type Clock } from '@woodbarrow/runtime';

/** Next piece of a body. */
export type BodyStep =
  | { readonly kind: 'chunk'; readonly chunk: Uint8Array }
  | { readonly kind: 'end' }
  /** It broke off, or nothing came in time; it is not complete. */
  | { readonly kind: 'broken'; readonly hasTimedOut: boolean };

/** Tells whether the process behind an answer still runs, or was to end. */
export type ProcessCheck = () => Promise<boolean>;

/** Reader of one body. */
export class BodyReader {
  private readonly iterator: AsyncIterator<Uint8Array>;

  constructor(
    private readonly answer: BackendAnswer,
    private readonly clock: Clock,
    private readonly isProcessAlive: ProcessCheck,
  ) {
    this.iterator = answer.body[Symbol.asyncIterator]();
  }

  /** @param timeoutMs Milliseconds to wait; without end when absent. */
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
   * A body without a length ends when its connection is closed, and the kernel of a process that was killed closes connections in the
   * same way as one that has finished: only the process itself can tell.
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
