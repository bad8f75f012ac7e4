/*
 * Guards against loads from the weight store that a zone starts without a grant, against quotes that do not include the wait for
 * the store, and against a changed behaviour of services whose loads are fast.
 */
import { expect } from 'chai';
import type {
  ResidencyDemandAnswer,
  StoreGrant,
  StoreWishesAnswer,
  StoreWishKind,
} from '@woodbarrow/protocol';
import { MAX_PENDING_DEMANDS, type ZoneResidency } from '../src/index.js';
import { modelDefinition } from './simulated-workers.js';
import { demand, ENGINE, MODELS, SERVICE, ZONE, ZoneWorld } from './zone-world.js';

const LOAD_MS = 12_000;
/** Wait of a caller that bears a load and the wait for the link, in milliseconds. */
const PATIENT_MS = 60_000;

const SLOW_ENGINE = {
  ...ENGINE,
  models: new Map(MODELS.map((name) => [name, { ...modelDefinition(name), storeLoadMs: LOAD_MS }])),
};

function grant(model: string, kind: StoreWishKind = 'first'): StoreGrant {
  return { service: SERVICE, model, kind, expiresInMs: 1000 };
}

function answer(changes: Partial<StoreWishesAnswer>): StoreWishesAnswer {
  return { grants: [], expected: [], nextStartInMs: 20_000, ...changes };
}

async function slowZone(workers = 2): Promise<{ zone: ZoneWorld; coordinator: ZoneResidency }> {
  const zone = new ZoneWorld(5, workers);
  zone.engine = SLOW_ENGINE;
  const coordinator = await zone.coordinator();
  coordinator.maintain(SERVICE);
  await zone.world.run(zone.world.now + 1000);
  coordinator.acceptSchedule(answer({}));
  return { zone, coordinator };
}

/** Updates the workers' records, as announcements take precedence over them only for seconds. */
function refreshRecords({ directory, workers }: ZoneWorld): void {
  for (const backEnd of directory.all()) {
    const models = [...(workers.get(backEnd.id)?.models.keys() ?? [])];
    directory.put({ ...backEnd, models: models.map((name) => ({ name, adapters: [] })) });
  }
}

function patientDemand(
  coordinator: ZoneResidency,
  model: string,
  quote = false,
): Promise<ResidencyDemandAnswer> {
  return coordinator.demand({
    zone: ZONE,
    service: SERVICE,
    model,
    priority: 1,
    without: [],
    mayUseStore: true,
    withinMs: PATIENT_MS,
    quote,
  });
}

