/** Refuses requests without a call while a similar one has just been refused by the allocators. */
import type { QuotaShortage } from '@woodbarrow/forwarding';
import type { Clock, Random } from '@woodbarrow/runtime';
import { PATIENT_WAIT_MS } from './priority-class.js';

/** Bounds of the time without calls after a refusal, in milliseconds. They bound the calls of a daemon. */
const MIN_CLOSED_MS = 20;
const MAX_CLOSED_MS = 500;
/** Minimum retry delay reported to a caller, in milliseconds. With less, all callers would be back at once. */
const MIN_RETRY_MS = 200;
/** Maximum random increase of a retry delay, as a fraction of it. */
const RETRY_SPREAD = 0.5;

/** A request that was or would be refused. */
export interface RefusedRequest {
  readonly priority: number;
  readonly units: number;
  readonly usefulWaitMs: number;
}

/** Refusal by the allocators. Times in milliseconds. */
export interface AllocatorRefusal {
  /** Time until the units would be available to the request. */
  readonly dueMs: number;
  /** Time until units are available after the requests refused before it. */
  readonly retryAfterMs: number;
  readonly shortage: QuotaShortage;
}

interface Lane {
  readonly request: RefusedRequest;
  readonly shortage: QuotaShortage;
  /** Monotonic time until which requests are refused without a call. */
  readonly closedUntil: number;
  /** Monotonic time at which units will be available. */
  readonly retryAt: number;
}

/** Latest refusals of one subject. */
export class RefusalMemory {
  private readonly lanes = new Map<string, Lane>();
  private readonly refusedUnits = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Records a refusal. Returns the retry delay for the caller in milliseconds. */
  record(request: RefusedRequest, { dueMs, retryAfterMs, shortage }: AllocatorRefusal): number {
    const now = this.clock.monotonic();
    // By then the requests that wait have been served as far as this one would still be in time.
    const closedMs = Math.min(MAX_CLOSED_MS, Math.max(MIN_CLOSED_MS, dueMs - request.usefulWaitMs));
    const retryAt = now + retryAfterMs;
    this.lanes.set(laneOf(request), { request, shortage, closedUntil: now + closedMs, retryAt });
    return this.retryDelayMs(retryAt - now);
  }

  /** Returns the refusal of a request that is known not to be served in time; undefined to call the allocators. */
  refuse(request: RefusedRequest): { retryAfterMs: number; shortage: QuotaShortage } | undefined {
    const lane = this.lanes.get(laneOf(request));
    const now = this.clock.monotonic();
    if (lane === undefined || now >= lane.closedUntil) return undefined;
    if (request.units < lane.request.units || request.usefulWaitMs > lane.request.usefulWaitMs)
      return undefined;
    const key = laneOf(request);
    this.refusedUnits.set(key, (this.refusedUnits.get(key) ?? 0) + request.units);
    const shortage = { ...lane.shortage, units: request.units };
    return { retryAfterMs: this.retryDelayMs(lane.retryAt - now), shortage };
  }

  /** Returns the units refused without a call since the last time this was asked. */
  takeRefusedUnits(request: RefusedRequest): number {
    const key = laneOf(request);
    const units = this.refusedUnits.get(key) ?? 0;
    this.refusedUnits.delete(key);
    return units;
  }

  private retryDelayMs(untilUnitsMs: number): number {
    return Math.max(MIN_RETRY_MS, untilUnitsMs) * (1 + this.random.next() * RETRY_SPREAD);
  }
}

/** Requests that share a line at the allocators. */
export function laneOf({ priority, usefulWaitMs }: RefusedRequest): string {
  return `${String(priority)} ${usefulWaitMs > PATIENT_WAIT_MS ? 'patient' : 'soon'}`;
}
