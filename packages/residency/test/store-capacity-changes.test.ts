/*
 * Guards against two loads on one worker that evict the same victim: a plan may assign both to it if one
 * waits for the weight store, and both would start if the store gets capacity between planning and start.
 */
import { expect } from 'chai';
import { MODELS, ZoneWorld, demand } from './zone-world.js';

/** Number of loads in other zones that exceeds any estimated capacity of the link. */
const LOADS_THAT_FILL_LINK = 1000;

describe('a zone whose weight store capacity changes between planning and start', () => {
  it('never exceeds the memory of a worker', async () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const zone = new ZoneWorld(seed);
      zone.storeLoadsInOtherZones = () => (zone.random.next() < 0.5 ? 0 : LOADS_THAT_FILL_LINK);
      const coordinator = await zone.coordinator();
      for (let step = 0; step < 20; step += 1) {
        for (const model of zone.random.shuffle([...MODELS]).slice(0, 4)) void demand(coordinator, model);
        await zone.world.run(zone.world.now + zone.random.between(1, 800));
      }
      await zone.world.run(zone.world.now + 20_000);
      expect(zone.violations(), `seed ${String(seed)}`).to.deep.equal([]);
    }
  });
});
