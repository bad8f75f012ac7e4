/** What the answers of each back end tell of its health: avoidance and outlier detection by recent results. */
import type { Clock } from '@woodbarrow/runtime';

/** How one request to a back end went. */
export type SendResult = 'good' | 'failed_answer' | 'broken' | 'unreachable' | 'timed_out';

/** Weight of the newest result in the running averages. */
const RESULT_WEIGHT = 0.2;
/** Weight of the newest result in the average of a whole service. */
const SERVICE_RESULT_WEIGHT = 0.05;
/** First pause after a back end could not be reached, and the largest, in milliseconds. */
const INITIAL_BACKOFF_MS = 400;
const MAX_BACKOFF_MS = 4000;
/** Share of failures above that of the service at which a back end is avoided. */
const OUTLIER_FAILURE_MARGIN = 0.3;

interface HealthRecord {
  failureRate: number;
  /** Measured time over expected time. */
  latencyRatio: number;
  /** Monotonic time until which it is avoided. */
  avoidUntil: number;
  backoffMs: number;
}

/** Health of the back ends of one service, as this daemon sees it. */
export class BackendHealth {
  private readonly records = new Map<string, HealthRecord>();
  private serviceLatencyRatio = 1;

  constructor(private readonly clock: Clock) {}

  /**
   * Notes the result of a request.
   *
   * @param ratio Measured time over the time expected for a request of that size; absent when nothing was measured.
   */
  record(backEndId: string, result: SendResult, ratio?: number): void {
    const record = this.recordOf(backEndId);
    const failed = result !== 'good';
    record.failureRate += RESULT_WEIGHT * ((failed ? 1 : 0) - record.failureRate);
    if (ratio !== undefined) {
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

  /** Whether other back ends should be preferred for now. */
  isAvoided(backEndId: string): boolean {
    const record = this.records.get(backEndId);
    return record !== undefined && record.avoidUntil > this.clock.monotonic();
  }

  /** Whether it fails clearly more often than the others given. */
  isOutlier(backEndId: string, peers: readonly string[]): boolean {
    const own = this.records.get(backEndId)?.failureRate ?? 0;
    if (own < OUTLIER_FAILURE_MARGIN) return false;
    const others = peers.filter((peer) => peer !== backEndId);
    if (others.length === 0) return false;
    const mean =
      others.reduce((sum, peer) => sum + (this.records.get(peer)?.failureRate ?? 0), 0) / others.length;
    return own > mean + OUTLIER_FAILURE_MARGIN;
  }

  /** How many times slower than the service's average it is; at least a half. */
  slowness(backEndId: string): number {
    const record = this.records.get(backEndId);
    return record === undefined ? 1 : Math.max(0.5, record.latencyRatio / this.serviceLatencyRatio);
  }

  /** Drops what is known of a back end that is gone. */
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
