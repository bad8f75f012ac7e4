/** What each back end last said of itself, by incarnation, as far as this daemon knows. */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { BackendNotice, NoticeField } from './backend-notice.js';
import { BackendPauses } from './backend-pauses.js';

/** What a back end last said of a rate limit. */
export interface HeardRateLimit {
  /** Requests a second over all daemons together; absent where it named none any more. */
  readonly requestsPerSecond?: number;
  /** Monotonic time at which an answer said so. */
  readonly heardAt: number;
}

/**
 * Rate at which a back end is sent requests that names a lower one: only its answers can say that its need is over. One request in
 * four seconds is within what any limit allows.
 */
const MIN_REQUESTS_PER_SECOND = 0.25;

/** Who said it: the back end itself, or another daemon that had heard it. */
type NoticeSource = 'answer' | 'peer';

/** Numbers since the start. */
export interface NoticeTotals {
  /** Back ends that name a rate limit now. */
  readonly limited: number;
  /** Back ends that asked for a pause and are left alone now. */
  readonly paused: number;
  /** Answers that named a rate limit. */
  readonly limitsHeard: number;
  /** Answers that said that their back end leaves. */
  readonly leavingHeard: number;
  /** Answers that asked for a pause. */
  readonly pausesHeard: number;
  /** Fields of answers that could not be read. */
  readonly malformed: number;
}

/** Shortest time between two news of a back end that goes on naming a limit, in milliseconds: it may name another in each answer. */
const MIN_REPORT_INTERVAL_MS = 1000;

/** Notices known to one daemon. */
export class BackendNotices {
  /** Called when an answer changed what is known: other daemons are to know it too. */
  onNews: (backEndId: string, heard: HeardRateLimit) => void = () => undefined;
  /** Called with each answer that says that its back end leaves. */
  onLeaving: (backEndId: string) => void = () => undefined;
  /** Pauses that back ends asked this daemon for. */
  readonly pauses: BackendPauses;
  private readonly rateLimits = new Map<string, HeardRateLimit>();
  /** Fields that could not be read and have been logged, by back end. */
  private readonly loggedMalformed = new Map<string, Set<keyof BackendNotice>>();
  /** Monotonic time of the last news of each back end. */
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
   * Takes what the head of an answer says.
   *
   * @param sentAt Monotonic time at which the request was sent. Answers overtake each other: one to a request from before the
   *   last notice cannot take that back.
   */
  hear(backEndId: string, notice: BackendNotice, sentAt: number): void {
    this.recordMalformed(backEndId, notice);
    this.recordRateLimit(backEndId, notice.requestsPerSecond, sentAt);
    if (notice.leaving.kind === 'said') this.recordLeaving(backEndId);
    this.recordPause(backEndId, notice.pauseMs, sentAt);
  }

  /**
   * Takes what another daemon heard. It counts where it is newer; the same limit is not made newer by it, since times told by
   * others come out later than they were.
   */
  hearFromPeer(backEndId: string, reported: HeardRateLimit): void {
    const current = this.rateLimits.get(backEndId);
    if (current === undefined && reported.requestsPerSecond === undefined) return;
    if (current !== undefined && !isNewerChange(reported, current)) return;
    this.storeRateLimit(backEndId, reported, 'peer');
  }

  /** Requests a second that may be sent to a back end by all daemons together; undefined where it names no limit. */
  requestsPerSecond(backEndId: string): number | undefined {
    const limit = this.rateLimits.get(backEndId)?.requestsPerSecond;
    return limit === undefined ? undefined : Math.max(MIN_REQUESTS_PER_SECOND, limit);
  }

  /** What a back end last said; undefined where it has never named a limit. */
  lastHeard(backEndId: string): HeardRateLimit | undefined {
    return this.rateLimits.get(backEndId);
  }

  /** Forgets an incarnation that has ended. */
  forget(backEndId: string): void {
    this.pauses.forget(backEndId);
    this.rateLimits.delete(backEndId);
    this.loggedMalformed.delete(backEndId);
    this.reportedAt.delete(backEndId);
  }

  get totals(): NoticeTotals {
    const { limitsHeard, leavingHeard, pausesHeard, malformed } = this;
    const limited = [...this.rateLimits.values()].filter((heard) => heard.requestsPerSecond !== undefined);
    return {
      limited: limited.length,
      paused: this.pauses.count,
      limitsHeard,
      leavingHeard,
      pausesHeard,
      malformed,
    };
  }

  private applyRateLimit(backEndId: string, requestsPerSecond: number): void {
    this.limitsHeard += 1;
    this.storeRateLimit(backEndId, { requestsPerSecond, heardAt: this.clock.monotonic() }, 'answer');
  }

  private clearRateLimit(backEndId: string, sentAt: number): void {
    const current = this.rateLimits.get(backEndId);
    if (current?.requestsPerSecond === undefined || sentAt < current.heardAt) return;
    this.storeRateLimit(backEndId, { heardAt: this.clock.monotonic() }, 'answer');
  }

  private storeRateLimit(backEndId: string, rateLimit: HeardRateLimit, source: NoticeSource): void {
    const before = this.rateLimits.get(backEndId)?.requestsPerSecond;
    const { requestsPerSecond } = rateLimit;
    this.rateLimits.set(backEndId, rateLimit);
    if (before === requestsPerSecond) return;
    const event = requestsPerSecond === undefined ? 'back_end_unlimited' : 'back_end_limited';
    this.log.changed(event, { backEnd: backEndId, source, requestsPerSecond, before });
    const isAdjustment = before !== undefined && requestsPerSecond !== undefined;
    if (source === 'answer') this.reportChange(backEndId, rateLimit, isAdjustment);
  }

  private reportChange(backEndId: string, rateLimit: HeardRateLimit, isAdjustment: boolean): void {
    const now = this.clock.monotonic();
    const lastAt = this.reportedAt.get(backEndId) ?? -Infinity;
    if (isAdjustment && now - lastAt < MIN_REPORT_INTERVAL_MS) return;
    this.reportedAt.set(backEndId, now);
    this.onNews(backEndId, rateLimit);
  }

  private recordRateLimit(backEndId: string, field: NoticeField<number>, sentAt: number): void {
    if (field.kind === 'said') this.applyRateLimit(backEndId, field.value);
    else if (field.kind === 'none') this.clearRateLimit(backEndId, sentAt);
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

function isNewerChange(reported: HeardRateLimit, current: HeardRateLimit): boolean {
  return reported.requestsPerSecond !== current.requestsPerSecond && reported.heardAt > current.heardAt;
}
