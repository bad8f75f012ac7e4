/** Stores the latest notices of back ends by incarnation, received in answers or from other daemons. */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { BackendNotice, NoticeField } from './backend-notice.js';
import { BackendPauses } from './backend-pauses.js';

/** Latest known rate limit of a back end. */
export interface ReceivedRateLimit {
  /** Requests per second over all daemons; absent if the limit was lifted. */
  readonly requestsPerSecond?: number;
  /** Monotonic time at which the answer with this limit, or without one, arrived. */
  readonly receivedAt: number;
}

/**
 * Lowest rate at which a limited back end is sent requests. Some requests must be sent, since only answers
 * can lift the limit; one request in four seconds stays within the tolerance of any limit.
 */
const MIN_REQUESTS_PER_SECOND = 0.25;

/** Latest known notice of a back end that it is brittle. */
export interface ReceivedBrittleness {
  /** Requests that it may decline in a second; absent if it is no longer brittle. */
  readonly declinesPerSecond?: number;
  /** Monotonic time at which the answer with this notice, or without one, arrived. */
  readonly receivedAt: number;
}

/** Where a notice comes from: an answer of the back end, or a report of another daemon. */
type NoticeSource = 'answer' | 'peer';

/** Current gauges, and counters since the start of the daemon. */
export interface NoticeTotals {
  /** Back ends with a rate limit. */
  readonly limited: number;
  /** Back ends that are brittle. */
  readonly brittle: number;
  /** Back ends that are paused. */
  readonly paused: number;
  /** Answers with a rate limit. */
  readonly limitsHeard: number;
  /** Answers that announced the exit of their back end. */
  readonly leavingHeard: number;
  /** Answers that requested a pause. */
  readonly pausesHeard: number;
  /** Notice fields that could not be parsed. */
  readonly malformed: number;
}

/** Minimum time between reports of adjusted limits of one back end, in milliseconds; each answer may carry another limit. */
const MIN_REPORT_INTERVAL_MS = 1000;

