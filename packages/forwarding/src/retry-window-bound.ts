/**
 * Bounds the retries of one daemon for one service in every window, so that the retries of all daemons stay within the ratio for any traffic
 * and any order in which processes end and start.
 *
 * For each start s of a window W, retries that arrive in [s, s + W] are at most the ratio times the mean of the daemon's own requests in
 * [s, s + W] and in [s - W/2, s + W/2]. All daemons use the same mean, so their bounds add up to the mean of the deployment's requests in
 * these two spans, which is never above the larger one. A process that ends takes its unused part along; its successor begins with nothing.
 */

/** Requests of the two spans that each count half. */
const SPANS = 2;
/** Resolution of window starts. */
const BUCKETS_PER_HALF_WINDOW = 50;
const BUCKETS_PER_WINDOW = 2 * BUCKETS_PER_HALF_WINDOW;
/** Requests count from half a window before the oldest window that is still open. */
const BUCKETS = BUCKETS_PER_WINDOW + BUCKETS_PER_HALF_WINDOW + 2;
/** Retries that the requests of a window must earn for a daemon to keep them. With fewer, spans hardly ever earn a whole one. */
const MIN_EARNED_PER_WINDOW = 8;
/** Shortest time for which the rate of requests is estimated, as a share of the window. */
const MIN_RATE_SHARE = 0.1;

/** Requests that a daemon counted within one bucket. */
export interface RequestCount {
  /** Milliseconds since the start of the bucket. */
  readonly agoMs: number;
  /** Requests that may have been sent from this bucket on. */
  readonly sent: number;
  /** Requests that were read in it. */
  readonly read: number;
}

/** Times of a retry, as elapsed times in milliseconds. */
export interface RetryTimes {
  /** Time from which it counts. */
  readonly countsFrom: number;
  /** Latest time at which it may reach a back end; Infinity while this is unknown. */
  mayArriveUntil: number;
}

/** Requests and retries of one service. All times are elapsed times in milliseconds. */
export class RetryWindowBound {
  private readonly bucketMs: number;
  /** Requests by the bucket of the earliest time at which they may have been sent, as a ring. */
  private readonly sent = new Float64Array(BUCKETS);
  /** Requests by the bucket in which they were read, as a ring. */
  private readonly read = new Float64Array(BUCKETS);
  private newestBucket = -BUCKETS;
  /** Time of the first request that counts here. */
  private countedSince = Infinity;
  private retries: RetryTimes[] = [];

  /** @param transitMs Maximum time from the check of a retry until it reaches its back end if its process ends meanwhile, in milliseconds. */
  constructor(
    private readonly ratio: number,
    private readonly windowMs: number,
    private readonly transitMs: number,
  ) {
    this.bucketMs = windowMs / BUCKETS_PER_WINDOW;
  }

  /** Counts a request that was sent at `sentFrom` or later, and has been read now. */
  addRequest(sentFrom: number, now: number): void {
    this.advanceTo(now);
    this.countedSince = Math.min(this.countedSince, now);
    this.addTo(this.read, this.newestBucket, 1);
    this.addTo(this.sent, Math.floor(sentFrom / this.bucketMs), 1);
  }

  /** Counts requests of another daemon, whose spans began at `agoMs` before `from` or later. */
  addRequests(counts: readonly RequestCount[], from: number, now: number): void {
    this.advanceTo(now);
    for (const { agoMs, sent, read } of counts) {
      const spanEnd = Math.min(now, now - agoMs + this.bucketMs);
      this.addTo(this.sent, Math.floor((from - agoMs) / this.bucketMs), sent);
      this.addTo(this.read, Math.floor(spanEnd / this.bucketMs), read);
    }
  }

  /** Removes and returns all requests if they are few, unless retries that still count were earned with them. */
  takeRequests(now: number): readonly RequestCount[] {
    this.advanceTo(now);
    this.dropOldRetries(now);
    if (this.earnedPerWindow(now) >= MIN_EARNED_PER_WINDOW) return [];
    if (this.retries.some(({ countsFrom }) => countsFrom <= now)) return [];
    this.countedSince = Infinity;
    const counts: RequestCount[] = [];
    for (let bucket = this.newestBucket - BUCKETS + 1; bucket <= this.newestBucket; bucket += 1) {
      const slot = slotOf(bucket);
      const [sent = 0, read = 0] = [this.sent[slot], this.read[slot]];
      if (sent + read > 0) counts.push({ agoMs: now - bucket * this.bucketMs, sent, read });
    }
    this.sent.fill(0);
    this.read.fill(0);
    return counts;
  }

