import { expect } from 'chai';
import type { ResidencyDemandMessage } from '@woodbarrow/protocol';
import { modelDefinition } from './simulated-workers.js';
import { ENGINE, SERVICE, ZONE, ZoneWorld } from './zone-world.js';

const WORKERS = 24;
const MODELS = Array.from({ length: 300 }, (_, index) => `m${String(index)}`);
/** Models that are waited for, more than a plan works out one by one. */
const WAITING_MODELS = 100;
const QUOTES = 200;

/**
 * The cost of quotes, counted by how often the demand for a model is looked up: a plan does so for each group and for each model that
 * could make way. 200 quotes beside 100 models that are waited for looked up 14,600 times when each of them planned anew, and look up 150
 * times, once for each model, when one plan serves them all.
 */
describe('the cost of quotes', () => {
  it('is that of one plan for all that are asked within a moment', async () => {
    const zone = new ZoneWorld(61, WORKERS);
    zone.engine = { ...ENGINE, models: new Map(MODELS.map((name) => [name, modelDefinition(name)])) };
    const coordinator = await zone.coordinator();
    const message = (
      model: string,
      changes: Partial<ResidencyDemandMessage> = {},
    ): ResidencyDemandMessage => ({
      zone: ZONE,
      service: SERVICE,
      model,
      priority: 1,
      without: [],
      mayUseStore: true,
      targetMs: 2500,
      withinMs: 60_000,
      ...changes,
    });
    for (const model of MODELS.slice(WORKERS, WORKERS + WAITING_MODELS))
      void coordinator.demand(message(model));
    await zone.world.run(zone.world.now + 300);
    let asked = 0;
    const demandFor = zone.loads.demandFor.bind(zone.loads);
    zone.loads.demandFor = (model) => {
      asked += 1;
      return demandFor(model);
    };
    const quotes = Array.from({ length: QUOTES }, (_, index) =>
      coordinator.demand(message(MODELS[WORKERS + WAITING_MODELS + (index % 150)] ?? '', { quote: true })),
    );
    for (const answer of await zone.settle(Promise.all(quotes))) expect(answer.reason).to.equal('quote');
    expect(asked).to.be.at.most(2 * (QUOTES + WAITING_MODELS));
  });
});
