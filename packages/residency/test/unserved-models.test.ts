import { expect } from 'chai';
import type { EventDetails, EventLog } from '@woodbarrow/observability';
import type { ResidencyDemandAnswer } from '@woodbarrow/protocol';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { UnservedModels, type ZoneResidency } from '../src/index.js';
import { SERVICE, WITHIN_MS, ZONE, ZoneWorld, demand } from './zone-world.js';

const WANTED = { service: SERVICE, model: 'm9', isAdditionalReplica: false };

function quote(coordinator: ZoneResidency, mayUseStore: boolean): Promise<ResidencyDemandAnswer> {
  return coordinator.demand({
    zone: ZONE,
    service: SERVICE,
    model: 'm9',
    priority: 1,
    without: [],
    mayUseStore,
    withinMs: WITHIN_MS,
    quote: true,
  });
}

describe('UnservedModels', () => {
  const lines: EventDetails[] = [];
  const log: EventLog = {
    changed: () => undefined,
    warned: (event, details = {}) => lines.push({ event, ...details }),
  };
  let world: SimulatedWorld;
  let unserved: UnservedModels;

  beforeEach(() => {
    lines.length = 0;
    world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'daemon', zone: ZONE, region: 'r' });
    unserved = new UnservedModels(ZONE, clock, log);
  });

  it('logs one warning with the cause for a model that stays unserved for seconds', async () => {
    for (let second = 0; second < 12; second += 1) {
      unserved.recordRefusal(WANTED, 'no_victim');
      await world.run(world.now + 1000);
    }
    expect(lines).to.deep.equal([
      {
        event: 'model_unserved',
        zone: ZONE,
        model: 'm9',
        cause: 'no_victim',
        timesAsked: 9,
        waitedMs: 8000,
      },
    ]);
    expect(unserved.count).to.equal(1);
    expect(unserved.longestMs).to.equal(12_000);
    expect([...unserved.byCause]).to.deep.equal([['no_victim', 12]]);
  });

  it('removes models that are resident or no longer requested', async () => {
    unserved.recordRefusal(WANTED, 'no_victim');
    unserved.recordRefusal({ ...WANTED, model: 'm8' }, 'no_victim');
    unserved.removeServed((_service, model) => model === 'm9');
    expect(unserved.waitedMs(SERVICE, 'm9')).to.equal(0);
    await world.run(world.now + 20_000);
    unserved.removeServed(() => false);
    expect(unserved.waitedMs(SERVICE, 'm8')).to.equal(20_000);
    await world.run(world.now + 20_000);
    unserved.removeServed(() => false);
    expect(unserved.count).to.equal(0);
  });
});

describe('causes of a refusal for lack of capacity', () => {
  async function causesOf(prepare: (zone: ZoneWorld) => void, mayUseStore = true): Promise<string[]> {
    const zone = new ZoneWorld(51, 1);
    const coordinator = await zone.coordinator();
    for (const model of ['m0', 'm1', 'm2']) await zone.settle(demand(coordinator, model));
    prepare(zone);
    await zone.world.run(zone.world.now + 3000);
    const quoted = await zone.settle(quote(coordinator, mayUseStore));
    expect(quoted.retryAfterMs).to.equal(Infinity);
    return [...coordinator.unserved.noPlaceByCause.keys()];
  }

  it('reports store_barred when no worker has a local copy and the weight store may not be used', async () => {
    expect(await causesOf(() => undefined, false)).to.deep.equal(['store_barred']);
  });

  it('reports no_victim when all resident models are in high demand', async () => {
    const raiseDemand = (zone: ZoneWorld): void => {
      for (const model of ['m0', 'm1', 'm2'])
        for (let count = 0; count < 50; count += 1) zone.loads.recordDemand(model);
    };
    expect(await causesOf(raiseDemand)).to.deep.equal(['no_victim']);
  });

  it('reports no_worker when there is no worker', async () => {
    expect(
      await causesOf((zone) => {
        zone.directory.remove('w0');
      }),
    ).to.deep.equal(['no_worker']);
  });
});
