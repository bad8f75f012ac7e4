/** Refuses requests without a call while a similar one has just been refused by the allocators. */
import type { QuotaShortage } from '@woodbarrow/forwarding';
import type { Clock, Random } from '@woodbarrow/runtime';
import { PATIENT_WAIT_MS } from './priority-class.js';

/** Minimum time without calls after a refusal, in milliseconds. It bounds the calls of a daemon. */
const MIN_CLOSED_MS = 20;
/** Maximum time without calls after a refusal, in milliseconds. Waiting requests may be gone by then. */
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
  /** Monotonic time at which units would have been available to the request. */
  readonly dueAt: number;
  /** Monotonic time after which the refusal is forgotten. */
  readonly expiresAt: number;
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
    const retryAt = now + retryAfterMs;
    const dueAt = now + dueMs + MIN_CLOSED_MS;
    this.lanes.set(laneOf(request), { request, shortage, dueAt, expiresAt: now + MAX_CLOSED_MS, retryAt });
    return this.retryDelayMs(retryAfterMs);
  }

  /** Returns the refusal of a request that is known not to be served in time; undefined to call the allocators. */
  refuse(request: RefusedRequest): { retryAfterMs: number; shortage: QuotaShortage } | undefined {
    const lane = this.lanes.get(laneOf(request));
    const now = this.clock.monotonic();
    if (lane === undefined || now >= lane.expiresAt || request.units < lane.request.units) return undefined;
    if (lane.dueAt - now <= request.usefulWaitMs) return undefined;
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
