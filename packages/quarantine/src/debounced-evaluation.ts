/** Delays the evaluation of contents after a change of marks until connected daemons have reported theirs. */
import type { Clock } from '@woodbarrow/runtime';
import { EVIDENCE_SETTLE_MS } from './culprit-search.js';

/** Runs one evaluation for changes in quick succession. */
export class DebouncedEvaluation {
  /** Monotonic time of the last change; undefined if all changes have been evaluated. */
  private changedAt: number | undefined;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly evaluate: () => void,
  ) {}

  /** Schedules an evaluation after a change of marks, or postpones a scheduled one. */
  noteChange(): void {
    const isScheduled = this.changedAt !== undefined;
    this.changedAt = this.clock.monotonic();
    if (!isScheduled) this.scheduleEvaluation(EVIDENCE_SETTLE_MS);
  }

  /** Resolves when all changes so far have been evaluated; at once if there are none. */
  async whenEvaluated(): Promise<void> {
    if (this.changedAt === undefined) return;
    await new Promise<void>((resolve) => this.waiting.push(resolve));
  }

  private scheduleEvaluation(delayMs: number): void {
    this.clock.schedule(delayMs, () => {
      const leftMs = (this.changedAt ?? 0) + EVIDENCE_SETTLE_MS - this.clock.monotonic();
      if (leftMs > 0) this.scheduleEvaluation(leftMs);
      else this.evaluateNow();
    });
  }

  private evaluateNow(): void {
    this.changedAt = undefined;
    this.evaluate();
    for (const resolve of this.waiting.splice(0)) resolve();
  }
}
