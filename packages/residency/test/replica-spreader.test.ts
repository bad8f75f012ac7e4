import { expect } from 'chai';
import { NO_NEARBY_COPIES, UNIFORM_PACE, type EngineDefinition } from '@woodbarrow/backends';
import { silentLog, type EventDetails } from '@woodbarrow/observability';
import type { LoadUnderWay } from '@woodbarrow/protocol';
import {
  ReplicaSpreader,
  type DemandLimits,
  type LoadScheduler,
  type OtherZones,
  type SpreadableWorker,
  type ZoneResidency,
} from '../src/index.js';
import { ENGINE, MODELS, SERVICE, ZONE, ZoneWorld } from './zone-world.js';
import { modelDefinition } from './simulated-workers.js';

const SLOW_ENGINE: EngineDefinition = {
  ...ENGINE,
  models: new Map(MODELS.map((name) => [name, { ...modelDefinition(name), storeLoadMs: 13_200 }])),
};
/** Requests that fill a holder. */
const FULL = 8;

/** A zone whose worker `w0` is full of requests for `m0`; the others have copies of it. */
class SpreadZone extends ZoneWorld {
  private coordinating: ZoneResidency | undefined;

  constructor(workerCount: number, engine: EngineDefinition) {
    super(5, workerCount);
    this.engine = engine;
    this.changeWorkers({ nearby: { inMemory: [], onDisk: ['m0'] } });
    for (let index = 0; index < FULL; index += 1) this.request('w0', 'm0');
  }

  changeWorkers(changes: object): void {
    for (const backEnd of this.directory.ofService(SERVICE)) this.directory.put({ ...backEnd, ...changes });
  }

  request(backEndId: string, model: string): void {
    this.loads.recordDemand(model);
    this.loads.start(backEndId, { model }, { promptTokens: 1, outputTokens: 1 });
  }

  /** Loads a model on one worker from a copy on its disk, as if for a request. */
  async load(backEndId: string, model: string): Promise<void> {
    this.coordinating ??= await this.coordinator();
    const backEnd = this.directory.get(backEndId);
    if (backEnd === undefined) throw new Error(`no worker ${backEndId}`);
    const onDisk = [...backEnd.nearby.onDisk, model];
    this.directory.put({ ...backEnd, nearby: { inMemory: [], onDisk } });
    const without = [...this.workers.keys()].filter((id) => id !== backEndId);
    const demand = { zone: ZONE, service: SERVICE, model, priority: 1, without, mayUseStore: false };
    await this.settle(this.coordinating.demand({ ...demand, withinMs: 60_000 }));
  }

  /** Lets a coordinator read the workers and decide every 0.4 s. */
  async runSpread(durationMs: number): Promise<ZoneResidency> {
    this.coordinating ??= await this.coordinator();
    const coordinator = this.coordinating;
    const end = this.world.now + durationMs;
    while (this.world.now < end) {
      coordinator.maintain(SERVICE);
      await this.world.run(this.world.now + 400);
      coordinator.spreadReplicas({ name: SERVICE, connectionLimit: 1, engine: this.engine });
    }
    return coordinator;
  }

  holders(model: string): string[] {
    return [...this.workers].filter(([, worker]) => worker.models.has(model)).map(([id]) => id);
  }
}

describe('ZoneResidency with slow loads', () => {
  it('adds a replica without any request that asks for it', async () => {
    const zone = new SpreadZone(2, SLOW_ENGINE);
    const coordinator = await zone.runSpread(2000);
    expect(zone.holders('m0')).to.deep.equal(['w0', 'w1']);
    expect(coordinator.replicaCounts.loaded).to.equal(1);
    expect([...coordinator.replicaCounts.decided]).to.deep.equal([['load', 1]]);
  });

  it('does nothing for a service without slow loads', async () => {
    const zone = new SpreadZone(2, ENGINE);
    const coordinator = await zone.runSpread(2000);
    expect(zone.holders('m0')).to.deep.equal(['w0']);
    expect(coordinator.replicaCounts.decided.size).to.equal(0);
    expect([...zone.workers.values()].flatMap(({ fences }) => fences)).to.deep.equal([]);
  });

  it('evicts neither the last replica of a model in use nor the last reachable copy', async () => {
    const zone = new SpreadZone(2, SLOW_ENGINE);
    const worker = zone.workers.get('w1');
    // Without the rule, the model that was loaded first would be the cheapest to evict.
    await zone.load('w1', 'm3');
    await zone.load('w1', 'm2');
    const backEnd = zone.directory.get('w0');
    if (backEnd === undefined) throw new Error('no worker');
    zone.directory.put({ ...backEnd, nearby: { inMemory: [], onDisk: ['m1', 'm2'] } });
    zone.loads.recordDemand('m1');
    await zone.runSpread(2000);
    expect([...(worker?.models.keys() ?? [])].sort()).to.deep.equal(['m0', 'm1', 'm3']);
  });

  it('chooses another worker when an order is lost, and never exceeds the memory of a worker', async () => {
    const zone = new SpreadZone(3, SLOW_ENGINE);
    zone.orders.faults = { answerLost: 0, appliedLate: 1 };
    await zone.runSpread(2000);
    expect(zone.holders('m0')).to.deep.equal(['w0']);
    zone.orders.faults = { answerLost: 0, appliedLate: 0 };
    await zone.runSpread(6000);
    expect(zone.holders('m0').length).to.be.above(1);
    await zone.runSpread(15_000);
    expect(zone.violations()).to.deep.equal([]);
  });
});

