/** Delays the evaluation of contents after a change of marks until connected daemons have reported theirs. */
import type { Clock } from '@woodbarrow/runtime';
import { EVIDENCE_SETTLE_MS } from './culprit-search.js';

/** Runs one evaluation for changes in quick succession. */
export class DebouncedEvaluation {
  /** Monotonic time of the last change; undefined if all changes have been evaluated. */
  private lastChangedAt: number | undefined;
  private readonly waiters: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly evaluate: () => void,
  ) {}

  /** Schedules an evaluation after a change of marks, or postpones a scheduled one. */
  noteChange(): void {
    const isScheduled = this.lastChangedAt !== undefined;
    this.lastChangedAt = this.clock.monotonic();
    if (!isScheduled) this.scheduleEvaluation(EVIDENCE_SETTLE_MS);
  }

  /** Resolves when all changes so far have been evaluated; at once if there are none. */
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
