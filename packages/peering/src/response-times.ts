/**
 * Estimates how long a peer takes to answer, as TCP estimates round trips (RFC 6298): a smoothed mean and a mean deviation.
 * Answers that arrive after their call was given up count as well, so that the estimate follows a peer that becomes slow.
 */

/** Weight of a new sample in the mean and in the deviation. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations above the mean within which an answer is expected. */
const EXPECTED_DEVIATIONS = 4;

/** Response times of one peer, in milliseconds. */
export class ResponseTimes {
  private meanMs = 0;
  private deviationMs = 0;
  private hasSample = false;

  /** Records the time from a call to its answer. */
  record(tookMs: number): void {
    if (!this.hasSample) {
      this.hasSample = true;
      this.meanMs = tookMs;
      this.deviationMs = tookMs / 2;
      return;
    }
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - this.meanMs) - this.deviationMs);
    this.meanMs += MEAN_WEIGHT * (tookMs - this.meanMs);
  }

  /** Time within which an answer is expected; 0 before the first answer. */
  get expectedWithinMs(): number {
    return this.meanMs + EXPECTED_DEVIATIONS * this.deviationMs;
  }
}
