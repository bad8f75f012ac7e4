import { expect } from 'chai';
import type { ResidencyDemandAnswer, ResidencyDemandMessage } from '@woodbarrow/protocol';
import type { ZoneResidency } from '../src/index.js';
import { modelDefinition } from './simulated-workers.js';
import { ENGINE, SERVICE, WITHIN_MS, ZONE, ZoneWorld } from './zone-world.js';

describe('ZoneResidency with many more models than capacity', () => {
  const MANY_MODELS = Array.from({ length: 200 }, (_, index) => `m${String(index)}`);
  /** Longer than all queued loads take on the workers of the test, in milliseconds. */
  const PATIENT_DEADLINE_MS = 60_000;

  function zoneOfManyModels(seed: number, workerCount: number): ZoneWorld {
    const zone = new ZoneWorld(seed, workerCount);
    zone.engine = { ...ENGINE, models: new Map(MANY_MODELS.map((name) => [name, modelDefinition(name)])) };
    return zone;
  }

  function patientDemand(
    coordinator: ZoneResidency,
    model: string,
    changes: Partial<ResidencyDemandMessage> = {},
  ): Promise<ResidencyDemandAnswer> {
    return coordinator.demand({
      zone: ZONE,
      service: SERVICE,
      model,
      priority: 1,
      without: [],
      mayUseStore: true,
      targetMs: 2500,
      withinMs: PATIENT_DEADLINE_MS,
      ...changes,
    });
  }

  it('serves a single demand behind more groups than a plan places', async () => {
    const zone = zoneOfManyModels(41, 4);
    const coordinator = await zone.coordinator();
    const others = MANY_MODELS.slice(10, 110).flatMap((model) => [
      patientDemand(coordinator, model),
      patientDemand(coordinator, model),
    ]);
    await zone.world.run(zone.world.now + 100);
    const single = await zone.settle(patientDemand(coordinator, 'm199'));
    expect(single).to.include({ held: true });
    for (const answer of await zone.settle(Promise.all(others))) expect(answer).to.include({ held: true });
    expect(zone.violations()).to.deep.equal([]);
  });

  it('quotes a time that grows with the number of waiting groups, even beyond those that a plan places', async () => {
    const zone = zoneOfManyModels(42, 4);
    const coordinator = await zone.coordinator();
    const quotes: number[] = [];
    for (const from of [10, 60, 110]) {
      for (const model of MANY_MODELS.slice(from, from + 50)) {
        void patientDemand(coordinator, model);
        void patientDemand(coordinator, model);
      }
      await zone.world.run(zone.world.now + 10);
      const quote = await zone.settle(patientDemand(coordinator, 'm199', { quote: true }));
      quotes.push(quote.retryAfterMs);
    }
    const [first = 0, second = 0, third = 0] = quotes;
    // Four workers need about 0.7 s per load, so 50 more groups need about 9 s.
    expect(second - first).to.be.within(4000, 16_000);
    expect(third - second).to.be.within(4000, 16_000);
  });

  it('eventually loads a rare model while all resident models are in higher demand', async () => {
    const zone = zoneOfManyModels(43, 2);
    const coordinator = await zone.coordinator();
    const popular = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5'];
    for (const model of popular) await zone.settle(patientDemand(coordinator, model));
    const askForPopularModels = (): void => {
      for (const model of popular) for (let count = 0; count < 3; count += 1) zone.loads.recordDemand(model);
      zone.process.schedule(500, askForPopularModels);
    };
    askForPopularModels();
    await zone.world.run(zone.world.now + 5000);
    const answers: ResidencyDemandAnswer[] = [];
    for (let request = 0; request < 4; request += 1) {
      zone.loads.recordDemand('m99');
      answers.push(await zone.settle(patientDemand(coordinator, 'm99', { withinMs: WITHIN_MS })));
      await zone.world.run(zone.world.now + 3000);
    }
    expect(answers.filter((answer) => answer.held)).to.have.length.above(0);
    expect(zone.violations()).to.deep.equal([]);
  });
});
