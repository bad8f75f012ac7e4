/** When contents are judged again: a while after the last change of marks, so that all daemons in touch have told theirs by then. */
import type { Clock } from '@woodbarrow/runtime';
import { EVIDENCE_SETTLE_MS } from './culprit-search.js';

/** Judges once for all changes that follow each other closely. */
export class SettledJudgement {
  /** Monotonic time of the last change; undefined when all contents have been judged since. */
  private changedAt: number | undefined;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly judge: () => void,
  ) {}

  /** Marks have changed. */
  noteChange(): void {
    const isScheduled = this.changedAt !== undefined;
    this.changedAt = this.clock.monotonic();
    if (!isScheduled) this.judgeIn(EVIDENCE_SETTLE_MS);
  }

  /** Resolves when the changes so far have been judged: at once where there are none. */
  async settled(): Promise<void> {
    if (this.changedAt === undefined) return;
    await new Promise<void>((resolve) => this.waiting.push(resolve));
  }

  private judgeIn(delayMs: number): void {
    this.clock.schedule(delayMs, () => {
      const leftMs = (this.changedAt ?? 0) + EVIDENCE_SETTLE_MS - this.clock.monotonic();
      if (leftMs > 0) this.judgeIn(leftMs);
      else this.judgeNow();
    });
  }

  private judgeNow(): void {
    this.changedAt = undefined;
    this.judge();
    for (const resolve of this.waiting.splice(0)) resolve();
  }
}
