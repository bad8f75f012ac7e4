/** One zone with its workers and a coordinator, on virtual time. */
import { BackendDirectory, LoadTracker, NO_NEARBY_COPIES, type EngineDefinition } from '@woodbarrow/backends';
import { StoreLease, type LeaseRecordStore, type StoredLease } from '@woodbarrow/coordination';
import { silentLog } from '@woodbarrow/observability';
import type { ResidencyDemandAnswer } from '@woodbarrow/protocol';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { UncertainOrderTotals, ZoneResidency } from '../src/index.js';
import { daemonQuarantine, type DaemonQuarantine } from './load-quarantines.js';
import {
  ADAPTER_SLOTS,
  SimulatedOrderClient,
  SimulatedWorker,
  WORKER_MB,
  modelDefinition,
} from './simulated-workers.js';

/** Name of the zone. */
export const ZONE = 'zone-a';
export const SERVICE = 'models';
export const MODELS = Array.from({ length: 12 }, (_, index) => `m${String(index)}`);
export const WITHIN_MS = 8000;

export const ENGINE: EngineDefinition = {
  slots: 8,
  cacheTokens: 100_000,
  weightsMb: WORKER_MB,
  adapterSlots: ADAPTER_SLOTS,
  storeLoadsPerSecond: 100,
  models: new Map(MODELS.map((name) => [name, modelDefinition(name)])),
};

/** Maximum wait for a result in virtual time, in milliseconds. */
const SETTLE_TIMEOUT_MS = 90_000;

/** A lease store in memory that answers immediately. */
export function inMemoryLeaseStore(): LeaseRecordStore {
  let stored: StoredLease | undefined;
  return {
    currentEra: () => ({ era: 0, observedForMs: Infinity }),
    read: () => Promise.resolve(stored),
    create: (_name, record) => Promise.resolve((stored = { record, revision: 1, era: 0 })),
    replace: (_name, record, revision) =>
      Promise.resolve((stored = { record, revision: revision + 1, era: 0 })),
  };
}

/** One zone with its workers and a replaceable coordinator. */
export class ZoneWorld {
  readonly world = new SimulatedWorld();
  readonly workers = new Map<string, SimulatedWorker>();
  readonly random: Random;
  readonly directory: BackendDirectory;
  readonly process: SimulatedProcess;
  readonly orders: SimulatedOrderClient;
  readonly loads: LoadTracker;
  readonly quarantine: DaemonQuarantine;
  engine = ENGINE;
  /** Models that another zone is loading, with the milliseconds until they are resident there. */
  readonly expectedElsewhereInMs = new Map<string, number>();
  /** Loads from the weight store in other zones, as reported. */
  storeLoadsInOtherZones = (): number => 0;
  private readonly leases = inMemoryLeaseStore();
  private runs = 0;

  constructor(seed: number, workerCount = 2) {
    this.random = new Random(seed);
    this.process = new SimulatedProcess(this.world, { name: 'daemon', zone: ZONE, region: 'r' });
    this.directory = new BackendDirectory(this.process);
    this.loads = new LoadTracker(this.process);
    this.orders = new SimulatedOrderClient(this.world, this.process, this.workers, this.random.fork());
    this.quarantine = daemonQuarantine(this.process, this.directory, this.workers);
    for (let index = 0; index < workerCount; index += 1) this.addWorker(`w${String(index)}`);
  }

  private addWorker(id: string): void {
    const models = [`m${String(this.workers.size)}`];
    this.workers.set(id, new SimulatedWorker(this.world, models));
    this.directory.put({
      id,
      name: id,
      service: SERVICE,
      address: '10.0.0.1:1',
      zone: ZONE,
      slots: 8,
      draining: false,
      models: models.map((name) => ({ name, adapters: [] })),
      nearby: NO_NEARBY_COPIES,
    });
  }

  /** Creates a coordinator that knows only what the workers report. */
  async coordinator(): Promise<ZoneResidency> {
    this.runs += 1;
    const lease = new StoreLease({
      name: ZONE,
      holder: 'daemon',
      instance: this.runs,
      lifetimeMs: 3_600_000,
      handoverPauseMs: 0,
      store: this.leases,
      clock: this.process,
    });
    await lease.tryAcquire();
    return new ZoneResidency({
      zone: ZONE,
      holder: 'daemon',
      lease,
      directory: this.directory,
      loads: this.loads,
      orders: this.orders,
      serviceOf: () => ({ name: SERVICE, connectionLimit: 100, engine: this.engine }),
      clock: this.process,
      random: this.random.fork(),
      log: silentLog,
      signal: new AbortController().signal,
      zones: () => [ZONE],
      storeWindow: { windowMs: 5000, overshoot: 1 },
      storeLoadsInOtherZones: () => this.storeLoadsInOtherZones(),
      quarantine: this.quarantine.loads,
      uncertainOrders: new UncertainOrderTotals(),
      expectedElsewhereInMs: (model) => this.expectedElsewhereInMs.get(model) ?? Infinity,
      announce: ({ backEndId, resident, ...target }) => {
        this.directory.announce(backEndId, target, resident);
      },
    });
  }

  async settle<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const marked = promise.finally(() => {
      settled = true;
    });
    await this.world.run(this.world.now + SETTLE_TIMEOUT_MS, () => settled);
    if (!settled) throw new Error(`not settled within ${String(SETTLE_TIMEOUT_MS)} ms of virtual time`);
    return marked;
  }

  violations(): string[] {
    return [...this.workers.values()].flatMap((worker) => worker.violations);
  }
}

/** Sends a demand for a model that may wait {@link WITHIN_MS}. */
export function demand(
  zone: ZoneResidency,
  model: string,
  adapter?: string,
  adapterVersion?: number,
): Promise<ResidencyDemandAnswer> {
  return zone.demand({
    zone: ZONE,
    service: SERVICE,
    model,
    ...(adapter === undefined ? {} : { adapter }),
    ...(adapterVersion === undefined ? {} : { adapterVersion }),
    priority: 1,
    without: [],
    mayUseStore: true,
    withinMs: WITHIN_MS,
  });
}
