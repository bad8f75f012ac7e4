/**
 * A daemon's role in model residency: candidate for the leases of the zones, and coordinator of the zones
 * that it holds.
 */
import {
  hasSlowLoads,
  type BackendDirectory,
  type LoadTracker,
  type PaceView,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import {
  StoreLease,
  rankByCapacity,
  type AcquireResult,
  type LeaseRecordStore,
  type StoredLease,
} from '@woodbarrow/coordination';
import { errorMessage, WoodbarrowError } from '@woodbarrow/errors';
import type { CoordinatorDirectory, Member } from '@woodbarrow/exchange';
import { logTaskFailures, type CallFailures, type EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { LoadQuarantine } from '@woodbarrow/quarantine';
import {
  residencyDemandMethod,
  type LoadUnderWay,
  type ResidencyChange,
  type ResidencyDemandAnswer,
  type ResidencyDemandMessage,
  type StorePosition,
  type ZoneClaim,
} from '@woodbarrow/protocol';
import { BackgroundService, sleep, type Clock, type Random } from '@woodbarrow/runtime';
import { CoordinationCounters } from './coordination-counters.js';
import { LeaseContacts, type KnownMember, type RunningMember } from './lease-contacts.js';
import type { OrderClient } from './order-client.js';
import { addReplicaCounts, type ReplicaCounts } from './replica-spreader.js';
import type { PaceProbes } from './pace-probes.js';
import type { StoreWindowOptions } from './load-planner.js';
import {
  StoreScheduleService,
  WISHES_INTERVAL_MS,
  type StoreScheduleTotals,
} from './store-schedule-service.js';
import { ZoneResidency, type UnservedDemands } from './zone-residency.js';

/** Options of {@link ResidencyService}. */
export interface ResidencyServiceOptions {
  readonly self: Member;
  /** Identifies this run of the process. */
  readonly instance: number;
  /** Returns the daemons that may hold roles, this one included. */
  readonly members: () => readonly RunningMember[];
  /** Returns all daemons that have not left for good, this one included. */
  readonly knownMembers: () => readonly KnownMember[];
  /** Whether the group is known well enough to determine the preferred holder of a lease. */
  readonly isGroupKnown: () => boolean;
  readonly peers: PeerNetwork;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly coordinators: CoordinatorDirectory;
  readonly leases: LeaseRecordStore;
  readonly orders: OrderClient;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  /** Notifies all daemons of a change of residency, this one included. */
  readonly announce: (change: ResidencyChange) => void;
  /** Called when a zone has been acquired or released. */
  readonly onClaimsChanged: () => void;
  /** Minimum milliseconds between the orders of two successive coordinators of a zone. */
  readonly handoverPauseMs: number;
  readonly storeWindow: StoreWindowOptions;
  readonly quarantine: LoadQuarantine;
  /** Pace of the workers; used for services with slow loads. Default: all workers are equally fast. */
  readonly paces?: PaceView;
  /** Reads the pace of workers before there is traffic. @default it is not read */
  readonly paceProbes?: PaceProbes;
  /** Whether a daemon reaches the workers, as far as is known here. @default all do */
  readonly reachesWorkers?: (memberId: string) => boolean;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

const CANDIDACY_INTERVAL_MS = 250;
/** Interval of periodic maintenance, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 500;
/**
 * Interval between decisions on additional replicas, in milliseconds; about the age of the reports of other daemons.
 */
const SPREAD_INTERVAL_MS = 400;
/** Interval between renewals of a lease, in milliseconds; a fifth of its lifetime. */
const RENEW_INTERVAL_MS = 2000;
const RENEW_RETRY_INTERVAL_MS = 600;
/**
 * Interval between contacts of a holder with its witnesses, in milliseconds; three fit into the lifetime of
 * an answer.
 */
const CONTACT_INTERVAL_MS = 400;
/**
 * Contact interval while the holder must not act for lack of answers, in milliseconds; short, as the zone
 * serves no demands meanwhile.
 */
const LOST_CONTACT_INTERVAL_MS = 100;
/** Time without contact with a majority of witnesses after which others are named, in milliseconds. */
const CONTACT_LOST_AFTER_MS = 1000;
interface HeldZone {
  readonly lease: StoreLease;
  readonly residency: ZoneResidency;
}

/** Leases and coordinators of one daemon. */
export class ResidencyService extends BackgroundService {
  readonly counters = new CoordinationCounters();
  private readonly leases = new Map<string, StoreLease>();
  private readonly held = new Map<string, HeldZone>();
  /** Zones whose lease is being acquired. */
  private readonly acquiring = new Set<string>();
  /** Monotonic time before which a zone's lease is not requested again. */
  private readonly retryAt = new Map<string, number>();
  private isLeaving = false;
  private readonly contacts: LeaseContacts;
  private readonly storeSchedule: StoreScheduleService;

  constructor(private readonly options: ResidencyServiceOptions) {
    super(options.clock, logTaskFailures(options.log));
    const { self, instance, members, knownMembers, peers, failures, clock } = options;
    this.contacts = new LeaseContacts({
      self,
      instance,
      members,
      knownMembers,
      mayStillAct: (name) =>
        [...this.leases].some(([zone, lease]) => leaseName(zone) === name && lease.isWithinLifetime),
      peers,
      failures,
      clock,
      onResume: (zone) => {
        this.resume(zone);
      },
    });
    this.storeSchedule = new StoreScheduleService({
      ...options,
      held: () =>
        new Map(
          [...this.held].map(([zone, { lease, residency }]) => [zone, { fence: lease.fence, residency }]),
        ),
      zones: () => this.zones(),
      isNeeded: () => this.hasSlowLoads(),
    });
  }

  /** Starts the service. The peer network must be listening. */
  start(): void {
    const { peers, directory } = this.options;
    peers.handle(residencyDemandMethod, (message) => this.onDemand(message));
    this.contacts.start();
    this.storeSchedule.start();
    directory.events.on('removed', (backEnd) => {
      for (const zone of this.held.values()) zone.residency.forget(backEnd.id);
      this.options.loads.forgetBackEnd(backEnd.id);
      this.options.paceProbes?.forget(backEnd.id);
    });
    this.tasks.loop(
      'residency.candidate',
      () => CANDIDACY_INTERVAL_MS,
      () => this.acquireFreeZones(),
    );
    this.tasks.loop(
      'residency.tend',
      () => MAINTENANCE_INTERVAL_MS,
      () => {
        this.maintain();
        return Promise.resolve();
      },
    );
    this.tasks.loop(
      'residency.spread',
      () => SPREAD_INTERVAL_MS,
      () => {
        this.spreadReplicas();
        return Promise.resolve();
      },
    );
    this.tasks.loop(
      'residency.store-schedule',
      () => WISHES_INTERVAL_MS,
      () => {
        this.storeSchedule.report();
        return Promise.resolve();
      },
    );
  }

  /** Returns what this daemon knows of the schedule of the weight store, for metrics. */
  storeScheduleTotals(): StoreScheduleTotals {
    return this.storeSchedule.totals;
  }

  /** Returns the fence of each zone that this daemon coordinates. */
  fencesHeld(): ReadonlyMap<string, number> {
    return new Map([...this.held].map(([zone, { lease }]) => [zone, lease.fence]));
  }

  /** Returns the lease of a zone while this daemon coordinates it. */
  leaseHeld(zone: string): StoreLease | undefined {
    return this.held.get(zone)?.lease;
  }

  /** Returns the claims on the zones that this daemon coordinates. */
  claims(): ZoneClaim[] {
    return [...this.held].map(([zone, { lease, residency }]) => ({
      zone,
      fence: lease.fence,
      storeLoads: residency.storeLoads,
      loading: residency.loadsUnderWay,
      leaseRevision: lease.position.revision,
      leaseEra: lease.position.era,
      confirmedAgoMs: Math.floor(lease.confirmedAgoMs()),
    }));
  }

  /** Returns what the coordinated zones could not serve, by zone. */
  unserved(): ReadonlyMap<string, UnservedDemands> {
    return new Map([...this.held].map(([zone, { residency }]) => [zone, residency.unserved]));
  }

  /** Returns the additional replicas decided and loaded for the coordinated zones. */
  replicaCounts(): ReplicaCounts {
    const counts = [...this.held.values()].map(({ residency }) => residency.replicaCounts);
    return addReplicaCounts(counts);
  }

  /** Releases all leases on a planned stop. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    const held = [...this.held.entries()];
    this.held.clear();
    for (const [zone, { lease, residency }] of held) {
      await this.release(zone, lease, residency);
    }
    this.options.onClaimsChanged();
  }

  /** Releases all leases while this daemon reaches no worker and another one does: its orders would get no answer. */
  private handOverUnreachedZones(): void {
    const { self, members, onClaimsChanged, log } = this.options;
    if (this.held.size === 0 || this.reachesWorkers(self.id)) return;
    const successors = members().filter(({ id }) => this.reachesWorkers(id));
    if (successors.length === 0) return;
    const held = [...this.held.entries()];
    this.held.clear();
    for (const [zone, { lease, residency }] of held) {
      log.warned('zone_handed_over', { zone, fence: lease.fence, successors: successors.length });
      this.tasks.spawn(`residency.release ${zone}`, () => this.release(zone, lease, residency));
    }
    onClaimsChanged();
  }

  private reachesWorkers(memberId: string): boolean {
    return this.options.reachesWorkers?.(memberId) ?? true;
  }

  private async release(zone: string, lease: StoreLease, residency: ZoneResidency): Promise<void> {
    const { log } = this.options;
    let inFlightMs = 0;
    try {
      await lease.release(async () => {
        inFlightMs = await residency.settleOrders();
        return inFlightMs;
      });
      log.changed('lease_released', { zone, fence: lease.fence, inFlightMs: Math.round(inFlightMs) });
    } catch (error) {
      // Other daemons acquire it once it expires or its witnesses refuse this daemon.
      log.warned('lease_unconfirmed', {
        zone,
        confirmedAgoMs: Math.round(lease.confirmedAgoMs()),
        cause: errorMessage(error),
      });
    }
  }

  private maintain(): void {
    if (this.held.size === 0) return;
    for (const service of this.engineServices()) {
      for (const { residency } of this.held.values()) residency.maintain(service);
    }
  }

  private spreadReplicas(): void {
    if (this.held.size === 0) return;
    for (const name of this.engineServices()) {
      const service = this.options.serviceOf(name);
      if (service === undefined) continue;
      for (const { residency } of this.held.values()) residency.spreadReplicas(service);
    }
  }

  private engineServices(): Set<string> {
    const names = this.options.directory.all().map((backEnd) => backEnd.service);
    return new Set(names.filter((name) => this.options.serviceOf(name)?.engine !== undefined));
  }

  private hasSlowLoads(): boolean {
    return [...this.engineServices()].some((service) => {
      const engine = this.options.serviceOf(service)?.engine;
      return engine !== undefined && hasSlowLoads(engine);
    });
  }

  /** Acquires free zones for which this daemon is the preferred holder. */
  private acquireFreeZones(): Promise<void> {
    if (this.isLeaving || !this.options.isGroupKnown()) return Promise.resolve();
    this.handOverUnreachedZones();
    for (const zone of this.coordinatedZones()) {
      if (this.held.has(zone) || this.options.coordinators.of(zone) !== undefined) continue;
      if (this.options.clock.monotonic() < (this.retryAt.get(zone) ?? 0)) continue;
      if (this.preferredHolder(zone) !== this.options.self.id || this.acquiring.has(zone)) continue;
      // Runs per zone, so that waiting for one does not delay the others.
      this.tasks.spawn(`residency.take ${zone}`, () => this.acquireOnce(zone));
    }
    return Promise.resolve();
  }

  /** Resumes a zone whose lease is recorded for a former run of this daemon. */
  private resume(zone: string): void {
    if (this.isLeaving || this.held.has(zone)) return;
    this.tasks.spawn(`residency.resume ${zone}`, () => this.acquireOnce(zone));
  }

  private async acquireOnce(zone: string): Promise<void> {
    if (this.acquiring.has(zone)) return;
    this.acquiring.add(zone);
    try {
      await this.acquireOrWait(zone);
    } finally {
      this.acquiring.delete(zone);
    }
  }

  private async acquireOrWait(zone: string): Promise<void> {
    const lease = this.leaseOf(zone);
    let result = await lease.tryAcquire(this.options.coordinators.lastConfirmation(zone));
    if (result.kind === 'waiting' && result.stored !== undefined)
      result = await this.replaceLostHolder(zone, lease, result.stored, result);
    else if (result.kind === 'waiting' && result.unknownHolderAt !== undefined)
      result = await this.replaceUnknownHolder(zone, lease, result.unknownHolderAt, result);
    if (result.kind === 'waiting') {
      const pauseMs = Math.min(result.retryAfterMs, RENEW_INTERVAL_MS);
      this.retryAt.set(zone, this.options.clock.monotonic() + pauseMs);
      return;
    }
    this.options.log.changed('lease_gained', {
      zone,
      fence: lease.fence,
      actsInMs: Math.round(lease.actsInMs()),
      pausedBy: lease.pauseReason,
    });
    this.counters.countAcquisition(lease.pauseReason);
    this.held.set(zone, { lease, residency: this.createCoordinator(zone, lease) });
    this.tasks.spawn(`residency.renew ${zone}`, (signal) => this.renewUntilLost(zone, lease, signal));
    this.tasks.spawn(`residency.contact ${zone}`, (signal) => this.maintainContact(zone, lease, signal));
    this.options.onClaimsChanged();
  }

  /** Acquires the lease of a holder that its witnesses refuse; a restarted holder resumes it itself. */
  private async replaceLostHolder(
    zone: string,
    lease: StoreLease,
    stored: StoredLease,
    waiting: AcquireResult,
  ): Promise<AcquireResult> {
    if (this.contacts.notifyRestartedHolder(zone, stored)) return waiting;
    const refused = await this.contacts.requestRefusal(leaseName(zone), stored, this.tasks.signal);
    if (refused === undefined) return waiting;
    this.options.log.changed('lease_holder_refused', {
      zone,
      holder: stored.record.holder,
      lastContactAgoMs: Math.round(refused.lastContactAgoMs),
    });
    return lease.tryAcquire(undefined, refused);
  }

  /**
   * Acquires a lease whose last holder is unknown after a restore of the store, once every daemon refuses
   * that holder.
   */
  private async replaceUnknownHolder(
    zone: string,
    lease: StoreLease,
    position: StorePosition,
    waiting: AcquireResult,
  ): Promise<AcquireResult> {
    const refused = await this.contacts.requestRefusalFromAll(leaseName(zone), position);
    if (refused === undefined) return waiting;
    const lastContactAgoMs = Math.round(refused.lastContactAgoMs);
    this.options.log.changed('lease_holder_refused', { zone, lastContactAgoMs });
    return lease.tryAcquire(undefined, refused);
  }

  /** Stays in contact with the witnesses of a lease, and names others when a majority does not answer. */
  private async maintainContact(zone: string, lease: StoreLease, signal: AbortSignal): Promise<void> {
    let namedAt = -Infinity;
    while (!signal.aborted && this.held.get(zone)?.lease === lease) {
      await this.contacts.contactWitnesses(leaseName(zone), lease);
      const now = this.options.clock.monotonic();
      const isLost =
        lease.contact.withoutMajorityMs() > CONTACT_LOST_AFTER_MS || !this.contacts.canReachMajority(lease);
      if (isLost && now - namedAt > CONTACT_LOST_AFTER_MS) {
        namedAt = now;
        this.options.log.warned('lease_out_of_contact', {
          zone,
          lostMs: Math.round(lease.contact.withoutMajorityMs()),
        });
        // The renewal loop detects whether the lease is lost.
        await lease.renew().catch((error: unknown) => {
          this.options.log.warned('lease_unconfirmed', {
            zone,
            confirmedAgoMs: Math.round(lease.confirmedAgoMs()),
            cause: errorMessage(error),
          });
        });
        await this.contacts.contactWitnesses(leaseName(zone), lease);
      }
      await sleep(
        this.options.clock,
        lease.contact.isFresh ? CONTACT_INTERVAL_MS : LOST_CONTACT_INTERVAL_MS,
        signal,
      );
    }
  }

  private async renewUntilLost(zone: string, lease: StoreLease, signal: AbortSignal): Promise<void> {
    let pauseMs = RENEW_INTERVAL_MS;
    const held = this.held.get(zone);
    while (!signal.aborted) {
      await sleep(this.options.clock, pauseMs, signal);
      // The zone may have been released, and acquired again, meanwhile.
      if (signal.aborted || held === undefined || this.held.get(zone) !== held) return;
      try {
        if (!(await lease.renew())) break;
        pauseMs = RENEW_INTERVAL_MS;
      } catch (error) {
        pauseMs = RENEW_RETRY_INTERVAL_MS;
        this.options.log.warned('lease_unconfirmed', {
          zone,
          confirmedAgoMs: Math.floor(lease.confirmedAgoMs()),
          cause: errorMessage(error),
        });
      }
    }
    if (this.held.get(zone) !== held) return;
    this.held.delete(zone);
    this.options.log.changed('lease_lost', { zone, fence: lease.fence });
  }

  private createCoordinator(zone: string, lease: StoreLease): ZoneResidency {
    const { self, directory, loads, orders, serviceOf, announce, clock, random, log } = this.options;
    const { storeWindow, quarantine, paces, paceProbes } = this.options;
    return new ZoneResidency({
      zone,
      holder: self.id,
      lease,
      directory,
      loads,
      orders,
      serviceOf,
      clock,
      random: random.fork(),
      log,
      storeWindow,
      quarantine,
      uncertainOrders: this.counters.uncertainOrders,
      ...(paces === undefined ? {} : { paces }),
      ...(paceProbes === undefined ? {} : { paceProbes }),
      signal: this.tasks.signal,
      zones: () => this.zones(),
      storeLoadsInOtherZones: () => this.storeLoadsInOtherZones(zone),
      expectedElsewhereInMs: (model) => this.expectedElsewhereInMs(zone, model),
      otherZones: {
        hasCoordinator: (other) => this.held.has(other) || this.options.coordinators.of(other) !== undefined,
        loadsUnderWay: () => this.loadsInOtherZones(zone),
      },
      onStoreChange: () => {
        this.storeSchedule.reportSoon();
      },
      announce,
    });
  }

  /** Returns the weight store loads of the other zones' coordinators, as last reported. */
  private storeLoadsInOtherZones(zone: string): number {
    let loads = 0;
    for (const other of this.zones()) {
      if (other === zone) continue;
      const ownZone = this.held.get(other);
      loads += ownZone?.residency.storeLoads ?? this.options.coordinators.of(other)?.storeLoads ?? 0;
    }
    return loads;
  }

  /**
   * Returns the milliseconds until a model that another zone is loading should be resident there; Infinity
   * when none is loading it.
   */
  private expectedElsewhereInMs(zone: string, model: string): number {
    const loads = this.loadsInOtherZones(zone).filter((load) => load.model === model);
    return Math.min(Infinity, ...loads.map(({ readyInMs }) => readyInMs));
  }

  /** Returns the loads of the other zones' coordinators, as last reported. */
  private loadsInOtherZones(zone: string): LoadUnderWay[] {
    return this.zones()
      .filter((other) => other !== zone)
      .flatMap(
        (other) =>
          this.held.get(other)?.residency.loadsUnderWay ?? this.options.coordinators.of(other)?.loading ?? [],
      );
  }

  private async onDemand(message: ResidencyDemandMessage): Promise<ResidencyDemandAnswer> {
    const held = this.held.get(message.zone);
    if (held === undefined)
      throw new WoodbarrowError('not_leader', 'this daemon does not hold the lease on the zone');
    return held.residency.demand(message);
  }

  /**
   * Returns all zones with workers; those without models still need a quota allocator for their workers' rate
   * limits.
   */
  private coordinatedZones(): Set<string> {
    return new Set(this.options.directory.all().map(({ zone }) => zone));
  }

  /** Returns the zones with workers that run models. */
  private zones(): string[] {
    const zones = new Set<string>();
    for (const backEnd of this.options.directory.all()) {
      if (this.options.serviceOf(backEnd.service)?.engine !== undefined) zones.add(backEnd.zone);
    }
    return [...zones];
  }

  /** Returns the daemon that should acquire a free zone: always the same one, preferably of the zone. */
  private preferredHolder(zone: string): string | undefined {
    const known = this.options.members();
    const connected = known.filter(({ id }) => this.reachesWorkers(id));
    const members = connected.length > 0 ? connected : known;
    const ofZone = members.filter((member) => member.zone === zone);
    return rankByCapacity(zone, ofZone.length > 0 ? ofZone : members)[0]?.id;
  }

  private leaseOf(zone: string): StoreLease {
    let lease = this.leases.get(zone);
    if (lease === undefined) {
      const { self, instance, leases, clock, handoverPauseMs } = this.options;
      lease = new StoreLease({
        name: leaseName(zone),
        chooseWitnesses: (named, unresponsive) => this.contacts.chooseWitnesses(zone, named, unresponsive),
        holder: self.id,
        instance,
        store: leases,
        clock,
        handoverPauseMs,
      });
      this.leases.set(zone, lease);
    }
    return lease;
  }
}

function leaseName(zone: string): string {
  return `zone-${zone}`;
}
