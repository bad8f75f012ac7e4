/** Stores the notices that back ends send to one daemon, shares them with the other daemons and grants send permits accordingly. */
import type { BackendDirectory } from '@woodbarrow/backends';
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import { BackendNotices, NoticeGate, type SendPermits } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { BackendNews, BackendNotification } from '@woodbarrow/protocol';
import {
  RateLimitGate,
  RateLimitService,
  fromReport,
  toReport,
  type PermitTotals,
  type OvershootAllowance,
  type ZoneAuthority,
} from '@woodbarrow/quota';
import type { Clock } from '@woodbarrow/runtime';

/** Options of {@link BackendNoticeService}. */
export interface BackendNoticeServiceOptions {
  /** Allowance beyond the rate limit that a back end reports. */
  readonly allowance: OvershootAllowance;
  readonly directory: BackendDirectory;
  readonly coordinators: CoordinatorDirectory;
  /** Returns the lease of a zone while this daemon holds it. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  /** Sends a notice to all other daemons. */
  readonly announce: (news: BackendNotification) => void;
  readonly peers: PeerNetwork;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Time for which notices of a removed back end are retained: its record may only have expired during a store outage. */
const REMOVED_BACK_END_RETENTION_MS = 60_000;

/** Combines the notices received by this daemon with those of its peers. */
export class BackendNoticeService {
  readonly notices: BackendNotices;
  /** Grants permits to send, subject to the pauses and rate limits that back ends request. */
  readonly permits: SendPermits;
  private readonly rateLimits: RateLimitGate;
  private readonly rateLimitAllocators: RateLimitService;
  /** Removed back ends, oldest first; `at` is the monotonic time of the removal. */
  private readonly removedBackEnds: { readonly backEndId: string; readonly at: number }[] = [];

  constructor(private readonly options: BackendNoticeServiceOptions) {
    const { directory, announce, clock, log } = options;
    this.notices = new BackendNotices(clock, log);
    this.notices.onRateLimitChange = (backEndId, observedLimit) => {
      announce({ kind: 'rate_limit', backEndId, rateLimit: toReport(observedLimit, clock) });
    };
    this.notices.onBrittlenessChange = (backEndId, { declinesPerSecond, receivedAt }) => {
      const heardAgoMs = Math.round(clock.monotonic() - receivedAt);
      const value = declinesPerSecond === undefined ? {} : { declinesPerSecond };
      announce({ kind: 'brittle', backEndId, heardAgoMs, ...value });
    };
    this.notices.onLeaving = (backEndId) => {
      this.noteLeaving(backEndId, 'answer');
    };
    const zoneOf = (backEndId: string): string | undefined => directory.get(backEndId)?.zone;
    this.rateLimits = new RateLimitGate({ ...options, notices: this.notices, zoneOf });
    this.permits = new NoticeGate(this.notices.pauses, this.rateLimits);
    this.rateLimitAllocators = new RateLimitService({ ...options, notices: this.notices });
  }

  /** Starts handling permit requests of other daemons. The peer network must be listening. */
  start(): void {
    this.rateLimitAllocators.start();
  }

  /** Applies notices that other daemons received. */
  applyPeerNews(news: readonly BackendNews[]): void {
    for (const item of news) {
      if (item.kind === 'isolation') continue;
      // The first response of a back end that is not in the directory yet repeats the notice.
      if (this.options.directory.get(item.backEndId) === undefined) continue;
      this.applyNews(item);
    }
  }

  /** Applies one notice. Kinds that only a newer build knows are ignored. */
  private applyNews(news: BackendNotification): void {
    switch (news.kind) {
      case 'leaving':
        this.noteLeaving(news.backEndId, 'peer');
        return;
      case 'rate_limit':
        this.notices.recordFromPeer(news.backEndId, fromReport(news.rateLimit, this.options.clock));
        return;
      case 'brittle': {
        const { backEndId, declinesPerSecond, heardAgoMs } = news;
        const receivedAt = this.options.clock.monotonic() - heardAgoMs;
        const value = declinesPerSecond === undefined ? {} : { declinesPerSecond };
        this.notices.recordBrittlenessFromPeer(backEndId, { receivedAt, ...value });
      }
    }
  }

  /** Number of permits requested under rate limits, by outcome. */
  get permitTotals(): PermitTotals {
    return this.rateLimits.totals;
  }

  private noteLeaving(backEndId: string, source: 'answer' | 'peer'): void {
    const { directory, announce, log } = this.options;
    const wasDraining = directory.get(backEndId)?.draining === true;
    if (!directory.markLeaving(backEndId, source) || wasDraining) return;
    log.changed('back_end_leaving', { backEnd: backEndId, source });
    if (source === 'answer') announce({ kind: 'leaving', backEndId });
  }

  /** Notes that a back end left the directory. Its notices are retained for a while, as they still apply if its record returns. */
  noteRemoved(backEndId: string): void {
    const now = this.options.clock.monotonic();
    this.removedBackEnds.push({ backEndId, at: now });
    while (
      this.removedBackEnds[0] !== undefined &&
      now - this.removedBackEnds[0].at > REMOVED_BACK_END_RETENTION_MS
    ) {
      const { backEndId: oldest } = this.removedBackEnds[0];
      this.removedBackEnds.shift();
      if (this.options.directory.get(oldest) === undefined) this.forget(oldest);
    }
  }

  private forget(backEndId: string): void {
    this.notices.forget(backEndId);
    this.rateLimits.forget(backEndId);
    this.rateLimitAllocators.forget(backEndId);
  }
}