  /** Retries that the requests earn in a window at the rate at which they have come. */
  private earnedPerWindow(now: number): number {
    const spanMs = Math.min(now - this.countedSince, BUCKETS * this.bucketMs);
    const total = this.read.reduce((sum, count) => sum + count, 0);
    return (this.ratio * total) / Math.max(MIN_RATE_SHARE, spanMs / this.windowMs);
  }

  addRetry(retry: RetryTimes): void {
    this.retries.push(retry);
  }

  removeRetry(retry: RetryTimes): void {
    this.retries = this.retries.filter((each) => each !== retry);
  }

  /** Returns how many further retries every window allows; negative if those that wait to be sent are no longer allowed. */
  allowance(now: number): number {
    this.advanceTo(now);
    this.dropOldRetries(now);
    const oldest = this.newestBucket - BUCKETS_PER_WINDOW;
    // A retry that is checked now may arrive in windows that start later.
    const latest = Math.floor((now + this.transitMs) / this.bucketMs);
    const arrivingFrom = this.arrivingFrom(oldest, latest, now);
    const sentFrom = this.sumsFrom(this.sent);
    const readFrom = this.sumsFrom(this.read);
    let allowance = Infinity;
    for (let bucket = oldest; bucket <= latest; bucket += 1) {
      // Windows may start anywhere in the bucket, so that requests count only from the next one on.
      const inWindow = sentFrom(bucket + 1);
      const earlier = bucket - BUCKETS_PER_HALF_WINDOW;
      const inEarlierSpan = Math.max(0, sentFrom(earlier + 1) - readFrom(earlier + BUCKETS_PER_WINDOW));
      const retries = arrivingFrom[bucket - oldest] ?? 0;
      allowance = Math.min(allowance, (this.ratio * (inWindow + inEarlierSpan)) / SPANS - retries);
    }
    return allowance;
  }

  /** Number of retries that may arrive in a window which starts in each bucket, from `oldest` to `latest`. */
  private arrivingFrom(oldest: number, latest: number, now: number): Float64Array {
    const counts = new Float64Array(latest - oldest + 1);
    for (const { countsFrom, mayArriveUntil } of this.retries) {
      if (countsFrom > now) continue;
      const bucket = Math.floor(Math.min(mayArriveUntil / this.bucketMs, latest));
      if (bucket >= oldest) counts[bucket - oldest] = (counts[bucket - oldest] ?? 0) + 1;
    }
    for (let index = counts.length - 2; index >= 0; index -= 1)
      counts[index] = (counts[index] ?? 0) + (counts[index + 1] ?? 0);
    return counts;
  }

  /** Returns the number of requests from a bucket on, as a function of the bucket. */
  private sumsFrom(ring: Float64Array): (bucket: number) => number {
    const sums = new Float64Array(BUCKETS + 1);
    const first = this.newestBucket - BUCKETS + 1;
    for (let index = BUCKETS - 1; index >= 0; index -= 1)
      sums[index] = (sums[index + 1] ?? 0) + (ring[slotOf(first + index)] ?? 0);
    return (bucket) => sums[Math.max(0, bucket - first)] ?? 0;
  }

  private dropOldRetries(now: number): void {
    this.retries = this.retries.filter(({ mayArriveUntil }) => mayArriveUntil >= now - this.windowMs);
  }

  /** Adds to a bucket that is not older than the ring. */
  private addTo(ring: Float64Array, bucket: number, count: number): void {
    if (bucket <= this.newestBucket - BUCKETS) return;
    const slot = slotOf(bucket);
    ring[slot] = (ring[slot] ?? 0) + count;
  }

  private advanceTo(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const from = Math.max(this.newestBucket + 1, bucket - BUCKETS + 1);
    for (let each = from; each <= bucket; each += 1) this.sent[slotOf(each)] = this.read[slotOf(each)] = 0;
    this.newestBucket = Math.max(this.newestBucket, bucket);
  }
}

function slotOf(bucket: number): number {
  return ((bucket % BUCKETS) + BUCKETS) % BUCKETS;
}
