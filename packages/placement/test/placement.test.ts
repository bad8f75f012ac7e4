import { expect } from 'chai';
import { modelSchema, type CatalogModel } from '@woodbarrow/configuration';
import type { Inventory, LoadedModel } from '@woodbarrow/engine';
import type { ModelDemand } from '@woodbarrow/protocol';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  GapHistogram,
  LoadPermits,
  ModelActivity,
  WorkerView,
  isWarmTime,
  permitLimitsOfZone,
  planPlacement,
  type PlacementPlan,
} from '../src/index.js';

const ZONE = 'alpha';
const NOW = 1_000_000;

function modelNamed(name: string, more: object = {}, replicas = 1): CatalogModel {
  const parameters = modelSchema.parse({ name, memoryGib: 30, ...more });
  return {
    id: `t/${name}`,
    tenant: 't',
    partner: 'p',
    parameters,
    coldStartWeight: 0.5,
    allotments: [{ zone: ZONE, replicas }],
  };
}

function loaded(model: string, more: Partial<LoadedModel> = {}): LoadedModel {
  return {
    model,
    version: '1',
    state: 'ready',
    memoryGib: 30,
    adapters: [],
    concurrency: 8,
    running: 0,
    ...more,
  };
}

function inventoryOf(models: readonly LoadedModel[], more: Partial<Inventory> = {}): Inventory {
  return {
    workerId: 'w',
    fence: 1,
    generation: 1,
    accelerators: 2,
    memoryGib: 80,
    draining: false,
    models: [...models],
    cacheGeneration: 1,
    hostCache: [],
    diskCache: [],
    ...more,
  };
}

function worker(id: string, models: readonly LoadedModel[] = [], more: Partial<Inventory> = {}): WorkerView {
  const view = new WorkerView(id, `http://${id}`, false);
  view.applyInventory(inventoryOf(models, more), NOW);
  return view;
}

function demandFor(model: string, waiting: number, more: Partial<ModelDemand> = {}): ModelDemand {
  return {
    model,
    waiting: waiting > 0 ? [{ adapter: '', count: waiting }] : [],
    topPriority: 50,
    firstDeadlineMs: 10_000,
    deferrable: false,
    running: 0,
    arrivals: waiting,
    suspects: [],
    ...more,
  };
}

interface Situation {
  readonly workers: readonly WorkerView[];
  readonly models: readonly CatalogModel[];
  readonly demands?: readonly ModelDemand[];
  readonly idleSeconds?: number;
  readonly recovered?: boolean;
  readonly warming?: readonly string[];
}

function plan({
  workers,
  models,
  demands = [],
  idleSeconds = 0,
  recovered = true,
  warming = [],
}: Situation): PlacementPlan {
  const activity = new ModelActivity(NOW - idleSeconds * 1000);
  return planPlacement({
    zone: ZONE,
    nowMs: NOW,
    wallMs: 0,
    recovered,
    workers,
    models: new Map(models.map((model) => [model.id, model])),
    demandsOf: (id) => demands.filter((demand) => demand.model === id),
    activityOf: () => activity,
    warming: new Set(warming),
  });
}

function loadsOf(result: PlacementPlan): string[] {
  return result.loads.map(({ model, worker: target }) => `${model.id} on ${target.id}`);
}

