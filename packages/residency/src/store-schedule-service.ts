/**
 * Exchanges wishes and grants for loads from the weight store: sends those of the zones that this daemon coordinates, and
 * schedules for all zones while it coordinates the first one by name.
 */
import { WoodbarrowError } from '@woodbarrow/errors';
import type { CoordinatorDirectory, Member } from '@woodbarrow/exchange';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  storeWishesMethod,
  type LoadUnderWay,
  type StoreWishesAnswer,
  type StoreWishesMessage,
  type StoreWishKind,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { StoreLoads, type TrackedStoreLoad } from './store-loads.js';
import { StoreSchedule, type GrantDecision } from './store-schedule.js';
import type { ZoneResidency } from './zone-residency.js';

/** A zone that this daemon coordinates. */
export interface ScheduledZone {
  readonly fence: number;
  readonly residency: Pick<
    ZoneResidency,
    | 'storeReport'
    | 'acceptSchedule'
    | 'scheduleAlone'
    | 'access'
    | 'loadsUnderWay'
    | 'linkCapacity'
    | 'loadsAhead'
  >;
}

/** Options of {@link StoreScheduleService}. */
export interface StoreScheduleServiceOptions {
  readonly self: Member;
  readonly peers: PeerNetwork;
  readonly coordinators: CoordinatorDirectory;
  /** Returns the zones that this daemon coordinates. */
  readonly held: () => ReadonlyMap<string, ScheduledZone>;
  /** Returns the zones with workers that run models. */
  readonly zones: () => readonly string[];
  /** Whether any service has slow loads. */
  readonly isNeeded: () => boolean;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Counts and states for metrics. */
export interface StoreScheduleTotals {
  /** Loads granted by this daemon since the start, by kind. */
  readonly grantsByKind: ReadonlyMap<string, number>;
  /** Loads ahead of demand started in the zones coordinated here. */
  readonly loadsAhead: number;
  readonly isScheduler: boolean;
  /** Measured capacity of the link, by zone coordinated here. */
  readonly linkCapacity: ReadonlyMap<string, number>;
}

/** Interval between reports of a zone, in milliseconds. */
export const WISHES_INTERVAL_MS = 300;
/** Minimum interval between two reports on change, in milliseconds; bounds their cost in a burst of demands. */
const MIN_REPORT_INTERVAL_MS = 50;
/** Shortest timeout of a report, in milliseconds; the next one is due by then. */
const CALL_TIMEOUT_MS = 300;

/** Schedule of the weight store as seen by one daemon. */
export class StoreScheduleService {
  private schedule: StoreSchedule | undefined;
  /** Loads that claims have reported, kept from before this daemon schedules. */
  private readonly claimed: StoreLoads;
  private readonly lostZones = new Set<string>();
  private readonly sending = new Set<string>();
  private readonly grantsByKind = new Map<StoreWishKind, number>();
  private lastReportAt = -Infinity;
  private isReportPending = false;

  constructor(private readonly options: StoreScheduleServiceOptions) {
    this.claimed = new StoreLoads(options.clock);
  }

  /** Registers the message handler. */
  start(): void {
    this.options.peers.handle(storeWishesMethod, (message) => this.accept(message));
  }

  /** What has been granted, for metrics. */
  get totals(): StoreScheduleTotals {
    const held = [...this.options.held()];
    return {
      grantsByKind: this.grantsByKind,
      loadsAhead: held.reduce((sum, [, { residency }]) => sum + residency.loadsAhead, 0),
      isScheduler: this.schedule !== undefined,
      linkCapacity: new Map(
        held.flatMap(
          ([
            zone,
            {
              residency: { linkCapacity },
            },
          ]) => (linkCapacity === undefined ? [] : [[zone, linkCapacity] as const]),
        ),
      ),
    };
  }

  /** Reports the zones coordinated here to the scheduler; called periodically. */
  report(): void {
    const { clock, held } = this.options;
    this.lastReportAt = clock.monotonic();
    if (held().size === 0 || !this.options.isNeeded()) {
      this.schedule = undefined;
      return;
    }
    this.recordClaims();
    this.updateRole();
    for (const [zone, { residency }] of held()) {
      if (this.sending.has(zone)) continue;
      const report = residency.storeReport();
      if (report === undefined) continue;
      this.sending.add(zone);
      void this.send(report.message).then((answer) => {
        this.sending.delete(zone);
        this.applyAnswer(zone, answer);
      });
    }
  }

