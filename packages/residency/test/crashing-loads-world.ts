/**
 * Several zones with a coordinator each, on virtual time, and loads that crash every worker that starts them.
 */
import { BackendDirectory, LoadTracker, NO_NEARBY_COPIES, type ModelTarget } from '@woodbarrow/backends';
import { StoreLease } from '@woodbarrow/coordination';
import { silentLog } from '@woodbarrow/observability';
import type { LoadUnderWay, ResidencyDemandAnswer } from '@woodbarrow/protocol';
import {
  isVerdict,
  type QuarantineEntry,
  type QuarantineRecord,
  type QuarantineStore,
} from '@woodbarrow/quarantine';
import { Random, SimulatedProcess, SimulatedWorld, type Clock } from '@woodbarrow/runtime';
import { ZoneResidency, UncertainOrderTotals } from '../src/index.js';
import { daemonQuarantine, type DaemonQuarantine } from './load-quarantines.js';
import { SimulatedOrderClient, SimulatedWorker } from './simulated-workers.js';
import { ENGINE, SERVICE, inMemoryLeaseStore } from './zone-world.js';

/** Time until another process replaces one that has exited, in milliseconds. */
const RESTART_MS = 1500;
/** Interval at which coordinators report their loads, in milliseconds. */
const CLAIM_INTERVAL_MS = 300;
/** Interval of the coordinators' periodic maintenance, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 500;
/** Delay until all daemons know of a crash, in milliseconds. */
const CRASH_REPORT_DELAY_MS = 300;
/** Number of workers in each zone. */
export const WORKERS_PER_ZONE = 4;
/** Time for which a request for a model may wait, in milliseconds. */
const WITHIN_MS = 8000;

/** A zone with its coordinator. */
export interface CoordinatedZone {
  readonly name: string;
  readonly coordinator: ZoneResidency;
  readonly quarantine: DaemonQuarantine;
}

/** Several zones. All daemons see the same records at once, and learn of other zones' loads with a delay. */
export class CrashingLoadsWorld {
  readonly world = new SimulatedWorld();
  readonly zones: CoordinatedZone[] = [];
  /** Ids of the workers that have exited, in order. */
  readonly exitedWorkers: string[] = [];
  /** Answers to all settled demands. */
  readonly answers: ResidencyDemandAnswer[] = [];
  readonly workers = new Map<string, SimulatedWorker>();
  readonly directory: BackendDirectory;
  /** Entries in the store. */
  private readonly entries = new Map<string, QuarantineEntry>();
  private readonly process: SimulatedProcess;
  private readonly random: Random;
  private readonly reportedLoads = new Map<string, readonly LoadUnderWay[]>();
  private startedWorkers = 0;
  /** Store of the quarantine records, as used by operators and daemons. */
  readonly store: QuarantineStore = {
    create: (record) => {
      if (!this.entries.has(record.content)) this.entries.set(record.content, record);
      for (const { quarantine } of this.zones) quarantine.contents.handleRecordStored(record);
      return Promise.resolve();
    },
    claim: () => Promise.resolve(true),
    remove: (content) => {
      this.entries.delete(content);
      for (const { quarantine } of this.zones) quarantine.contents.handleRecordRemoved(content);
      return Promise.resolve();
    },
  };

  /** Verdicts in the store. */
  get records(): ReadonlyMap<string, QuarantineRecord> {
    const verdicts = [...this.entries.values()].filter(isVerdict);
    return new Map(verdicts.map((record) => [record.content, record]));
  }

  /** @param crashesUnder Whether a load crashes the worker that starts it. */
  constructor(
    seed: number,
    private readonly crashesUnder: (target: ModelTarget) => boolean,
  ) {
    this.random = new Random(seed);
    this.process = new SimulatedProcess(this.world, { name: 'scene', zone: 'a', region: 'r' });
    this.directory = new BackendDirectory(this.process);
  }

  /** Adds zones, each with its own workers and coordinator. */
  async start(zoneCount: number): Promise<void> {
    const names = Array.from({ length: zoneCount }, (_, index) => `zone-${String(index)}`);
    for (const name of names) {
      for (let index = 0; index < WORKERS_PER_ZONE; index += 1) this.addWorker(name);
    }
    for (const name of names) this.zones.push(await this.coordinate(name, names));
    this.repeat(CLAIM_INTERVAL_MS, () => {
      for (const { name, coordinator } of this.zones) this.reportedLoads.set(name, coordinator.loadsUnderWay);
    });
    this.repeat(MAINTENANCE_INTERVAL_MS, () => {
      for (const { coordinator } of this.zones) coordinator.maintain(SERVICE);
    });
  }

  /** Replaces all coordinators; only the store retains its data. */
  async restartAll(): Promise<void> {
    const names = this.zones.splice(0).map(({ name }) => name);
    for (const name of names) this.zones.push(await this.coordinate(name, names));
  }

