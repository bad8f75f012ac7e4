/** What each back end last said of itself, by incarnation, as far as this daemon heard it. */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { BackendNotice } from './backend-notice.js';

/** A rate limit in force. */
export interface HeardRateLimit {
  /** Over all daemons together. */
  readonly requestsPerSecond: number;
  /** Monotonic time at which an answer last named it. */
  readonly heardAt: number;
}

/** Numbers since the start. */
export interface NoticeTotals {
  /** Back ends that name a rate limit now. */
  readonly limited: number;
  /** Answers that named a rate limit. */
  readonly limitsHeard: number;
  /** Answers whose words mean nothing. */
  readonly malformed: number;
}

/** Notices heard by one daemon. */
export class BackendNotices {
  private readonly rateLimits = new Map<string, HeardRateLimit>();
  /** Back ends whose malformed words have been logged. */
  private readonly toldMalformed = new Set<string>();
  private limitsHeard = 0;
  private malformed = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /**
   * Takes what the head of an answer says.
   *
   * @param sentAt Monotonic time at which the request was sent. Answers overtake each other: one to a request from before the
   *   last word cannot take that back.
   */
  hear(backEndId: string, { rateLimit }: BackendNotice, sentAt: number): void {
    switch (rateLimit.kind) {
      case 'named':
        this.setRateLimit(backEndId, rateLimit.requestsPerSecond);
        return;
      case 'none':
        this.endRateLimit(backEndId, sentAt);
        return;
      case 'malformed':
        this.noteMalformed(backEndId, rateLimit.value);
    }
  }

  /** The rate limit that a back end names; undefined where it names none. */
  rateLimitOf(backEndId: string): HeardRateLimit | undefined {
    return this.rateLimits.get(backEndId);
  }

  /** Forgets an incarnation that has ended. */
  forget(backEndId: string): void {
    this.rateLimits.delete(backEndId);
    this.toldMalformed.delete(backEndId);
  }

  get totals(): NoticeTotals {
    const { limitsHeard, malformed } = this;
    return { limited: this.rateLimits.size, limitsHeard, malformed };
  }

  private setRateLimit(backEndId: string, requestsPerSecond: number): void {
    this.limitsHeard += 1;
    const before = this.rateLimits.get(backEndId)?.requestsPerSecond;
    this.rateLimits.set(backEndId, { requestsPerSecond, heardAt: this.clock.monotonic() });
    if (before === requestsPerSecond) return;
    this.log.changed('back_end_limited', { backEnd: backEndId, requestsPerSecond, before });
  }

  private endRateLimit(backEndId: string, sentAt: number): void {
    const known = this.rateLimits.get(backEndId);
    if (known === undefined || sentAt < known.heardAt) return;
    this.rateLimits.delete(backEndId);
    this.log.changed('back_end_unlimited', { backEnd: backEndId, before: known.requestsPerSecond });
  }

  private noteMalformed(backEndId: string, value: string): void {
    this.malformed += 1;
    if (this.toldMalformed.has(backEndId)) return;
    this.toldMalformed.add(backEndId);
    this.log.warned('notice_malformed', { backEnd: backEndId, notice: 'rate_limit', value });
  }
}
