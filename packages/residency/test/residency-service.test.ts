import { expect } from 'chai';
import {
  BackendDirectory,
  LoadTracker,
  NO_NEARBY_COPIES,
  WorkerPaces,
  type ModelDefinition,
} from '@woodbarrow/backends';
import type { ObservedEra, LeaseRecord, LeaseRecordStore, StoredLease } from '@woodbarrow/coordination';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster } from '@woodbarrow/peering';
import { Random } from '@woodbarrow/runtime';
import { CoordinatorDirectory, PeerExchange, type FollowedRecords } from '@woodbarrow/exchange';
import { ResidencyService, type OrderClient, type RunningMember } from '../src/index.js';
import { modelDefinition } from './simulated-workers.js';
import { daemonQuarantine } from './load-quarantines.js';

const ZONES = ['alpha', 'beta', 'gamma'];

/** Stores leases in memory and records every write with its time. */
class LeaseStore implements LeaseRecordStore {
  readonly writes: { readonly name: string; readonly record: LeaseRecord; readonly at: number }[] = [];
  private readonly stored = new Map<string, StoredLease>();

  constructor(private readonly now: () => number) {}

  currentEra(): ObservedEra {
    return { era: 0, observedForMs: Infinity };
  }

  /** Whether calls are answered. */
  isReachable = true;

  read(name: string): Promise<StoredLease | undefined> {
    return this.isReachable ? Promise.resolve(this.stored.get(name)) : Promise.reject(new Error('no answer'));
  }

  /** Writes a record unconditionally. */
  put(name: string, record: LeaseRecord): Promise<StoredLease> {
    return Promise.resolve(this.write(name, record, (this.stored.get(name)?.revision ?? 0) + 1));
  }

  create(name: string, record: LeaseRecord): Promise<StoredLease | undefined> {
    return Promise.resolve(this.stored.has(name) ? undefined : this.write(name, record, 1));
  }

  replace(name: string, record: LeaseRecord, revision: number): Promise<StoredLease | undefined> {
    if (!this.isReachable) return Promise.reject(new Error('no answer'));
    const isCurrent = this.stored.get(name)?.revision === revision;
    return Promise.resolve(isCurrent ? this.write(name, record, revision + 1) : undefined);
  }

  private write(name: string, record: LeaseRecord, revision: number): StoredLease {
    const stored = { record, revision, era: 0 };
    this.stored.set(name, stored);
    this.writes.push({ name, record, at: this.now() });
    return stored;
  }
}

const noOrders: OrderClient = {
  send: () => Promise.resolve('unknown'),
  report: () => Promise.resolve(undefined),
};

const noRecords: FollowedRecords = {
  sets: [],
  isFollowing: true,
  followStore: () => undefined,
  observePositions: () => undefined,
};

/** Daemons of three zones with one worker per zone. */
class ServiceWorld {
  readonly cluster = new SimulatedCluster({ seed: 1 });
  readonly store = new LeaseStore(() => this.cluster.world.now);
  readonly members = new Map<string, RunningMember>();
  /** Services by daemon. */
  readonly services = new Map<string, ResidencyService>();
  private runs = 0;

  constructor(private readonly models: ReadonlyMap<string, ModelDefinition> = new Map()) {}