/** Notices held by one daemon. */
export class BackendNotices {
  /** Called when an answer changed a rate limit, to report it to the other daemons. */
  onRateLimitChange: (backEndId: string, heard: ReceivedRateLimit) => void = () => undefined;
  /** Called when an answer shows that a back end has become brittle, or no longer is, to report it to the other daemons. */
  onBrittlenessChange: (backEndId: string, heard: ReceivedBrittleness) => void = () => undefined;
  /** Called with each answer that announces the exit of its back end. */
  onLeaving: (backEndId: string) => void = () => undefined;
  /** Pauses that back ends requested from this daemon. */
  readonly pauses: BackendPauses;
  private readonly rateLimits = new Map<string, ReceivedRateLimit>();
  private readonly brittleness = new Map<string, ReceivedBrittleness>();
  /** Malformed fields that have been logged, by back end. */
  private readonly loggedMalformed = new Map<string, Set<keyof BackendNotice>>();
  /** Monotonic time of the last report on each back end. */
  private readonly reportedAt = new Map<string, number>();
  private limitsHeard = 0;
  private leavingHeard = 0;
  private pausesHeard = 0;
  private malformed = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    this.pauses = new BackendPauses(clock);
  }

  /**
   * Records the notice of an answer.
   *
   * @param sentAt Monotonic time at which the request was sent. Answers may arrive out of order, so the
   *   answer to a request sent before the last notice cannot lift its limit.
   */
  record(backEndId: string, notice: BackendNotice, sentAt: number): void {
    this.recordMalformed(backEndId, notice);
    this.recordRateLimit(backEndId, notice.requestsPerSecond, sentAt);
    if (notice.leaving.kind === 'said') this.recordLeaving(backEndId);
    this.recordBrittleness(backEndId, notice.declinesPerSecond, sentAt);
    this.recordPause(backEndId, notice.pauseMs, sentAt);
  }

  /** Records what another daemon reported of the brittleness of a back end, if it is newer. */
  recordBrittlenessFromPeer(backEndId: string, reported: ReceivedBrittleness): void {
    const current = this.brittleness.get(backEndId);
    if (current !== undefined && reported.receivedAt <= current.receivedAt) return;
    this.storeBrittleness(backEndId, reported, 'peer');
  }

  /** Requests that a back end may decline in a second before it falls over; undefined if it is not brittle. */
  declinesPerSecond(backEndId: string): number | undefined {
    return this.brittleness.get(backEndId)?.declinesPerSecond;
  }

  /**
   * Records a rate limit that another daemon reported, if it is newer. The same limit does not update the time of receipt, since
   * transit makes reported times later than they were.
   */
  recordFromPeer(backEndId: string, reported: ReceivedRateLimit): void {
    const current = this.rateLimits.get(backEndId);
    if (current === undefined && reported.requestsPerSecond === undefined) return;
    if (current !== undefined && !isNewerChange(reported, current)) return;
    this.storeRateLimit(backEndId, reported, 'peer');
  }

  /** Requests per second that all daemons together may send to a back end; undefined if it is not limited. */
  requestsPerSecond(backEndId: string): number | undefined {
    const limit = this.rateLimits.get(backEndId)?.requestsPerSecond;
    return limit === undefined ? undefined : Math.max(MIN_REQUESTS_PER_SECOND, limit);
  }

  /** Latest rate limit of a back end; undefined if it never had one. */
  latestRateLimit(backEndId: string): ReceivedRateLimit | undefined {
    return this.rateLimits.get(backEndId);
  }

  /** Removes all state of an incarnation that has ended. */
  forget(backEndId: string): void {
    this.pauses.forget(backEndId);
    this.rateLimits.delete(backEndId);
    this.brittleness.delete(backEndId);
    this.loggedMalformed.delete(backEndId);
    this.reportedAt.delete(backEndId);
  }

  get totals(): NoticeTotals {
    const { limitsHeard, leavingHeard, pausesHeard, malformed } = this;
    const limited = [...this.rateLimits.values()].filter((heard) => heard.requestsPerSecond !== undefined);
    return {
      limited: limited.length,
      brittle: [...this.brittleness.values()].filter((heard) => heard.declinesPerSecond !== undefined).length,
      paused: this.pauses.count,
      limitsHeard,
      leavingHeard,
      pausesHeard,
      malformed,
    };
  }

  private applyRateLimit(backEndId: string, requestsPerSecond: number): void {
    this.limitsHeard += 1;
    this.storeRateLimit(backEndId, { requestsPerSecond, receivedAt: this.clock.monotonic() }, 'answer');
  }

  private clearRateLimit(backEndId: string, sentAt: number): void {
    const current = this.rateLimits.get(backEndId);
    if (current?.requestsPerSecond === undefined || sentAt < current.receivedAt) return;
    this.storeRateLimit(backEndId, { receivedAt: this.clock.monotonic() }, 'answer');
  }

  private storeRateLimit(backEndId: string, rateLimit: ReceivedRateLimit, source: NoticeSource): void {
    const before = this.rateLimits.get(backEndId)?.requestsPerSecond;
    const { requestsPerSecond } = rateLimit;
    this.rateLimits.set(backEndId, rateLimit);
    if (before === requestsPerSecond) return;
    const event = requestsPerSecond === undefined ? 'back_end_unlimited' : 'back_end_limited';
    this.log.changed(event, { backEnd: backEndId, source, requestsPerSecond, before });
    const isAdjustment = before !== undefined && requestsPerSecond !== undefined;
    if (source === 'answer') this.reportChange(backEndId, rateLimit, isAdjustment);
  }

  private reportChange(backEndId: string, rateLimit: ReceivedRateLimit, isAdjustment: boolean): void {
    const now = this.clock.monotonic();
    const lastAt = this.reportedAt.get(backEndId) ?? -Infinity;
    if (isAdjustment && now - lastAt < MIN_REPORT_INTERVAL_MS) return;
    this.reportedAt.set(backEndId, now);
    this.onRateLimitChange(backEndId, rateLimit);
  }

  private recordRateLimit(backEndId: string, field: NoticeField<number>, sentAt: number): void {
    if (field.kind === 'said') this.applyRateLimit(backEndId, field.value);
    else if (field.kind === 'none') this.clearRateLimit(backEndId, sentAt);
  }

  private recordBrittleness(backEndId: string, field: NoticeField<number>, sentAt: number): void {
    if (field.kind === 'malformed') return;
    const current = this.brittleness.get(backEndId);
    const declinesPerSecond = field.kind === 'said' ? field.value : undefined;
    // The answer to a request sent before the last notice may have been overtaken by it.
    if (declinesPerSecond === undefined && (current === undefined || sentAt < current.receivedAt)) return;
    const receivedAt = this.clock.monotonic();
    const heard = { receivedAt, ...(declinesPerSecond === undefined ? {} : { declinesPerSecond }) };
    this.storeBrittleness(backEndId, heard, 'answer');
  }

  private storeBrittleness(backEndId: string, heard: ReceivedBrittleness, source: NoticeSource): void {
    const before = this.brittleness.get(backEndId)?.declinesPerSecond;
    const { declinesPerSecond } = heard;
    this.brittleness.set(backEndId, heard);
    if (before === declinesPerSecond) return;
    const event = declinesPerSecond === undefined ? 'back_end_not_brittle' : 'back_end_brittle';
    this.log.changed(event, { backEnd: backEndId, source, declinesPerSecond });
    if (source === 'answer') this.onBrittlenessChange(backEndId, heard);
  }

  private recordLeaving(backEndId: string): void {
    this.leavingHeard += 1;
    this.onLeaving(backEndId);
  }

  private recordPause(backEndId: string, field: NoticeField<number>, sentAt: number): void {
    this.pauses.record(backEndId, field, sentAt);
    if (field.kind !== 'said') return;
    this.pausesHeard += 1;
    this.log.changed('back_end_paused', { backEnd: backEndId, forMs: field.value });
  }

  private recordMalformed(backEndId: string, notice: BackendNotice): void {
    for (const [name, field] of Object.entries(notice) as [keyof BackendNotice, NoticeField<unknown>][]) {
      if (field.kind !== 'malformed') continue;
      this.malformed += 1;
      const logged = this.loggedMalformed.get(backEndId) ?? new Set();
      this.loggedMalformed.set(backEndId, logged);
      if (logged.has(name)) continue;
      logged.add(name);
      this.log.warned('notice_malformed', { backEnd: backEndId, notice: name, text: field.text });
    }
  }
}

function isNewerChange(reported: ReceivedRateLimit, current: ReceivedRateLimit): boolean {
  return reported.requestsPerSecond !== current.requestsPerSecond && reported.receivedAt > current.receivedAt;
}
