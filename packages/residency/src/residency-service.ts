/**
 * A daemon's part in keeping models resident: candidate for the leases of the zones, coordinator of those it
 * holds, and teller of its load to the others.
 */
import type { BackendDirectory, LoadBook, ServiceDefinition, TargetLoad } from '@woodbarrow/backends';
import { StoreLease, ownerByRendezvous, type LeaseRecordStore } from '@woodbarrow/coordination';
import { messageOf, WoodbarrowError } from '@woodbarrow/errors';
import { logTaskFailures, type EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  loadReportMethod,
  residencyChangedMethod,
  residencyDemandMethod,
  type LoadReportMessage,
  type ResidencyChange,
  type ResidencyDemandAnswer,
  type ResidencyDemandMessage,
  type SourcePosition,
} from '@woodbarrow/protocol';
import { BackgroundService, sleep, type Clock } from '@woodbarrow/runtime';
import type { CoordinatorDirectory } from './coordinator-directory.js';
import type { OrderClient } from './order-client.js';
import { ZoneResidency, type StoreWindowOptions } from './zone-residency.js';

/** A daemon as seen by the others. */
export interface Member {
  readonly id: string;
  /** Peer address. */
  readonly address: string;
  readonly zone: string;
}

/** Options of {@link ResidencyService}. */
export interface ResidencyServiceOptions {
  readonly self: Member;
  /** This run of the process. */
  readonly instance: number;
  /** Daemons that may hold roles, this one included. */
  readonly members: () => readonly Member[];
  readonly peers: PeerNetwork;
  readonly directory: BackendDirectory;
  readonly loads: LoadBook;
  readonly coordinators: CoordinatorDirectory;
  readonly leases: LeaseRecordStore;
  readonly orders: OrderClient;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  /** How far this daemon has followed its sources, to be told to others. */
  readonly positions: () => readonly SourcePosition[];
  readonly onPositions: (positions: readonly SourcePosition[]) => void;
  /** Milliseconds that must lie between the orders of two coordinators of a zone. */
  readonly handoverPauseMs: number;
  readonly storeWindow: StoreWindowOptions;
  readonly clock: Clock;
  readonly log: EventLog;
}

const CANDIDATE_PAUSE_MS = 250;
const RENEW_INTERVAL_MS = 3000;
const RENEW_RETRY_MS = 600;
const REPORT_INTERVAL_MS = 300;
const REPORT_TIMEOUT_MS = 1000;
/** Peers that a daemon reports its load to at most; those of its own zone come first. */
const MAXIMUM_REPORT_PEERS = 24;

interface HeldZone {
  readonly lease: StoreLease;
  readonly residency: ZoneResidency;
}

/** Leases, coordination and load reports of one daemon. */
export class ResidencyService extends BackgroundService {
  private readonly leases = new Map<string, StoreLease>();
  private readonly held = new Map<string, HeldZone>();
  private readonly reporting = new Set<string>();
  /** Monotonic time before which a zone's lease is not asked for again. */
  private readonly askAgainAt = new Map<string, number>();
  private leaving = false;

  constructor(private readonly options: ResidencyServiceOptions) {
    super(options.clock, logTaskFailures(options.log));
  }

  /** Starts. The peer network must be listening. */
  start(): void {
    const { peers, directory } = this.options;
    peers.handle(residencyDemandMethod, (message) => this.onDemand(message));
    peers.handle(residencyChangedMethod, (message) => {
      this.applyChanges(message.changes);
      return {};
    });
    peers.handle(loadReportMethod, (message) => {
      this.onReport(message);
      return {};
    });
    directory.events.on('removed', (backEnd) => {
      for (const zone of this.held.values()) zone.residency.forget(backEnd.id);
      this.options.loads.forget(backEnd.id);
    });
    this.tasks.loop(
      'residency.report',
      () => REPORT_INTERVAL_MS,
      () => this.report(),
    );
    this.tasks.loop(
      'residency.candidate',
      () => CANDIDATE_PAUSE_MS,
      () => this.stand(),
    );
  }

  /** Fence of each zone that this daemon coordinates. */
  fencesHeld(): ReadonlyMap<string, number> {
    return new Map([...this.held].map(([zone, { lease }]) => [zone, lease.fence]));
  }

  /** Gives all leases back: a planned stop. */
  async leave(): Promise<void> {
    this.leaving = true;
    const held = [...this.held.entries()];
    this.held.clear();
    for (const [zone, { lease }] of held) {
      await lease.release().catch(() => undefined);
      this.options.log.changed('lease_released', { zone, fence: lease.fence });
    }
    this.tellAll();
  }

  /** Takes a free zone if this daemon is next in line for it. */
  private async stand(): Promise<void> {
    if (this.leaving) return;
    for (const zone of this.zones()) {
      if (this.held.has(zone) || this.options.coordinators.of(zone) !== undefined) continue;
      if (this.options.clock.monotonic() < (this.askAgainAt.get(zone) ?? 0)) continue;
      if (this.firstInLine(zone) === this.options.self.id) await this.tryTake(zone);
    }
  }

  private async tryTake(zone: string): Promise<void> {
    const lease = this.leaseOf(zone);
    const result = await lease.tryAcquire();
    if (result.kind === 'waiting') {
      // One zone that must be waited for does not hold up the others.
      const pauseMs = Math.min(result.retryAfterMs, RENEW_INTERVAL_MS);
      this.askAgainAt.set(zone, this.options.clock.monotonic() + pauseMs);
      return;
    }
    this.options.log.changed('lease_gained', {
      zone,
      fence: lease.fence,
      actsInMs: Math.round(lease.actsInMs()),
    });
    this.held.set(zone, { lease, residency: this.coordinate(zone, lease) });
    this.tasks.spawn(`residency.renew ${zone}`, (signal) => this.keep(zone, lease, signal));
    this.tellAll();
  }

