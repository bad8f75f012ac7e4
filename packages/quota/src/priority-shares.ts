/**
 * Decides which requests get the units of one subject at one allocator while more is asked than the
 * bucket holds. The bucket alone decides how many units are granted; this module only says to whom, so
 * that the bound in `unit-share.ts` does not depend on it.
 *
 * The load it addresses: a tenant sends 8 to 15 times its usual rate for some seconds. If each request
 * is granted when the bucket happens to hold its units, small requests always fit, and large ones never
 * see enough. Here, requests that cannot be served at once wait with a claim, and the refill is divided
 * among the priorities that have claims, the more urgent with the larger weight.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { ClaimLine } from './claim-line.js';
import { PriorityClass } from './priority-class.js';
import { divideByWeight } from './unit-division.js';

/** Least urgent priority, which is that of daemons that send none. */
export const LEAST_URGENT_PRIORITY = 9;
/**
 * Number of steps after which the weight is not reduced further. The least urgent of many priorities
 * thus keeps at least a fixed part of the refill.
 */
const MAX_WEIGHT_STEPS = 3;
/** Ratio of the weights of two successive priorities. */
const WEIGHT_STEP = 0.5;
/** Maximum wait for which a probe makes a claim, in milliseconds. Others first ask the other allocators. */
export const PROBE_CLAIM_MS = 50;
/** Minimum time after which a waiting daemon asks again, in milliseconds. */
const MIN_POLL_MS = 5;
/**
 * Time up to which a waiting daemon asks again only when its units are due, in milliseconds. Claims may
 * be filled earlier than expected; units set aside for longer would fill the bucket, which then loses
 * refill.
 */
const EXACT_POLL_MS = 300;
/** Fraction of a longer wait after which a daemon asks again, and its bound in milliseconds. */
const POLL_FRACTION = 0.25;
const MAX_POLL_MS = 1000;
/**
 * Time after which a claim lapses if its daemon has not asked again as told, in milliseconds. A call may
 * take 300 ms before it times out.
 */
const CLAIM_LAPSE_MS = 400;
/** Delay beyond the useful wait that a waiting request accepts, in milliseconds: the error of a forecast. */
const LATE_UNITS_TOLERANCE_MS = 10;

/** A request for units at one allocator. */
export interface ShareRequest {
  readonly priority: number;
  readonly units: number;
  /** Identifies the request in further calls. */
  readonly claimId: string;
  /** Time for which waiting is of use, in milliseconds. */
  readonly usefulWaitMs: number;
  /** Whether the caller will ask the other allocators before it waits. */
  readonly isProbe: boolean;
  /** Units that its daemon has refused without a call since its last one. */
  readonly refusedUnits: number;
}

/** Decision on a request. Times in milliseconds. */
export type ShareDecision =
  | { readonly kind: 'granted' }
  /** The units are set aside as they come. */
  | { readonly kind: 'waits'; readonly dueMs: number; readonly askAgainMs: number }
  /** The units would come too late. */
  | { readonly kind: 'refused'; readonly dueMs: number; readonly retryAfterMs: number };