describe('ReplicaSpreader', () => {
  /** Returns the workers on which a zone loads when a worker of `zone-b` is the better one. */
  function loadsHere(
    otherZones: OtherZones,
    onWait: (limits: DemandLimits) => void = () => undefined,
  ): string[] {
    const zone = new SpreadZone(2, SLOW_ENGINE);
    const own = zone.directory.get('w1');
    if (own === undefined) throw new Error('no worker');
    zone.directory.put({ ...own, id: 'b1', name: 'b1', zone: 'zone-b' });
    zone.directory.put({ ...own, id: 'b2', name: 'b2', zone: 'zone-b', nearby: NO_NEARBY_COPIES });
    zone.loads.startWaiting({ model: 'm0' }, 2);
    const logged: EventDetails[] = [];
    const scheduler: Pick<LoadScheduler, 'quote' | 'wait' | 'loadsUnderWay'> = {
      quote: () => ({ readyMs: 600, occupiesMs: 600 }),
      wait: (_wanted, _times, limits) => {
        onWait(limits);
        return new Promise(() => undefined);
      },
      loadsUnderWay: () => [],
    };
    const spreader = new ReplicaSpreader({
      zone: ZONE,
      directory: zone.directory,
      loads: zone.loads,
      paces: { paceOf: (id) => (id === 'b1' ? 0.6 : UNIFORM_PACE.paceOf(id)) },
      quarantine: zone.quarantine.loads,
      scheduler,
      otherZones,
      workersOf: () => [readyWorker('w0'), readyWorker('w1')],
      clock: zone.process,
      log: { ...silentLog, changed: (_, details = {}) => logged.push(details) },
    });
    spreader.spread({ name: SERVICE, connectionLimit: 1, engine: SLOW_ENGINE });
    for (const { load } of logged) expect(load, 'requests in progress and waiting').to.equal(FULL + 1);
    return logged.map(({ backEnd }) => String(backEnd));
  }

  function readyWorker(backEndId: string): SpreadableWorker {
    return { backEndId, isSynchronized: true, isResponsive: true, busyMs: 0 };
  }

  const loadingOnB1: LoadUnderWay = { model: 'm9', readyInMs: 500, backEndId: 'b1' };

  it("leaves a decision to the worker's own zone while that zone has a coordinator", () => {
    expect(loadsHere({ hasCoordinator: () => true, loadsUnderWay: () => [] })).to.deep.equal([]);
  });

  it('chooses a worker here when the coordinator of the other zone is lost or its worker is busy', () => {
    expect(loadsHere({ hasCoordinator: () => false, loadsUnderWay: () => [] })).to.deep.equal(['w1']);
    expect(loadsHere({ hasCoordinator: () => true, loadsUnderWay: () => [loadingOnB1] })).to.deep.equal([
      'w1',
    ]);
  });

  it('excludes only workers of its own zone, which alone the scheduler considers', () => {
    const excluded: string[][] = [];
    loadsHere({ hasCoordinator: () => false, loadsUnderWay: () => [] }, ({ without }) => {
      excluded.push([...without]);
    });
    expect(excluded).to.deep.equal([['w0']]);
  });

  it('looks up the coordinator of a zone once per pass, not once per worker', () => {
    const zones: string[] = [];
    const hasCoordinator = (zone: string): boolean => zones.push(zone) > 0;
    loadsHere({ hasCoordinator, loadsUnderWay: () => [] });
    expect(zones.filter((zone) => zone === 'zone-b')).to.have.length(1);
  });
});