  async start(name: string, zone: string): Promise<() => void> {
    const node = await this.cluster.add(name, zone);
    const self = { id: name, address: node.peers.address, zone, capacity: 100, instance: this.runs + 1 };
    this.members.set(name, self);
    const directory = new BackendDirectory(node.process);
    for (const workerZone of ZONES) {
      directory.put({
        id: `worker-${workerZone}`,
        name: `worker-${workerZone}`,
        service: 'models',
        address: '10.0.0.1:1',
        zone: workerZone,
        slots: 1,
        draining: false,
        models: [],
        nearby: NO_NEARBY_COPIES,
      });
    }
    this.runs += 1;
    const engine = {
      slots: 1,
      cacheTokens: 1,
      weightsMb: 1,
      adapterSlots: 1,
      storeLoadsPerSecond: 1,
      models: this.models,
    };
    // A daemon that has just started knows only itself.
    const members = (): RunningMember[] =>
      node.process.monotonic() < 1000 ? [self] : [...this.members.values()];
    const loads = new LoadTracker(node.process);
    const coordinators = new CoordinatorDirectory(node.process, name);
    const exchange: PeerExchange = new PeerExchange({
      crashMarks: { digest: 0, entries: () => [], merge: () => undefined },
      self,
      members,
      isGroupKnown: () => true,
      peers: node.peers,
      loads,
      paces: new WorkerPaces(node.process),
      coordinators,
      records: noRecords,
      urgentSources: [],
      ownClaims: () => service.claims(),
      onBackendNews: () => undefined,
      onChanges: () => undefined,
      failures: new CallFailures(node.process, silentLog),
      clock: node.process,
      log: silentLog,
    });
    const service = new ResidencyService({
      self,
      instance: this.runs,
      members,
      knownMembers: () => members().map((member) => ({ ...member, isPresent: true })),
      isGroupKnown: () => true,
      peers: node.peers,
      directory,
      loads,
      coordinators,
      announce: (change) => {
        exchange.announce(change);
      },
      onClaimsChanged: () => {
        exchange.reportNow();
      },
      leases: this.store,
      orders: noOrders,
      serviceOf: () => ({ name: 'models', connectionLimit: 1, engine }),
      handoverPauseMs: 3000,
      storeWindow: { windowMs: 5000, overshoot: 1 },
      quarantine: daemonQuarantine(node.process, directory).loads,
      failures: new CallFailures(node.process, silentLog),
      clock: node.process,
      random: new Random(1),
      log: silentLog,
    });
    this.services.set(name, service);
    exchange.start();
    service.start();
    return () => {
      exchange.abort();
      service.abort();
      node.process.kill();
    };
  }

  holderOf(zone: string): string | undefined {
    return this.lastWrite(zone)?.holder;
  }

  fenceOf(zone: string): number | undefined {
    return this.lastWrite(zone)?.fence;
  }

  lastWrite(zone: string): LeaseRecord | undefined {
    const writes = this.store.writes.filter((write) => write.name === `zone-${zone}`);
    return writes[writes.length - 1]?.record;
  }
}

