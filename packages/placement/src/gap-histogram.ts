/** Computes how long an idle replica stays loaded, from the gaps between past arrivals and the load time. */

/** Upper bounds of the histogram's buckets, in seconds; one more bucket holds longer gaps. */
const BUCKET_BOUNDS_SECONDS = [
  1, 2, 5, 10, 20, 30, 45, 60, 90, 120, 180, 240, 300, 450, 600, 900, 1800, 3600,
];
/** Factor by which each new observation reduces the weight of the older ones. */
const DECAY_PER_OBSERVATION = 0.98;
/** Number of idle seconds that cost as much as one second of cold start at equal weights. */
const IDLE_SECONDS_PER_COLD_SECOND = 6;
/** Weight of the uniform prior distribution, in observations. */
const PRIOR_OBSERVATIONS = 2;

/** Bounds of the keep-alive time from the model's template. */
export interface KeepAliveBounds {
  readonly minimumSeconds: number;
  readonly maximumSeconds: number;
}

/** Decaying histogram of the gaps between the arrivals of one model. */
export class GapHistogram {
  private readonly counts = new Array<number>(BUCKET_BOUNDS_SECONDS.length + 1).fill(0);
  private total = 0;
  private lastArrival: number | undefined;
  /** Last calculated keep-alive time and its inputs; invalidated by a new gap. */
  private cached: { readonly inputs: string; readonly seconds: number } | undefined;

  /** Records that requests arrived at monotonic time `nowMs`. */
  recordArrival(nowMs: number): void {
    if (this.lastArrival !== undefined) this.recordGap((nowMs - this.lastArrival) / 1000);
    this.lastArrival = nowMs;
  }

  /** Estimated share of gaps longer than `seconds`. */
  shareLongerThan(seconds: number): number {
    // The prior spreads its observations evenly over the buckets.
    const prior = PRIOR_OBSERVATIONS / this.counts.length;
    let longer = 0;
    for (const [index, count] of this.counts.entries()) {
      const bound = BUCKET_BOUNDS_SECONDS[index] ?? Infinity;
      if (bound > seconds) longer += count + prior;
    }
    return longer / (this.total + PRIOR_OBSERVATIONS);
  }

  /**
   * Returns the keep-alive time with the lowest expected cost: the idle seconds until the next arrival or the unload,
   * plus the load time times the probability that the next arrival comes after the unload, each with its weight.
   */
  optimalKeepAliveSeconds(loadSeconds: number, coldStartWeight: number, bounds: KeepAliveBounds): number {
    const inputs = `${String(loadSeconds)}/${String(coldStartWeight)}/${String(bounds.minimumSeconds)}/${String(bounds.maximumSeconds)}`;
    if (this.cached?.inputs === inputs) return this.cached.seconds;
    const seconds = this.calculateKeepAliveSeconds(loadSeconds, coldStartWeight, bounds);
    this.cached = { inputs, seconds };
    return seconds;
  }

  private calculateKeepAliveSeconds(
    loadSeconds: number,
    coldStartWeight: number,
    bounds: KeepAliveBounds,
  ): number {
    const candidates = BUCKET_BOUNDS_SECONDS.filter(
      (seconds) => seconds > bounds.minimumSeconds && seconds < bounds.maximumSeconds,
    );
    let best = bounds.minimumSeconds;
    let bestCost = Infinity;
    for (const seconds of [bounds.minimumSeconds, ...candidates, bounds.maximumSeconds]) {
      const cost = this.expectedCost(seconds, loadSeconds, coldStartWeight);
      if (cost >= bestCost) continue;
      best = seconds;
      bestCost = cost;
    }
    return best;
  }

  private expectedCost(seconds: number, loadSeconds: number, coldStartWeight: number): number {
    const coldShare = this.shareLongerThan(seconds);
    let idle = coldShare * seconds;
    let lower = 0;
    for (const bound of BUCKET_BOUNDS_SECONDS) {
      if (bound > seconds) break;
      const share = this.shareLongerThan(lower) - this.shareLongerThan(bound);
      idle += share * ((lower + bound) / 2);
      lower = bound;
    }
    const coldCost = coldShare * loadSeconds * IDLE_SECONDS_PER_COLD_SECOND;
    return coldStartWeight * coldCost + (1 - coldStartWeight) * idle;
  }

  private recordGap(gapSeconds: number): void {
    this.cached = undefined;
    const matchingBucket = BUCKET_BOUNDS_SECONDS.findIndex((bound) => gapSeconds <= bound);
    const bucket = matchingBucket < 0 ? BUCKET_BOUNDS_SECONDS.length : matchingBucket;
    for (let index = 0; index < this.counts.length; index += 1) {
      this.counts[index] = (this.counts[index] ?? 0) * DECAY_PER_OBSERVATION;
    }
    this.total = this.total * DECAY_PER_OBSERVATION + 1;
    this.counts[bucket] = (this.counts[bucket] ?? 0) + 1;
  }
}
