/** Notices of back ends on one daemon: kept, shared with the other daemons, and turned into permits to send. */
import type { BackendDirectory } from '@woodbarrow/backends';
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import { BackendNotices, NoticeGate, type SendPermits } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { BackendNews } from '@woodbarrow/protocol';
import {
  RateLimitGate,
  RateLimitService,
  fromReport,
  toReport,
  type PermitTotals,
  type UnitAllowance,
  type ZoneAuthority,
} from '@woodbarrow/quota';
import type { Clock } from '@woodbarrow/runtime';

/** Options of {@link BackendNoticeService}. */
export interface BackendNoticeServiceOptions {
  /** What is allowed beyond the rate limit that a back end names. */
  readonly allowance: UnitAllowance;
  readonly directory: BackendDirectory;
  readonly coordinators: CoordinatorDirectory;
  /** The lease of a zone, while it is held here. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  /** Tells all other daemons. */
  readonly announce: (news: BackendNews) => void;
  readonly peers: PeerNetwork;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Time for which the notices of a back end are kept whose record has vanished, in milliseconds: records lapse while the store is in trouble. */
const REMOVED_BACK_END_RETENTION_MS = 60_000;

/** Notices of one daemon. */
export class BackendNoticeService {
  readonly notices: BackendNotices;
  /** Permits for sends, under all that back ends ask for. */
  readonly permits: SendPermits;
  private readonly rateLimits: RateLimitGate;
  private readonly rateLimitAllocators: RateLimitService;
  /** Back ends that are gone, the first of them first. */
  private readonly removedBackEnds: { readonly backEndId: string; readonly at: number }[] = [];

  constructor(private readonly options: BackendNoticeServiceOptions) {
    const { directory, announce, clock, log } = options;
    this.notices = new BackendNotices(clock, log);
    this.notices.onNews = (backEndId, heard) => {
      announce({ kind: 'rate_limit', backEndId, rateLimit: toReport(heard, clock) });
    };
    this.notices.onLeaving = (backEndId) => {
      this.noteLeaving(backEndId, 'answer');
    };
    const zoneOf = (backEndId: string): string | undefined => directory.get(backEndId)?.zone;
    this.rateLimits = new RateLimitGate({ ...options, notices: this.notices, zoneOf });
    this.permits = new NoticeGate(this.notices.pauses, this.rateLimits);
    this.rateLimitAllocators = new RateLimitService({ ...options, notices: this.notices });
  }

  /** Starts answering other daemons. The peer network must be listening. */
  start(): void {
    this.rateLimitAllocators.start();
  }

  /** Takes what other daemons heard. */
  applyPeerNews(news: readonly BackendNews[]): void {
    for (const item of news) {
      // Of a back end that is not known yet, its first answer tells.
      if (this.options.directory.get(item.backEndId) === undefined) continue;
      this.applyNews(item);
    }
  }

  /** A daemon of a newer build may tell what this one does not know: that changes nothing here. */
  private applyNews(news: BackendNews): void {
    switch (news.kind) {
      case 'leaving':
        this.noteLeaving(news.backEndId, 'peer');
        return;
      case 'rate_limit':
        this.notices.hearFromPeer(news.backEndId, fromReport(news.rateLimit, this.options.clock));
    }
  }

  /** Permits asked for under rate limits, by what came of it. */
  get permitTotals(): PermitTotals {
    return this.rateLimits.totals;
  }

  private noteLeaving(backEndId: string, source: 'answer' | 'peer'): void {
    const { directory, announce, log } = this.options;
    const wasDraining = directory.get(backEndId)?.draining === true;
    if (!directory.noteLeaving(backEndId, source) || wasDraining) return;
    log.changed('back_end_leaving', { backEnd: backEndId, source });
    if (source === 'answer') announce({ kind: 'leaving', backEndId });
  }

  /** A back end is gone from the directory. Its record may come back, and what it asked for still holds then. */
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