/** Divides the units of one subject's bucket among priorities. */
export class PriorityShares {
  /** Sorted by priority, most urgent first. */
  private classes: PriorityClass[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Sets the units of the bucket aside for the claims. Returns those that nobody claims.
   *
   * @param level Units in the bucket.
   */
  settle(level: number): number {
    const now = this.clock.monotonic();
    for (const { lines } of this.classes) for (const line of lines) line.dropLapsed(now);
    this.classes = this.classes.filter((each) => each.isPresent(now) || each.missing + each.setAside > 0);
    if (this.setAside() > level + 1) this.releaseAll();
    const free = Math.max(0, level - this.setAside());
    const parties = this.classes.map((each) => ({
      weight: this.weightOf(each, now) * each.lineCount,
      wanted: each.missing,
    }));
    const given = divideByWeight(free, parties);
    for (const [index, units] of given.entries()) this.classes[index]?.fill(units);
    return Math.max(0, free - given.reduce((sum, units) => sum + units, 0));
  }

  /**
   * Decides on a request. The caller takes the units of a granted one from the bucket.
   *
   * @param level Units in the bucket.
   * @param ratePerMs Units that refill the bucket per millisecond.
   */
  decide(request: ShareRequest, level: number, ratePerMs: number): ShareDecision {
    const now = this.clock.monotonic();
    const { priority, units, claimId, usefulWaitMs } = request;
    const own = this.classOf(priority);
    own.recordAsked(now);
    const free = this.settle(level);
    const held = own.lineOf(claimId);
    if (held?.find(claimId)?.units === units) return this.decideOnClaim(own, held, request, ratePerMs);
    held?.remove(claimId);
    if (free >= units) return this.granted(own, units);
    const line = own.lineFor(usefulWaitMs);
    const lineRate = this.rateOf(own, ratePerMs) * own.fractionOf(line);
    const dueMs = (line.missing + units - free) / lineRate;
    if (units / lineRate <= usefulWaitMs) line.recordSize(units, now);
    const roomFor = Math.max(units, line.largestUnits(now));
    const admittedMs = (line.missing + roomFor - free) / lineRate;
    if (admittedMs <= (request.isProbe ? Math.min(PROBE_CLAIM_MS, usefulWaitMs) : usefulWaitMs)) {
      const decision = waitingFor(dueMs);
      line.add(claimId, units, now + decision.askAgainMs + CLAIM_LAPSE_MS);
      this.settle(level);
      return decision;
    }
    if (request.isProbe) return { kind: 'refused', dueMs: admittedMs, retryAfterMs: 0 };
    const retryAfterMs = line.reserveRetry(dueMs, units + request.refusedUnits, lineRate, now);
    return { kind: 'refused', dueMs: admittedMs, retryAfterMs };
  }

  /** Units set aside for claims. */
  setAside(): number {
    return this.classes.reduce((sum, each) => sum + each.setAside, 0);
  }

  private decideOnClaim(
    own: PriorityClass,
    line: ClaimLine,
    request: ShareRequest,
    ratePerMs: number,
  ): ShareDecision {
    const now = this.clock.monotonic();
    const { claimId, units, usefulWaitMs } = request;
    const missing = line.missingUntil(claimId);
    const claim = line.find(claimId);
    if (claim === undefined || claim.filled >= claim.units) {
      line.remove(claimId);
      return this.granted(own, units);
    }
    const lineRate = this.rateOf(own, ratePerMs) * own.fractionOf(line);
    const dueMs = missing / lineRate;
    if (dueMs > usefulWaitMs + LATE_UNITS_TOLERANCE_MS) {
      // The priority receives less than when the claim was made.
      line.remove(claimId);
      const retryAfterMs = line.reserveRetry(dueMs, units + request.refusedUnits, lineRate, now);
      return { kind: 'refused', dueMs, retryAfterMs };
    }
    const decision = waitingFor(dueMs);
    claim.lapsesAt = now + decision.askAgainMs + CLAIM_LAPSE_MS;
    return decision;
  }

  private granted(own: PriorityClass, units: number): ShareDecision {
    own.recordGranted(units);
    return { kind: 'granted' };
  }

  /**
   * Returns the units per millisecond that a priority can expect: its share by weight, or more if the
   * others use less than theirs.
   */
  private rateOf(own: PriorityClass, ratePerMs: number): number {
    const now = this.clock.monotonic();
    const present = this.classes.filter((each) => each === own || each.isPresent(now));
    const weightOf = (each: PriorityClass): number => this.weightOf(each, now) * each.lineCount;
    const total = present.reduce((sum, each) => sum + weightOf(each), 0);
    const shareOf = (each: PriorityClass): number => (ratePerMs * weightOf(each)) / total;
    const usedByOthers = present
      .filter((each) => each !== own)
      .map((each) => (each.missing > 0 ? shareOf(each) : Math.min(shareOf(each), each.grantedPerMs)));
    const left = ratePerMs - usedByOthers.reduce((sum, units) => sum + units, 0);
    return Math.max(shareOf(own), left);
  }

  /** Returns the weight of a priority among those present. */
  private weightOf(own: PriorityClass, now: number): number {
    const steps = this.classes.filter((each) => each.priority < own.priority && each.isPresent(now)).length;
    return WEIGHT_STEP ** Math.min(MAX_WEIGHT_STEPS, steps);
  }

  private releaseAll(): void {
    for (const { lines } of this.classes) for (const line of lines) line.releaseAll();
  }

  private classOf(priority: number): PriorityClass {
    const known = this.classes.find((each) => each.priority === priority);
    if (known !== undefined) return known;
    const created = new PriorityClass(priority, this.clock);
    this.classes = [...this.classes, created].sort((left, right) => left.priority - right.priority);
    return created;
  }
}

function waitingFor(dueMs: number): Extract<ShareDecision, { kind: 'waits' }> {
  const laterMs = Math.min(MAX_POLL_MS, Math.max(EXACT_POLL_MS, dueMs * POLL_FRACTION));
  return { kind: 'waits', dueMs, askAgainMs: Math.max(MIN_POLL_MS, Math.min(dueMs, laterMs)) };
}

/** Returns a valid priority for one received from another daemon. */
export function validPriority(priority: number | undefined): number {
  if (priority === undefined || !Number.isFinite(priority)) return LEAST_URGENT_PRIORITY;
  return Math.min(LEAST_URGENT_PRIORITY, Math.max(0, Math.round(priority)));
}