  private async keep(zone: string, lease: StoreLease, signal: AbortSignal): Promise<void> {
    let pauseMs = RENEW_INTERVAL_MS;
    while (!signal.aborted) {
      await sleep(this.options.clock, pauseMs, signal);
      if (signal.aborted || !this.held.has(zone)) return;
      try {
        if (!(await lease.renew())) break;
        pauseMs = RENEW_INTERVAL_MS;
      } catch (error) {
        pauseMs = RENEW_RETRY_MS;
        this.options.log.warned('lease_unconfirmed', {
          zone,
          confirmedAgoMs: Math.round(lease.confirmedAgoMs()),
          cause: messageOf(error),
        });
      }
    }
    this.held.delete(zone);
    this.options.log.changed('lease_lost', { zone, fence: lease.fence });
  }

  private coordinate(zone: string, lease: StoreLease): ZoneResidency {
    const { self, directory, loads, orders, serviceOf, clock, log, storeWindow } = this.options;
    return new ZoneResidency({
      zone,
      holder: self.id,
      lease,
      directory,
      loads,
      orders,
      serviceOf,
      clock,
      log,
      storeWindow,
      signal: this.tasks.signal,
      zoneCount: () => this.zones().length,
      announce: (change) => {
        this.announce(change);
      },
    });
  }

  private async onDemand(message: ResidencyDemandMessage): Promise<ResidencyDemandAnswer> {
    const held = this.held.get(message.zone);
    if (held === undefined) throw new WoodbarrowError('not_leader', 'no lease on that zone');
    return held.residency.demand(message);
  }

  private announce(change: ResidencyChange): void {
    this.applyChanges([change]);
    for (const member of this.others()) {
      this.options.peers
        .call(member.address, residencyChangedMethod, { changes: [change] }, { timeoutMs: REPORT_TIMEOUT_MS })
        .catch(() => undefined);
    }
  }

  private applyChanges(changes: readonly ResidencyChange[]): void {
    for (const { backEndId, model, adapter, resident } of changes) {
      const target = adapter === undefined ? { model } : { model, adapter };
      this.options.directory.announce(backEndId, target, resident);
    }
  }

  private report(): Promise<void> {
    this.tellAll();
    return Promise.resolve();
  }

  /** Sends this daemon's load and claims to the others; one that has not answered the last is passed over. */
  private tellAll(): void {
    const { self, loads, coordinators, peers, positions } = this.options;
    const claims = [...this.held.entries()].map(([zone, { lease }]) => ({ zone, fence: lease.fence }));
    coordinators.accept(self.id, self.address, claims);
    const message: LoadReportMessage = {
      from: self.id,
      claims,
      loads: loads.takeReport().map(toEntry),
      positions: positions(),
    };
    for (const member of this.others()) {
      if (this.reporting.has(member.id)) continue;
      this.reporting.add(member.id);
      peers
        .call(member.address, loadReportMethod, message, { timeoutMs: REPORT_TIMEOUT_MS })
        .catch(() => undefined)
        .finally(() => this.reporting.delete(member.id));
    }
  }

  private onReport(message: LoadReportMessage): void {
    const { loads, coordinators, members, onPositions } = this.options;
    onPositions(message.positions);
    loads.acceptReport(
      message.from,
      message.loads.map((entry) => ({
        backEndId: entry.b,
        target: entry.t,
        requests: entry.r,
        unreadTokens: entry.u,
        heldTokens: entry.h,
        started: entry.s,
      })),
    );
    const sender = members().find((member) => member.id === message.from);
    if (sender !== undefined) coordinators.accept(sender.id, sender.address, message.claims);
  }

  private others(): Member[] {
    const { self, members } = this.options;
    const others = members().filter((member) => member.id !== self.id);
    if (others.length <= MAXIMUM_REPORT_PEERS) return others;
    const isNear = (member: Member): number => (member.zone === self.zone ? 0 : 1);
    return others.sort((left, right) => isNear(left) - isNear(right)).slice(0, MAXIMUM_REPORT_PEERS);
  }

  /** Zones with workers that run models. */
  private zones(): string[] {
    const zones = new Set<string>();
    for (const backEnd of this.options.directory.all()) {
      if (this.options.serviceOf(backEnd.service)?.engine !== undefined) zones.add(backEnd.zone);
    }
    return [...zones];
  }

  /** Who takes a free zone: a daemon of the zone before others, always the same one. */
  private firstInLine(zone: string): string | undefined {
    const members = this.options.members();
    const ofZone = members.filter((member) => member.zone === zone);
    return ownerByRendezvous(zone, ofZone.length > 0 ? ofZone : members)?.id;
  }

  private leaseOf(zone: string): StoreLease {
    let lease = this.leases.get(zone);
    if (lease === undefined) {
      const { self, instance, leases, clock, handoverPauseMs } = this.options;
      lease = new StoreLease({
        name: `zone-${zone}`,
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

function toEntry(load: TargetLoad): LoadReportMessage['loads'][number] {
  return {
    b: load.backEndId,
    t: load.target,
    r: load.requests,
    u: load.unreadTokens,
    h: load.heldTokens,
    s: load.started,
  };
}
