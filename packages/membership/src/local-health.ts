/** Local health score of a daemon: a slow daemon extends its timeouts before it suspects others. */

const MAX_SCORE = 8;

/** Score from 0 (healthy) to 8; timeouts are multiplied by the score plus one. */
export class LocalHealth {
  private score = 0;

  /** Factor for timeouts. */
  get multiplier(): number {
    return this.score + 1;
  }

  /** Improves the score after an answered probe. */
  improve(): void {
    this.score = Math.max(0, this.score - 1);
  }

  /**
   * Worsens the score when this daemon seems slow: it overran its schedule, a probe failed, or it was
   * suspected.
   */
  worsen(by = 1): void {
    this.score = Math.min(MAX_SCORE, this.score + by);
  }
}