describe('placement planner', () => {
  const model = modelNamed('one');

  it('loads a model with waiting requests on the worker with the nearest checkpoint copy', () => {
    const workers = [
      worker('w1'),
      worker('w2', [], { diskCache: ['one@1'] }),
      worker('w3', [], { hostCache: ['one@1'] }),
    ];
    const result = plan({ workers, models: [model], demands: [demandFor('t/one', 3)] });
    expect(loadsOf(result)).to.deep.equal(['t/one on w3']);
    expect(result.loads[0]?.estimate.source).to.equal('host');
  });

  it('copies a checkpoint from a peer rather than from the weight store', () => {
    const workers = [
      worker('w1'),
      worker('w2', [loaded('t/big', { memoryGib: 79 })], { diskCache: ['one@1'] }),
    ];
    const models = [model, modelNamed('big', { memoryGib: 79 })];
    const result = plan({
      workers,
      models,
      demands: [demandFor('t/one', 1), demandFor('t/big', 0, { running: 1 })],
    });
    expect(result.loads[0]?.estimate).to.include({ source: 'peer', copyFrom: 'w2' });
  });

  it('counts workers that may hold a replica towards the replica limit', () => {
    const unsure = worker('w1');
    unsure.intents.set('t/one', { model: 't/one', memoryGib: 30 });
    const unknown = new WorkerView('w2', 'http://w2', true);
    const demands = [demandFor('t/one', 3)];
    expect(loadsOf(plan({ workers: [unsure, worker('w3')], models: [model], demands }))).to.deep.equal([]);
    const result = plan({ workers: [unknown, worker('w3')], models: [model], demands, recovered: false });
    expect(loadsOf(result)).to.deep.equal([]);
    expect(result.blocked.get('t/one')).to.equal('recovering');
  });

  it('plans loads only within memory that is neither committed nor reserved by pending orders', () => {
    const models = ['one', 'two', 'three'].map((name) => modelNamed(name));
    const demands = models.map(({ id }) => demandFor(id, 1));
    const result = plan({ workers: [worker('w1')], models, demands });
    expect(result.loads).to.have.length(2);
    const promised = worker('w1');
    promised.intents.set('t/other', { model: 't/other', memoryGib: 60 });
    expect(plan({ workers: [promised], models, demands }).loads).to.have.length(0);
  });

  it('evicts idle replicas for a model with waiting requests, and never busy ones', () => {
    const models = ['one', 'two', 'three'].map((name) => modelNamed(name));
    const busy = loaded('t/two', { running: 1 });
    const result = plan({
      workers: [worker('w1', [busy, loaded('t/three')])],
      models,
      demands: [demandFor('t/one', 1)],
    });
    expect(result.unloads.map((action) => action.model)).to.deep.equal(['t/three']);
    const allBusy = worker('w1', [busy, loaded('t/three', { running: 2 })]);
    expect(plan({ workers: [allBusy], models, demands: [demandFor('t/one', 1)] }).unloads).to.deep.equal([]);
  });

  it('unloads a replica idle for longer than its keep-alive time, unless a warm time or a minimum applies', () => {
    const workers = [worker('w1', [loaded('t/one')])];
    expect(plan({ workers, models: [model], idleSeconds: 5 }).unloads).to.deep.equal([]);
    expect(plan({ workers, models: [model], idleSeconds: 3600 }).unloads[0]?.reason).to.equal('idle');
    const warm = modelNamed('one', { keepWarm: [{ from: '00:00', to: '23:59' }] });
    expect(plan({ workers, models: [warm], idleSeconds: 3600 }).unloads).to.deep.equal([]);
    const minimum = modelNamed('one', { replicas: { minimum: 1 } });
    expect(loadsOf(plan({ workers: [worker('w1')], models: [minimum] }))).to.deep.equal(['t/one on w1']);
  });

  it('unloads replicas above a lowered limit and on leaving workers', () => {
    const workers = [worker('w1', [loaded('t/one')]), worker('w2', [loaded('t/one', { running: 3 })])];
    const demands = [demandFor('t/one', 9)];
    const shrunk = plan({ workers, models: [model], demands });
    expect(shrunk.unloads.map((action) => [action.worker.id, action.reason])).to.deep.equal([
      ['w1', 'limit'],
    ]);
    const leaving = worker('w1', [loaded('t/one')]);
    leaving.machineState = 'leaving';
    expect(plan({ workers: [leaving], models: [model] }).unloads[0]?.reason).to.equal('leaving');
  });

  it('starts no load for deferrable requests until their deadline is near', () => {
    const demand = { deferrable: true, firstDeadlineMs: 500_000 };
    const situation = { workers: [worker('w1')], models: [model] };
    expect(loadsOf(plan({ ...situation, demands: [demandFor('t/one', 4, demand)] }))).to.deep.equal([]);
    const near = demandFor('t/one', 4, { ...demand, firstDeadlineMs: 40_000 });
    expect(loadsOf(plan({ ...situation, demands: [near] }))).to.have.length(1);
  });

  it('caches a checkpoint in advance only while no load is needed, and unloads the replica once ready', () => {
    const situation = { workers: [worker('w1'), worker('w2')], models: [model] };
    expect(plan(situation).warming.map((action) => action.model.id)).to.deep.equal(['t/one']);
    const near = [worker('w1', [], { diskCache: ['one@1'] }), worker('w2')];
    expect(plan({ ...situation, workers: near }).warming).to.deep.equal([]);
    expect(plan({ ...situation, demands: [demandFor('t/one', 1)] }).warming).to.deep.equal([]);
    const ready = { ...situation, workers: [worker('w1', [loaded('t/one')])], warming: ['t/one'] };
    expect(plan(ready).unloads[0]?.reason).to.equal('idle');
    const thrifty = { ...model, coldStartWeight: 0.2 };
    expect(plan({ ...situation, models: [thrifty] }).warming).to.deep.equal([]);
  });

  it('loads an adapter with waiting requests onto a ready base model', () => {
    const base = modelNamed('one', { adapters: [{ name: 'tuned' }] });
    const demands = [demandFor('t/one', 0, { waiting: [{ adapter: 'tuned', count: 2 }] })];
    const result = plan({ workers: [worker('w1', [loaded('t/one')])], models: [base], demands });
    expect(result.adapters.map((action) => action.adapter)).to.deep.equal(['tuned']);
  });
});

