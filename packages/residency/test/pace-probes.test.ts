import { expect } from 'chai';
import {
  NO_NEARBY_COPIES,
  WorkerPaces,
  type BackEnd,
  type EngineDefinition,
  type ReportedLoad,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { PaceProbes } from '../src/index.js';
import { ENGINE } from './zone-world.js';
import { modelDefinition } from './simulated-workers.js';

const SLOW_ENGINE: EngineDefinition = {
  ...ENGINE,
  models: new Map([['m', { ...modelDefinition('m'), storeLoadMs: 13_200 }]]),
};
const SERVICE: ServiceDefinition = {
  name: 'models',
  connectionLimit: 100,
  healthPath: '/health',
  engine: SLOW_ENGINE,
};
const TICK_MS = 500;
/** Time between the start of the daemons and the traffic. */
const BEFORE_TRAFFIC_MS = 16_000;

function worker(id: string): BackEnd {
  return {
    id,
    name: id,
    service: 'models',
    address: '10.0.0.1:1',
    zone: 'a',
    slots: 16,
    draining: false,
    models: [],
    nearby: NO_NEARBY_COPIES,
  };
}

describe('PaceProbes', () => {
  const workers = ['w1', 'w2', 'w3'].map(worker);
  let world: SimulatedWorld;
  let paces: WorkerPaces;
  let probes: PaceProbes;
  let reads: { readonly id: string; readonly path: string; readonly at: number }[];
  let answer: (id: string) => ReportedLoad | undefined;

  beforeEach(() => {
    world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    paces = new WorkerPaces(clock);
    reads = [];
    answer = () => ({ running: 0, waiting: 0, slots: 16, pacePercent: 160 });
    const health = {
      readLoad: (backEnd: BackEnd, path: string) => {
        reads.push({ id: backEnd.id, path, at: world.now });
        return Promise.resolve(answer(backEnd.id));
      },
    };
    probes = new PaceProbes({ paces, health, clock });
  });

  async function play(service: ServiceDefinition, durationMs: number, among = workers): Promise<void> {
    const endsAt = world.now + durationMs;
    while (world.now < endsAt) {
      probes.readUnknown(service, among);
      await world.run(world.now + TICK_MS);
    }
  }

  const readsOf = (id: string): number[] => reads.filter((read) => read.id === id).map(({ at }) => at);

  it('knows the pace of all workers before traffic, with few reads at least a second apart', async () => {
    await play(SERVICE, 5000);
    for (const { id } of workers) expect(paces.paceOf(id), id).to.be.above(1.3);
    await play(SERVICE, BEFORE_TRAFFIC_MS - 5000);
    for (const { id } of workers) {
      expect(paces.paceOf(id), id).to.be.above(1.3);
      const times = readsOf(id);
      expect(times.length, id).to.be.within(3, 7);
      times.slice(1).forEach((at, index) => {
        expect(at - (times[index] ?? 0)).to.be.at.least(1000);
      });
    }
    expect(reads.every(({ path }) => path === '/health')).to.equal(true);
    await play(SERVICE, 120_000);
    expect(readsOf('w1').length, 'reads in all').to.be.at.most(7);
  });

  it('reads a service without pace once', async () => {
    answer = () => ({ running: 0, waiting: 0, slots: 16 });
    await play(SERVICE, BEFORE_TRAFFIC_MS);
    expect(reads).to.have.length(1);
    expect(paces.paceOf('w1')).to.equal(1);
  });

  it('reads nothing where loads are fast, there is no engine or no health path', async () => {
    const { healthPath, engine, ...plain } = SERVICE;
    await play({ ...plain, healthPath: healthPath ?? '', engine: ENGINE }, 2000);
    await play({ ...plain, healthPath: healthPath ?? '' }, 2000);
    await play({ ...plain, engine: engine ?? ENGINE }, 2000);
    expect(reads).to.deep.equal([]);
  });

  it('reads no worker whose pace is known from traffic or other daemons', async () => {
    for (let count = 0; count < 6; count += 1) paces.record('w1', 100);
    await play(SERVICE, 2000);
    expect(readsOf('w1')).to.deep.equal([]);
    expect(readsOf('w2')).to.not.deep.equal([]);
  });

  it('goes on to other workers when one does not answer, and gives up on that one', async () => {
    answer = (id) => (id === 'w1' ? undefined : { running: 0, waiting: 0, slots: 16, pacePercent: 60 });
    await play(SERVICE, 60_000);
    expect(paces.paceOf('w1')).to.equal(1);
    expect(readsOf('w1')).to.have.length(7);
    expect(readsOf('w2').length).to.be.at.least(3);
  });

  it('ignores the answer of a worker that has been removed meanwhile', async () => {
    probes.readUnknown(SERVICE, workers);
    for (const { id } of workers) probes.forget(id);
    await world.run(world.now + TICK_MS);
    expect(paces.totals().known).to.equal(0);
  });
});