  /** Whether any daemon refuses to load a target. */
  isQuarantined(target: ModelTarget): boolean {
    return this.zones.some(({ quarantine }) => quarantine.loads.verdictOf(SERVICE, target) !== undefined);
  }

  async advance(durationMs: number): Promise<void> {
    await this.world.run(this.world.now + durationMs);
  }

  /** Requests a target repeatedly, in all zones or in some. */
  async keepAsking(target: ModelTarget, durationMs: number, zones = this.zones): Promise<void> {
    const until = this.world.now + durationMs;
    while (this.world.now < until) {
      for (const zone of zones) this.ask(zone, target);
      await this.advance(400);
    }
  }

  /** Returns the ids of the workers of a zone that hold a model. */
  holdersIn({ name }: CoordinatedZone, model: string): string[] {
    const holders = [...this.workers].filter(([, worker]) => !worker.hasExited && worker.models.has(model));
    return holders.map(([id]) => id).filter((id) => this.directory.get(id)?.zone === name);
  }

  /**
   * Requests a target once; the answer is added to {@link answers}.
   *
   * @param without Ids of workers that must not be used.
   */
  ask({ name, coordinator }: CoordinatedZone, target: ModelTarget, without: readonly string[] = []): void {
    const message = {
      zone: name,
      service: SERVICE,
      ...target,
      priority: 1,
      without,
      mayUseStore: true,
      withinMs: WITHIN_MS,
    };
    void coordinator.demand(message).then((answer) => this.answers.push(answer));
  }

  private repeat(pauseMs: number, action: () => void): void {
    this.process.schedule(pauseMs, () => {
      action();
      this.repeat(pauseMs, action);
    });
  }

  private addWorker(zone: string): void {
    this.startedWorkers += 1;
    const id = `w${String(this.startedWorkers)}`;
    const worker = new SimulatedWorker(this.world, [], {
      crashesUnder: this.crashesUnder,
      onExit: () => {
        this.exitedWorkers.push(id);
        this.world.schedule(RESTART_MS, () => {
          this.replace(id, zone);
        });
      },
    });
    this.workers.set(id, worker);
    this.directory.put({
      id,
      name: id,
      service: SERVICE,
      address: `address-of-${id}`,
      zone,
      slots: 8,
      draining: false,
      models: [],
      nearby: NO_NEARBY_COPIES,
    });
  }

  private replace(id: string, zone: string): void {
    const worker = this.workers.get(id);
    if (worker !== undefined) worker.isReplaced = true;
    this.directory.recordVanished(id);
    this.addWorker(zone);
  }

  private async coordinate(name: string, zones: readonly string[]): Promise<CoordinatedZone> {
    const process = new SimulatedProcess(this.world, { name: `daemon-${name}`, zone: name, region: 'r' });
    const lease = new StoreLease({
      name,
      holder: process.name,
      instance: 1,
      lifetimeMs: 3_600_000,
      handoverPauseMs: 0,
      store: inMemoryLeaseStore(),
      clock: process,
    });
    await lease.tryAcquire();
    const quarantine = this.addQuarantine(process);
    const coordinator = new ZoneResidency({
      zone: name,
      holder: process.name,
      lease,
      directory: this.directory,
      loads: new LoadTracker(process),
      orders: new SimulatedOrderClient(this.world, process, this.workers, this.random.fork()),
      serviceOf: () => ({ name: SERVICE, connectionLimit: 100, engine: ENGINE }),
      clock: process,
      random: this.random.fork(),
      log: silentLog,
      signal: new AbortController().signal,
      zones: () => zones,
      storeWindow: { windowMs: 5000, overshoot: 1 },
      storeLoadsInOtherZones: () => 0,
      quarantine: quarantine.loads,
      uncertainOrders: new UncertainOrderTotals(),
      expectedElsewhereInMs: (model) => this.expectedElsewhereInMs(name, model),
      announce: ({ backEndId, resident, ...target }) => {
        this.directory.announce(backEndId, target, resident);
      },
    });
    return { name, coordinator, quarantine };
  }

  private addQuarantine(clock: Clock): DaemonQuarantine {
    const quarantine = daemonQuarantine(clock, this.directory, this.workers, this.store);
    quarantine.contents.handleRecordsListed([...this.entries.values()]);
    quarantine.contents.onMarksChanged = () => {
      this.world.schedule(CRASH_REPORT_DELAY_MS, () => {
        for (const { quarantine: other } of this.zones) {
          if (other !== quarantine) other.contents.merge(quarantine.contents.entries());
        }
      });
    };
    return quarantine;
  }

  private expectedElsewhereInMs(zone: string, model: string): number {
    const others = [...this.reportedLoads].filter(([name]) => name !== zone).flatMap(([, loads]) => loads);
    const times = others.filter((load) => load.model === model).map(({ readyInMs }) => readyInMs);
    return Math.min(Infinity, ...times);
  }
}