  /** Reports soon after a change. */
  reportSoon(): void {
    const { clock } = this.options;
    if (this.isReportPending) return;
    this.isReportPending = true;
    const pauseMs = Math.max(0, this.lastReportAt + MIN_REPORT_INTERVAL_MS - clock.monotonic());
    clock.schedule(pauseMs, () => {
      this.isReportPending = false;
      this.report();
    });
  }

  private async send(message: StoreWishesMessage): Promise<StoreWishesAnswer | undefined> {
    const { peers, self, failures } = this.options;
    const scheduler = this.scheduler();
    if (scheduler === undefined) return undefined;
    try {
      if (scheduler.memberId === self.id) return this.accept(message);
      return await peers.call(scheduler.address, storeWishesMethod, message, {
        timeoutMs: CALL_TIMEOUT_MS,
        isAdaptive: true,
      });
    } catch (error) {
      // A missing answer shows in the time since the last one; the zone then uses its turn.
      failures.record('store wishes', scheduler.memberId, error);
      return undefined;
    }
  }

  private applyAnswer(zone: string, answer: StoreWishesAnswer | undefined): void {
    const held = this.options.held().get(zone);
    if (held === undefined) return;
    const { residency } = held;
    if (answer === undefined) residency.scheduleAlone();
    else residency.acceptSchedule(answer);
    this.logContact(zone, residency.access.isOnOwn, residency.access.silentMs);
  }

  private logContact(zone: string, isLost: boolean, silentMs: number): void {
    const { log } = this.options;
    if (isLost === this.lostZones.has(zone)) return;
    const scheduler = this.scheduler()?.memberId;
    if (isLost) {
      this.lostZones.add(zone);
      log.warned('store_schedule_lost', { zone, scheduler, silentMs: Math.round(silentMs) });
    } else {
      this.lostZones.delete(zone);
      log.changed('store_schedule_regained', { zone, scheduler });
    }
  }

  /** Returns the coordinator of the first zone by name that has one; it schedules. */
  private scheduler(): { readonly memberId: string; readonly address: string } | undefined {
    const { zones, held, self, coordinators } = this.options;
    for (const zone of [...zones()].sort()) {
      if (held().has(zone)) return { memberId: self.id, address: self.address };
      const coordinator = coordinators.of(zone);
      if (coordinator !== undefined) return coordinator;
    }
    return undefined;
  }

  private updateRole(): void {
    const isScheduler = this.scheduler()?.memberId === this.options.self.id;
    if (!isScheduler) this.schedule = undefined;
    else this.schedule ??= this.createSchedule();
  }

  private createSchedule(): StoreSchedule {
    return new StoreSchedule({
      clock: this.options.clock,
      claimedLoads: () => this.claimedLoads(),
      onGrant: (grant) => {
        this.logGrant(grant);
      },
    });
  }

  private accept(message: StoreWishesMessage): StoreWishesAnswer {
    this.updateRole();
    if (this.schedule === undefined)
      throw new WoodbarrowError('not_leader', 'this daemon does not schedule the weight store');
    return this.schedule.accept(message);
  }

  private claimedLoads(): readonly TrackedStoreLoad[] {
    this.recordClaims();
    return this.claimed.all();
  }

  /** Records what claims say, as a claim and its loads are gone once its coordinator is lost. */
  private recordClaims(): void {
    const { zones, held, coordinators } = this.options;
    for (const zone of zones()) {
      const own = held().get(zone);
      const claim = coordinators.of(zone);
      const loads = own?.residency.loadsUnderWay ?? claim?.loading;
      const fence = own?.fence ?? claim?.fence;
      if (loads === undefined || fence === undefined) continue;
      this.claimed.report(zone, fence, loads.filter(isFromStore));
    }
  }

  private logGrant({ zone, wish, inProgress, limit }: GrantDecision): void {
    const { model, kind, waiting, requestsPerS, loadMs } = wish;
    this.grantsByKind.set(kind, (this.grantsByKind.get(kind) ?? 0) + 1);
    this.options.log.changed('store_load_granted', {
      zone,
      model,
      kind,
      waiting,
      requestsPerS: Math.round(requestsPerS * 10) / 10,
      loadMs,
      inProgress,
      limit,
    });
  }
}

function isFromStore({ fromStore }: LoadUnderWay): boolean {
  return fromStore === true;
}
