/** Guards against a coordinator that gives a worker no further order after one whose outcome it cannot learn. */
import { expect } from 'chai';
import type { ZoneResidency } from '../src/index.js';
import type { LinkCut } from './simulated-workers.js';
import { demand, ZoneWorld } from './zone-world.js';

const CUTS: readonly LinkCut[] = ['reset', 'refused', 'silent'];
const CUT_MS = 6500;
/** Time after a cut within which a worker is ordered again: a round of reports and one repeated load. */
const REGAINED_WITHIN_MS = 3000;
const NO_FAULTS = { answerLost: 0, appliedLate: 0 };
/** Latest execution of an order without an answer, in milliseconds, and the time in which a load is read again. */
const MAX_LATENESS_MS = 15_000;

/** Starts a zone with one worker that holds m0 and has room for two more models. */
async function startZone(seed: number): Promise<{ zone: ZoneWorld; coordinator: ZoneResidency }> {
  const zone = new ZoneWorld(seed, 1);
  const coordinator = await zone.coordinator();
  await zone.settle(demand(coordinator, 'm0'));
  return { zone, coordinator };
}

/** Cuts the links to the workers for a while, during which loads of the models are demanded. */
async function cutDuring(
  zone: ZoneWorld,
  coordinator: ZoneResidency,
  cut: LinkCut,
  wanted: readonly (readonly string[])[],
): Promise<void> {
  zone.orders.cut = cut;
  for (const [model = '', adapter] of wanted) void demand(coordinator, model, adapter);
  await zone.world.run(zone.world.now + CUT_MS);
  zone.orders.cut = undefined;
  await zone.world.run(zone.world.now + REGAINED_WITHIN_MS);
}

describe('Orders to a worker after a cut during which no attempt of an order reached it', () => {
  for (const cut of CUTS) {
    it(`go on when connections were ${cut}`, async () => {
      const { zone, coordinator } = await startZone(1);
      await cutDuring(zone, coordinator, cut, [['m5']]);
      const answer = await zone.settle(demand(coordinator, 'm6'));
      expect(answer.held).to.equal(true);
      expect(zone.violations()).to.deep.equal([]);
    });

    it(`go on when several loads were wanted and connections were ${cut}`, async () => {
      const { zone, coordinator } = await startZone(2);
      await cutDuring(zone, coordinator, cut, [['m5'], ['m6'], ['m7'], ['m8'], ['m9'], ['m10']]);
      const answer = await zone.settle(demand(coordinator, 'm11'));
      expect(answer.held).to.equal(true);
      expect(zone.violations()).to.deep.equal([]);
    });

    it(`go on when an adapter was wanted and connections were ${cut}`, async () => {
      const { zone, coordinator } = await startZone(3);
      await cutDuring(zone, coordinator, cut, [['m0', 'a1']]);
      const answers = [
        await zone.settle(demand(coordinator, 'm6')),
        await zone.settle(demand(coordinator, 'm0', 'a2')),
      ];
      expect(answers.map(({ held }) => held)).to.deep.equal([true, true]);
      expect(zone.violations()).to.deep.equal([]);
    });
  }

  it('go on after random cuts, lost answers and late executions, and none is executed beyond the capacity', async () => {
    for (let seed = 200; seed < 260; seed += 1) {
      const { zone, coordinator } = await startZone(seed);
      const { random, world, orders } = zone;
      for (let step = 0; step < 30; step += 1) {
        orders.cut = random.integer(3) === 0 ? random.pick(CUTS) : undefined;
        orders.faults = random.integer(2) === 0 ? { answerLost: 0.3, appliedLate: 0.3 } : NO_FAULTS;
        const model = `m${String(random.integer(12))}`;
        void demand(
          coordinator,
          model,
          random.integer(3) === 0 ? `a${String(random.integer(6))}` : undefined,
        );
        await world.run(world.now + random.between(100, 2500));
      }
      orders.cut = undefined;
      orders.faults = NO_FAULTS;
      await world.run(world.now + MAX_LATENESS_MS);
      const answer = await zone.settle(demand(coordinator, 'm11'));
      expect(answer.held, `seed ${String(seed)}`).to.equal(true);
      expect(zone.violations(), `seed ${String(seed)}`).to.deep.equal([]);
    }
  });
});