describe('keep-alive', () => {
  const bounds = { minimumSeconds: 10, maximumSeconds: 600 };

  function histogramOf(gapSeconds: number): GapHistogram {
    const histogram = new GapHistogram();
    for (let arrival = 0; arrival < 50; arrival += 1) histogram.recordArrival(arrival * gapSeconds * 1000);
    return histogram;
  }

  it('covers regular gaps when cold starts weigh most, and is minimal when gaps exceed its maximum', () => {
    const regular = histogramOf(80).optimalKeepAliveSeconds(30, 0.9, bounds);
    // With regular arrivals, any time above the gap costs the same; a shorter one misses every arrival.
    expect(regular).to.be.at.least(80);
    expect(histogramOf(5000).optimalKeepAliveSeconds(30, 0.9, bounds)).to.equal(10);
  });

  it('is shorter when idle time weighs more', () => {
    const careful = histogramOf(80).optimalKeepAliveSeconds(10, 0.95, bounds);
    const thrifty = histogramOf(80).optimalKeepAliveSeconds(10, 0.1, bounds);
    expect(thrifty).to.be.lessThan(careful);
  });

  it('recognizes warm hours, also across midnight', () => {
    const hour = 3_600_000;
    expect(isWarmTime([{ from: '08:00', to: '18:00' }], 9 * hour)).to.equal(true);
    expect(isWarmTime([{ from: '08:00', to: '18:00' }], 19 * hour)).to.equal(false);
    expect(isWarmTime([{ from: '22:00', to: '02:00' }], hour)).to.equal(true);
  });
});

describe('load permits', () => {
  it('limit loads by concurrency and rate, and are released when a load ends', async () => {
    const world = new SimulatedWorld();
    const permits = new LoadPermits(new SimulatedProcess(world, { name: 'p', zone: 'z', region: 'r' }));
    const limits = permitLimitsOfZone({ concurrentLoads: 8, loadsPerSecond: 4 }, 4);
    expect(limits).to.deep.equal({ concurrent: 2, perSecond: 1 });
    expect(permits.tryAcquire('a', limits)).to.equal(true);
    expect(permits.tryAcquire('b', limits)).to.equal(false);
    await world.run(2000);
    expect(permits.tryAcquire('b', limits)).to.equal(true);
    expect(permits.tryAcquire('c', limits)).to.equal(false);
    permits.retainOnly((key) => key === 'b');
    await world.run(4000);
    expect(permits.tryAcquire('c', limits)).to.equal(true);
  });
});

describe('worker view', () => {
  it('frees memory on an inventory, except while the outcome of an order is unknown', () => {
    const view = worker('w1', [loaded('t/one')]);
    view.intents.set('t/two', { model: 't/two', memoryGib: 30 });
    view.hasUnknownOutcome = true;
    view.applyInventory(inventoryOf([]), NOW);
    expect(view.mayHold('t/two')).to.equal(true);
    expect(view.freeGib).to.equal(50);
    view.hasUnknownOutcome = false;
    view.applyInventory(inventoryOf([]), NOW);
    expect(view.mayHold('t/two')).to.equal(false);
    expect(view.freeGib).to.equal(80);
  });
});
