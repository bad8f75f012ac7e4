import { expect } from 'chai';
import type { ResidencyDemandMessage } from '@woodbarrow/protocol';
import { modelDefinition } from './simulated-workers.js';
import { ENGINE, SERVICE, ZONE, ZoneWorld } from './zone-world.js';

const WORKERS = 24;
const MODELS = Array.from({ length: 300 }, (_, index) => `m${String(index)}`);
/** Number of models that are waited for; exceeds the maximum number of planned loads. */
const WAITING_MODELS = 100;
const QUOTES = 200;

/**
 * Guards against a new plan for each quote. The cost is the number of demand lookups, which a plan makes for
 * each group and each possible victim.
 */
describe('planning cost of quotes', () => {
  it('is that of a single plan for all quotes requested at once', async () => {
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
