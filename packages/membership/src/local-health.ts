/** How far a daemon should trust its own observations: a slow daemon blames itself first. */

const MAX_SCORE = 8;

/** Score from 0 (healthy) to 8; time-outs are multiplied by one more than the score. */
export class LocalHealth {
  private score = 0;

  /** Factor for time-outs. */
  get multiplier(): number {
    return this.score + 1;
  }

  /** Something went right: a probe was answered. */
  improve(): void {
    this.score = Math.max(0, this.score - 1);
  }

  /** Something suggests that this daemon is slow: it missed its own schedule, or was suspected. */
  worsen(by = 1): void {
    this.score = Math.min(MAX_SCORE, this.score + by);
  }
}
