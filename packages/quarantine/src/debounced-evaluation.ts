/** When contents are judged again: a while after the last change of marks, so that all daemons in touch have told theirs by then. */
import type { Clock } from '@woodbarrow/runtime';
import { EVIDENCE_SETTLE_MS } from './culprit-search.js';

/** Judges once for all changes that follow each other closely. */
export class DebouncedEvaluation {
  /** Monotonic time of the last change; undefined when all contents have been judged since. */
  private lastChangedAt: number | undefined;
  private readonly waiters: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly evaluate: () => void,
  ) {}

  /** Marks have changed. */
  noteChange(): void {
    const isScheduled = this.lastChangedAt !== undefined;
    this.lastChangedAt = this.clock.monotonic();
    if (!isScheduled) this.scheduleEvaluation(EVIDENCE_SETTLE_MS);
  }

  /** Resolves when the changes so far have been judged: at once where there are none. */
  async whenEvaluated(): Promise<void> {
    if (this.lastChangedAt === undefined) return;
    await new Promise<void>((resolve) => this.waiters.push(resolve));
  }

  private scheduleEvaluation(delayMs: number): void {
    this.clock.schedule(delayMs, () => {
      const remainingMs = (this.lastChangedAt ?? 0) + EVIDENCE_SETTLE_MS - this.clock.monotonic();
      if (remainingMs > 0) this.scheduleEvaluation(remainingMs);
      else this.evaluateNow();
    });
  }

  private evaluateNow(): void {
    this.lastChangedAt = undefined;
    this.evaluate();
    for (const resolve of this.waiters.splice(0)) resolve();
  }
}
