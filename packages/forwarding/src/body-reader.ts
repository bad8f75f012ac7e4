/** Reads the body of a back end's answer, limits the time between chunks, and detects incomplete bodies. */
import type { BackendResponse, Clock } from '@woodbarrow/runtime';

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

/** Returns the milliseconds without data after which a body is silent; unlimited when undefined. */
export type IdleTimeout = () => number | undefined;

/** Longest time until the idle timeout is read again, in milliseconds: it falls once another back end could go on. */
const MAX_WATCH_MS = 250;
const SILENT: BodyStep = { kind: 'silent' };
const BROKEN: BodyStep = { kind: 'broken' };

/** A read that waits for data. */
interface WaitingRead {
  /** Monotonic time. */
  readonly startedAt: number;
  readonly idleTimeoutMs: IdleTimeout;
  readonly resolveSilent: (step: BodyStep) => void;
}

/** Reader of one body. */
export class BodyReader {
  private readonly iterator: AsyncIterator<Uint8Array>;
  private readonly endsWithConnection: boolean;
  /** The read in progress. */
  private pending: Promise<BodyStep> | undefined;
  private waiting: WaitingRead | undefined;
  private isWatching = false;

  constructor(
    answer: BackendResponse,
    private readonly clock: Clock,
    private readonly isProcessAlive: ProcessCheck,
  ) {
    this.iterator = answer.body[Symbol.asyncIterator]();
    this.endsWithConnection = answer.endsWithConnection;
  }

  /** Reads the next chunk. Never rejects. */
  next(idleTimeoutMs: IdleTimeout): Promise<BodyStep> {
    const pending = this.read();
    return new Promise((resolve) => {
      const waiting = { startedAt: this.clock.monotonic(), idleTimeoutMs, resolveSilent: resolve };
      this.waiting = waiting;
      this.watch();
      void pending.then((step) => {
        // A later read waits for the same data if this one was silent.
        if (this.waiting === waiting) this.waiting = undefined;
        else return;
        this.pending = undefined;
        resolve(step);
      });
    });
  }

  /** Resolves when the next read need not wait: data has arrived, or the body has ended or failed. Never rejects. */
  async whenReady(): Promise<void> {
    await this.read();
  }

  private read(): Promise<BodyStep> {
    this.pending ??= this.iterator.next().then(
      (step) => (step.done === true ? this.endOf() : { kind: 'chunk', chunk: step.value }),
      () => BROKEN,
    );
    return this.pending;
  }

  /**
   * A body without a length ends when its connection is closed. The connection of a killed process closes in the same way as that
   * of a finished answer, so the process has to be checked.
   */
  private async endOf(): Promise<BodyStep> {
    const isComplete = !this.endsWithConnection || (await this.isProcessAlive());
    return isComplete ? { kind: 'end' } : BROKEN;
  }

  /** One timer serves all reads: a timer for each chunk would cost more than reading it. */
  private watch(): void {
    const { waiting } = this;
    if (this.isWatching || waiting === undefined) return;
    const timeoutMs = waiting.idleTimeoutMs();
    if (timeoutMs === undefined) return;
    this.isWatching = true;
    const elapsedMs = this.clock.monotonic() - waiting.startedAt;
    this.clock.schedule(Math.max(0, Math.min(MAX_WATCH_MS, timeoutMs - elapsedMs)), () => {
      this.clock.afterInput(() => {
        this.isWatching = false;
        this.endIfSilent();
      });
    });
  }

  private endIfSilent(): void {
    const { waiting } = this;
    if (waiting === undefined) return;
    const timeoutMs = waiting.idleTimeoutMs();
    if (timeoutMs !== undefined && this.clock.monotonic() - waiting.startedAt >= timeoutMs) {
      this.waiting = undefined;
      waiting.resolveSilent(SILENT);
    } else {
      this.watch();
    }
  }
}