describe('a zone with slow loads', () => {
  it('loads from the weight store only under a grant, and quotes the expected start', async () => {
    const { zone, coordinator } = await slowZone();
    const placed = patientDemand(coordinator, 'm7');
    const expected = [{ service: SERVICE, model: 'm7', startInMs: 5000 }];
    for (let round = 0; round < 4; round += 1) {
      coordinator.acceptSchedule(answer({ expected }));
      await zone.world.run(zone.world.now + 300);
    }
    expect(coordinator.storeLoads).to.equal(0);
    coordinator.acceptSchedule(answer({ expected }));
    const quote = await zone.settle(patientDemand(coordinator, 'm7', true));
    expect(quote.retryAfterMs).to.be.within(5000 + LOAD_MS - 400, 5000 + LOAD_MS + 400);
    const wish = coordinator.storeReport()?.message.wishes.find(({ model }) => model === 'm7');
    expect(wish).to.deep.include({ model: 'm7', kind: 'first', waiting: 1 });
    coordinator.acceptSchedule(answer({ grants: [grant('m7')] }));
    expect(coordinator.storeLoads).to.equal(1);
    expect(coordinator.storeReport()?.message.loading.map(({ model }) => model)).to.deep.equal(['m7']);
    expect((await zone.settle(placed)).held).to.equal(true);
  });

  it('starts a load ahead of demand, and evicts only models with another replica for it', async () => {
    const { zone, coordinator } = await slowZone();
    const worker = (id: string): Set<string> => new Set(zone.workers.get(id)?.models.keys());
    const all = (): string[] => ['w0', 'w1'].flatMap((id) => [...worker(id)]);
    const load = async (model: string, kind: StoreWishKind): Promise<void> => {
      coordinator.acceptSchedule(answer({ grants: [grant(model, kind)] }));
      await zone.world.run(zone.world.now + LOAD_MS + 1000);
      refreshRecords(zone);
    };
    // Each worker holds three models; only m0 has two replicas.
    await load('m0', 'replica');
    for (const model of ['m2', 'm3', 'm4']) await load(model, 'ahead');
    expect(all()).to.have.members(['m0', 'm0', 'm1', 'm2', 'm3', 'm4']);
    for (const model of ['m5', 'm6', 'm7']) await load(model, 'ahead');
    expect(all()).to.have.members(['m0', 'm1', 'm2', 'm3', 'm4', 'm5']);
    expect(coordinator.loadsAhead).to.equal(4);
    expect(zone.violations()).to.deep.equal([]);
  });

  // Each refused request was kept until its distant retry, and the full queue refused requests for all other models.
  it('keeps the queue free for other models while many requests for a missing model are refused', async () => {
    const { zone, coordinator } = await slowZone();
    for (const backEnd of zone.directory.ofService(SERVICE))
      zone.directory.put({ ...backEnd, nearby: { inMemory: [], onDisk: ['m8'] } });
    const ask = (model: string, mayUseStore: boolean): Promise<ResidencyDemandAnswer> =>
      coordinator.demand({
        zone: ZONE,
        service: SERVICE,
        model,
        priority: 1,
        without: [],
        mayUseStore,
        withinMs: 4000,
        quote: false,
      });
    const missing = Array.from({ length: MAX_PENDING_DEMANDS }, () => {
      zone.loads.recordDemand('m9');
      return ask('m9', true);
    });
    const refused = await zone.settle(Promise.all(missing));
    expect(refused.every(({ reason }) => reason === 'loading')).to.equal(true);
    expect((await zone.settle(ask('m8', false))).reason).to.equal('resident');
  });

  // Two zones that evict for a load each at the same time see two replicas, and would remove both.
  it('keeps the replica on the worker with the lowest id when it evicts a model in use for a load ahead of demand', async () => {
    const { zone, coordinator } = await slowZone();
    for (const [model, kind] of [
      ['m0', 'replica'],
      ['m2', 'ahead'],
      ['m3', 'ahead'],
      ['m4', 'ahead'],
      ['m5', 'ahead'],
    ] as const) {
      coordinator.acceptSchedule(answer({ grants: [grant(model, kind)] }));
      zone.loads.recordDemand('m0');
      await zone.world.run(zone.world.now + LOAD_MS + 1000);
      zone.loads.recordDemand('m0');
      refreshRecords(zone);
    }
    expect([...(zone.workers.get('w0')?.models.keys() ?? [])]).to.include('m0');
    expect([...(zone.workers.get('w1')?.models.keys() ?? [])])
      .to.include('m5')
      .and.not.include('m0');
  });

  // Each lookup covers all workers of the deployment, and reports are made several times a second.
  it('looks up the loads of other zones once per wish', async () => {
    const { zone, coordinator } = await slowZone();
    const lookups: string[] = [];
    zone.expectedElsewhereInMs.get = (model) => {
      lookups.push(model);
      return undefined;
    };
    const wishes = coordinator.storeReport()?.message.wishes ?? [];
    expect(wishes).to.have.length.above(0);
    expect(lookups).to.have.members(wishes.map(({ model }) => model));
  });

  it('wishes for models that exist nowhere before there is traffic', async () => {
    const { coordinator } = await slowZone();
    const wishes = coordinator.storeReport()?.message.wishes ?? [];
    expect(wishes.map(({ model }) => model)).to.have.members(MODELS.slice(2));
    expect(new Set(wishes.map(({ kind }) => kind))).to.deep.equal(new Set(['ahead']));
  });

  it('does not load a model that another zone is loading, and quotes the time until it is resident there', async () => {
    const { zone, coordinator } = await slowZone();
    zone.expectedElsewhereInMs.set('m7', 7000);
    const placed = patientDemand(coordinator, 'm7');
    await zone.world.run(zone.world.now + 300);
    coordinator.acceptSchedule(answer({ grants: [grant('m7')] }));
    await zone.world.run(zone.world.now + 300);
    expect(coordinator.storeLoads).to.equal(0);
    const quote = await zone.settle(patientDemand(coordinator, 'm7', true));
    expect(quote.retryAfterMs).to.equal(7000);
    // The announcement of the other zone's load settles the demand.
    zone.directory.announce('w0', { model: 'm7' }, true);
    expect((await zone.settle(placed)).reason).to.equal('held_elsewhere');
  });

  it('uses a grant once, and not after it has expired', async () => {
    const { zone, coordinator } = await slowZone();
    const grants = [grant('m7')];
    coordinator.acceptSchedule(answer({ grants }));
    coordinator.acceptSchedule(answer({ grants }));
    expect(coordinator.storeLoads).to.equal(1);
    coordinator.access.accept(answer({ grants: [grant('m8')] }));
    await zone.world.run(zone.world.now + 1100);
    coordinator.maintain(SERVICE);
    expect(coordinator.storeLoads).to.equal(1);
  });

  it('does not use a grant after its machine was suspended beyond the end of the grant', async () => {
    const { zone, coordinator } = await slowZone();
    coordinator.access.accept(answer({ grants: [grant('m7')] }));
    expect(coordinator.access.startInMs(SERVICE, 'm7')).to.equal(0);
    zone.process.suspend(1500);
    await zone.world.run(zone.world.now + 1500);
    expect(coordinator.access.startInMs(SERVICE, 'm7')).to.be.above(0);
    expect(coordinator.access.grants()).to.deep.equal([]);
  });

  it('loads one model at a time in its turn while the scheduler does not answer', async () => {
    const { zone, coordinator } = await slowZone(4);
    let most = 0;
    for (let step = 0; step < 200; step += 1) {
      coordinator.scheduleAlone();
      await zone.world.run(zone.world.now + 300);
      most = Math.max(most, coordinator.storeLoads);
    }
    expect(most).to.equal(1);
    expect(coordinator.loadsAhead).to.be.within(3, 5);
  });
});

describe('a zone without slow loads', () => {
  it('has nothing to report to the scheduler and loads without a grant', async () => {
    const zone = new ZoneWorld(5);
    const coordinator = await zone.coordinator();
    const placed = demand(coordinator, 'm7');
    await zone.world.run(zone.world.now + 300);
    expect(coordinator.storeReport()).to.equal(undefined);
    expect(coordinator.loadsUnderWay.every((load) => !('fromStore' in load))).to.equal(true);
    expect((await zone.settle(placed)).held).to.equal(true);
    expect(coordinator.linkCapacity).to.equal(undefined);
  });
});