describe('ResidencyService', () => {
  /** Returns the daemons that schedule the weight store, among three with one zone each. */
  async function schedulers(model: ModelDefinition): Promise<string[]> {
    const world = new ServiceWorld(new Map([[model.name, model]]));
    for (const zone of ZONES) await world.start(`daemon-${zone}`, zone);
    await world.cluster.advance(6000);
    const alpha = world.holderOf('alpha');
    return [...world.services].flatMap(([name, service]) =>
      service.storeScheduleTotals().isScheduler ? [name === alpha ? 'holder of alpha' : name] : [],
    );
  }

  it('schedules the weight store at the coordinator of the first zone, only with slow loads', async () => {
    expect(await schedulers({ ...modelDefinition('m'), storeLoadMs: 12_000 })).to.deep.equal([
      'holder of alpha',
    ]);
    expect(await schedulers(modelDefinition('m'))).to.deep.equal([]);
  });

  // Otherwise it would go on with old grants, without waiting for those of its successor, once it coordinates a zone again.
  it('gives up the schedule of the weight store with its last zone', async () => {
    const world = new ServiceWorld(new Map([['m', { ...modelDefinition('m'), storeLoadMs: 12_000 }]]));
    for (const zone of ZONES) await world.start(`daemon-${zone}`, zone);
    await world.cluster.advance(6000);
    const scheduler = world.services.get(world.holderOf('alpha') ?? '');
    expect(scheduler?.storeScheduleTotals().isScheduler).to.equal(true);
    await scheduler?.leave();
    await world.cluster.advance(1000);
    expect(scheduler?.storeScheduleTotals().isScheduler).to.equal(false);
  });

  it('resumes its leases at once after a restart, independently of each other', async () => {
    const world = new ServiceWorld();
    const stops = new Map<string, () => void>();
    for (const zone of ZONES) {
      stops.set(zone, await world.start(`daemon-${zone}`, zone));
      await world.cluster.advance(2000);
    }
    // The first daemon to start acquired all zones, and keeps them.
    const holder = world.holderOf('gamma') ?? '';
    const zone = holder.replace('daemon-', '');
    stops.get(zone)?.();
    await world.cluster.advance(500);
    const restartedAt = world.cluster.world.now;
    await world.start(holder, zone);
    await world.cluster.advance(800);
    const retaken = world.store.writes.filter(
      (write) => write.at >= restartedAt && write.record.holder === holder,
    );
    expect(new Set(retaken.map((write) => write.name)).size).to.equal(ZONES.length);
  });

  /** Daemons of three zones, each zone coordinated by one of its daemons, with witnesses chosen. */
  async function settledWorld(): Promise<{ world: ServiceWorld; stops: Map<string, () => void> }> {
    const world = new ServiceWorld();
    const stops = new Map<string, () => void>();
    for (let index = 0; index < 6; index += 1) {
      const name = `daemon-${String(index)}`;
      stops.set(name, await world.start(name, ZONES[index % 3] ?? ''));
    }
    await world.cluster.advance(6000);
    return { world, stops };
  }

  it('replaces a lost coordinator within seconds, before its lease expires', async () => {
    const { world, stops } = await settledWorld();
    const holder = world.holderOf('beta') ?? '';
    stops.get(holder)?.();
    world.members.delete(holder);
    await world.cluster.advance(3500);
    expect(world.holderOf('beta')).not.to.be.oneOf([holder, '', undefined]);
  });

  it('names other witnesses as soon as a majority of its own is known to have restarted', async () => {
    const { world, stops } = await settledWorld();
    const holder = world.holderOf('beta') ?? '';
    // Wait for a renewal, so that the next periodic one is far away.
    const renewals = world.store.writes.length;
    while (world.store.writes.slice(renewals).every(({ name }) => name !== 'zone-beta'))
      await world.cluster.advance(50);
    for (const { id } of world.lastWrite('beta')?.witnesses ?? []) {
      stops.get(id)?.();
      await world.start(id, world.members.get(id)?.zone ?? '');
    }
    await world.cluster.advance(600);
    const current = [...world.members.values()].map(({ id, instance }) => `${id} ${String(instance)}`);
    const named = world.lastWrite('beta')?.witnesses.map(({ id, instance }) => `${id} ${String(instance)}`);
    expect(world.holderOf('beta')).to.equal(holder);
    expect(current).to.include.members(named ?? []);
  });

  it('does not replace a coordinator that has lost contact only with the store', async () => {
    const { world } = await settledWorld();
    const holder = world.holderOf('beta');
    world.store.isReachable = false;
    await world.cluster.advance(4000);
    world.store.isReachable = true;
    await world.cluster.advance(3000);
    expect(world.holderOf('beta')).to.equal(holder);
  });

  it('lets a restarted coordinator resume its lease even if another daemon is the preferred holder', async () => {
    const { world, stops } = await settledWorld();
    const [lastInLine = ''] = [...world.members.keys()].filter((name) => name !== world.holderOf('gamma'));
    await world.store.put('zone-gamma', {
      holder: lastInLine,
      instance: 0,
      fence: 9,
      lifetimeMs: 60_000,
      renewal: 0,
      witnesses: [],
      pauseMs: 0,
    });
    for (const stop of stops.values()) stop();
    for (const [name, { zone }] of [...world.members]) await world.start(name, zone);
    await world.cluster.advance(3000);
    expect(world.holderOf('gamma')).to.equal(lastInLine);
    expect(world.fenceOf('gamma')).to.equal(10);
  });

  it('acquires free zones without waiting for a zone that another daemon holds', async () => {
    const world = new ServiceWorld();
    await world.store.create('zone-alpha', {
      holder: 'other',
      instance: 1,
      fence: 4,
      lifetimeMs: 12_000,
      renewal: 0,
      witnesses: [],
      pauseMs: 0,
    });
    await world.start('daemon-beta', 'beta');
    await world.cluster.advance(1000);
    expect(world.holderOf('beta')).to.equal('daemon-beta');
    expect(world.holderOf('gamma')).to.equal('daemon-beta');
    expect(world.holderOf('alpha')).to.equal('other');
  });
});
