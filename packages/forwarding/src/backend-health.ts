/** Tracks the health of back ends from recent results: backoff after failed connections and outlier detection. */
import type { Clock } from '@woodbarrow/runtime';

/** Result of one request to a back end. */
export type SendResult = 'good' | 'failed_answer' | 'broken' | 'stalled' | 'unreachable' | 'timed_out';

/** Weight of the newest result in the moving averages of one back end. */
const RESULT_WEIGHT = 0.2;
/** Weight of the newest result in the moving average of a service. */
const SERVICE_RESULT_WEIGHT = 0.05;
/** Initial and maximum time for which a back end that did not respond is avoided, in milliseconds. */
const INITIAL_BACKOFF_MS = 400;
const MAX_BACKOFF_MS = 4000;
/** Margin by which the failure rate of an outlier exceeds the mean of the other back ends. */
const OUTLIER_FAILURE_MARGIN = 0.3;

interface HealthRecord {
  failureRate: number;
  /** Moving average of measured time over expected time. */
  latencyRatio: number;
  /** Monotonic time until which the back end is avoided. */
  avoidUntil: number;
  backoffMs: number;
}

/** Health of the back ends of one service as observed by this daemon. */
export class BackendHealth {
  private readonly records = new Map<string, HealthRecord>();
  private serviceLatencyRatio = 1;

  constructor(private readonly clock: Clock) {}

  /**
   * Records the result of a request.
   *
   * @param measuredRatio Measured time over the time expected for a request of that size; absent if nothing was measured.
   * @param pacePercent Pace that the worker reported with the answer, in percent of the usual time. The ratio is divided by it:
   * a worker that is slow for a moment and says so is not taken for a failing one, and a steady difference counts through its pace.
   */
  record(backEndId: string, result: SendResult, measuredRatio?: number, pacePercent = 100): void {
    const record = this.recordOf(backEndId);
    const failed = result !== 'good';
    record.failureRate += RESULT_WEIGHT * ((failed ? 1 : 0) - record.failureRate);
    if (measuredRatio !== undefined) {
      const ratio = measuredRatio / (pacePercent / 100);
      record.latencyRatio += RESULT_WEIGHT * (ratio - record.latencyRatio);
      this.serviceLatencyRatio += SERVICE_RESULT_WEIGHT * (ratio - this.serviceLatencyRatio);
    }
    if (result === 'good') {
      record.backoffMs = INITIAL_BACKOFF_MS;
      record.avoidUntil = 0;
    } else if (result === 'unreachable' || result === 'timed_out') {
      record.avoidUntil = this.clock.monotonic() + record.backoffMs;
      record.backoffMs = Math.min(MAX_BACKOFF_MS, record.backoffMs * 2);
    }
  }

  /** Records that an answer is silent. Many answers fall silent at once, so that the backoff does not grow with them. */
  noteSilence(backEndId: string): void {
    const record = this.recordOf(backEndId);
    record.avoidUntil = Math.max(record.avoidUntil, this.clock.monotonic() + INITIAL_BACKOFF_MS);
  }

  /** Whether the back end is in backoff and others should be preferred. */
  isAvoided(backEndId: string): boolean {
    const record = this.records.get(backEndId);
    return record !== undefined && record.avoidUntil > this.clock.monotonic();
  }

  /** Whether the back end fails clearly more often than the given peers. */
  isOutlier(backEndId: string, peers: readonly string[]): boolean {
    const own = this.records.get(backEndId)?.failureRate ?? 0;
    if (own < OUTLIER_FAILURE_MARGIN) return false;
    const others = peers.filter((peer) => peer !== backEndId);
    if (others.length === 0) return false;
    const mean =
      others.reduce((sum, peer) => sum + (this.records.get(peer)?.failureRate ?? 0), 0) / others.length;
    return own > mean + OUTLIER_FAILURE_MARGIN;
  }

  /** Latency relative to the average of the service; at least 0.5, and 1 for an unknown back end. */
  slowness(backEndId: string): number {
    const record = this.records.get(backEndId);
    return record === undefined ? 1 : Math.max(0.5, record.latencyRatio / this.serviceLatencyRatio);
  }

  /** Ends all backoffs: the failures lay with this daemon's network, and requests now take another path. */
  clearBackoffs(): void {
    for (const record of this.records.values()) {
      record.avoidUntil = 0;
      record.backoffMs = INITIAL_BACKOFF_MS;
      record.failureRate = 0;
    }
  }

  /** Removes the record of a back end that no longer exists. */
  forget(backEndId: string): void {
    this.records.delete(backEndId);
  }

  private recordOf(backEndId: string): HealthRecord {
    let record = this.records.get(backEndId);
    if (record === undefined) {
      record = {
        failureRate: 0,
        latencyRatio: this.serviceLatencyRatio,
        avoidUntil: 0,
        backoffMs: INITIAL_BACKOFF_MS,
      };
      this.records.set(backEndId, record);
    }
    return record;
  }
}
