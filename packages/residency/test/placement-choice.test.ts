import { expect } from 'chai';
import {
  LoadTracker,
  NO_NEARBY_COPIES,
  type EngineDefinition,
  type NearbyCopies,
} from '@woodbarrow/backends';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  LoadTimes,
  LoadWindow,
  ResidentSet,
  choosePlacement,
  rankVictims,
  type PlacementCandidate,
  type PlacementInputs,
} from '../src/index.js';
import { modelDefinition } from './simulated-workers.js';

const STORE_MS = 2000;
const DISK_MS = 800;
const MODELS = new Map(
  ['a', 'b', 'c', 'd', 'wanted'].map((name) => [
    name,
    { ...modelDefinition(name), storeLoadMs: STORE_MS, diskLoadMs: DISK_MS, memoryLoadMs: 500 },
  ]),
);
/** Memory for three models of 65 MB. */
const ENGINE: EngineDefinition = {
  slots: 4,
  cacheTokens: 1000,
  weightsMb: 200,
  adapterSlots: 2,
  storeLoadsPerSecond: 1,
  models: MODELS,
};

describe('choosePlacement', () => {
  const clock = new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'z', region: 'r' });
  let loads: LoadTracker;

  beforeEach(() => {
    loads = new LoadTracker(clock);
  });

  function candidate(
    id: string,
    models: readonly string[],
    nearby: Partial<NearbyCopies> = {},
    busyMs = 0,
  ): PlacementCandidate {
    const residents = new ResidentSet();
    const held = models.map((name) => ({ name, adapters: [] }));
    residents.replace(held, MODELS, -Infinity);
    const backEnd = {
      id,
      name: id,
      service: 's',
      address: '10.0.0.1:1',
      zone: 'z',
      slots: 4,
      draining: false,
      models: held,
      nearby: { ...NO_NEARBY_COPIES, ...nearby },
    };
    return { backEnd, residents, busyMs };
  }

  function inputs(
    candidates: readonly PlacementCandidate[],
    changes: Partial<PlacementInputs> = {},
    replicasOf: (model: string) => number = () => 1,
  ): PlacementInputs {
    const times = new LoadTimes();
    return {
      model: { ...modelDefinition('wanted'), storeLoadMs: STORE_MS, diskLoadMs: DISK_MS, memoryLoadMs: 500 },
      engine: ENGINE,
      candidates,
      times,
      victimsOf: (candidate) =>
        rankVictims(candidate, { loads, times, now: 0, reservedUntil: () => 0, replicasOf }),
      storeWaitMs: 0,
      storeSlowdown: 1,
      maximumVictimValue: 3,
      ...changes,
    };
  }

  it('prefers free memory to an eviction', () => {
    const choice = choosePlacement(inputs([candidate('full', ['a', 'b', 'c']), candidate('free', ['a'])]));
    expect(choice?.candidate.backEnd.id).to.equal('free');
    expect(choice?.victims).to.deep.equal([]);
  });

  it('prefers a worker with a local copy, and waits for the weight store otherwise', () => {
    const near = candidate('near', ['a', 'b', 'c'], { onDisk: ['wanted'] });
    const far = candidate('far', ['a']);
    const choice = choosePlacement(inputs([far, near]));
    expect(choice?.candidate.backEnd.id).to.equal('near');
    expect(choice).to.include({ source: 'disk', loadMs: DISK_MS });
    expect(choosePlacement(inputs([far], { storeWaitMs: 700 }))?.readyMs).to.equal(700 + STORE_MS);
  });

  it('prefers a fast worker, but loads on a slow one with a copy rather than from the weight store', () => {
    const paceOf = (id: string): number => (id === 'slow' ? 1.6 : 0.6);
    const slow = candidate('slow', ['a'], { onDisk: ['wanted'] });
    const fast = candidate('fast', ['a'], { onDisk: ['wanted'] });
    expect(choosePlacement(inputs([slow, fast]))?.candidate.backEnd.id).to.equal('slow');
    expect(choosePlacement(inputs([slow, fast], { paceOf }))?.candidate.backEnd.id).to.equal('fast');
    const far = candidate('far', ['a']);
    expect(choosePlacement(inputs([slow, far], { paceOf }))?.candidate.backEnd.id).to.equal('slow');
  });

  it('evicts the model with the least demand per replica', () => {
    for (let count = 0; count < 2; count += 1) loads.recordDemand('a');
    loads.recordDemand('b');
    for (let count = 0; count < 6; count += 1) loads.recordDemand('c');
    const full = candidate('full', ['a', 'b', 'c']);
    expect(choosePlacement(inputs([full]))?.victims).to.deep.equal(['b']);
    const replicasOf = (name: string): number => (name === 'c' ? 12 : 1);
    expect(choosePlacement(inputs([full], {}, replicasOf))?.victims).to.deep.equal(['c']);
  });

  it('evicts neither models above the allowed demand nor models that are loading', () => {
    for (const name of ['a', 'b', 'c']) for (let count = 0; count < 5; count += 1) loads.recordDemand(name);
    const full = candidate('full', ['a', 'b', 'c']);
    expect(choosePlacement(inputs([full]))).to.equal(undefined);
    const loading = candidate('loading', []);
    for (const name of ['a', 'b', 'd']) {
      const definition = MODELS.get(name);
      if (definition !== undefined) loading.residents.setModel(definition, 'loading', 0);
    }
    expect(choosePlacement(inputs([loading], { maximumVictimValue: Infinity }))).to.equal(undefined);
  });
});

describe('LoadWindow', () => {
  it("does not exceed the zone's share of loads in any window", async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
    const window = new LoadWindow({ windowMs: 5000, limit: () => 21, zoneCount: () => 4 }, clock);
    const begun: number[] = [];
    while (world.now < 30_000) {
      await world.run(world.now + window.waitMs());
      window.record();
      begun.push(world.now);
    }
    for (const start of begun) {
      expect(begun.filter((at) => at >= start && at < start + 5000).length).to.be.at.most(5);
    }
  });
});
