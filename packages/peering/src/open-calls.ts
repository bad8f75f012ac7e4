/**
 * Keeps at most one call open for each subject. A connection delivers what was sent on it, so a call that is repeated before its
 * answer only adds to the work of a peer that is busy.
 */
import { settleWithin, type Clock } from '@woodbarrow/runtime';

interface OpenCall<Answer> {
  readonly answer: Promise<Answer | undefined>;
  /** Whether a caller waits for it now. */
  isAwaited: boolean;
}

/** Open calls of one kind by subject. */
export class OpenCalls<Answer> {
  private readonly open = new Map<string, OpenCall<Answer>>();

  constructor(private readonly clock: Clock) {}

  /** Number of calls whose answer has not arrived. */
  get count(): number {
    return this.open.size;
  }

  /**
   * Makes a call, or waits for the one that is open for the subject. Returns undefined if there is no answer within `waitMs`.
   *
   * @param call Makes the call; resolves with undefined when it has failed. Must end by itself.
   * @param onLate Receives an answer that arrives while no caller waits for it.
   */
  async ask(
    subject: string,
    waitMs: number,
    call: () => Promise<Answer | undefined>,
    onLate: (answer: Answer) => void,
  ): Promise<Answer | undefined> {
    const open = this.open.get(subject) ?? this.begin(subject, call, onLate);
    open.isAwaited = true;
    const settled = await settleWithin(this.clock, waitMs, open.answer);
    if (!settled.timedOut) return settled.value;
    open.isAwaited = false;
    return undefined;
  }

  private begin(
    subject: string,
    call: () => Promise<Answer | undefined>,
    onLate: (answer: Answer) => void,
  ): OpenCall<Answer> {
    const open: OpenCall<Answer> = {
      answer: call().finally(() => {
        this.open.delete(subject);
      }),
      isAwaited: true,
    };
    this.open.set(subject, open);
    void open.answer.then(
      (answer) => {
        if (!open.isAwaited && answer !== undefined) onLate(answer);
      },
      () => undefined,
    );
    return open;
  }
}
