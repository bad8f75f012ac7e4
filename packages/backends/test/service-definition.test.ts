import { expect } from 'chai';
import { hasSlowLoads, type EngineDefinition } from '../src/index.js';

/** Guards against parts for slow loads acting in a deployment whose loads a request can wait for. */
describe('slow loads', () => {
  it('are those of engines with a model that takes ten seconds or more from the weight store', () => {
    expect(hasSlowLoads(engineWithLoads(1300, 9999))).to.equal(false);
    expect(hasSlowLoads(engineWithLoads(1300, 10_000))).to.equal(true);
  });

  it('are absent without models', () => {
    expect(hasSlowLoads(engineWithLoads())).to.equal(false);
  });
});

function engineWithLoads(...storeLoadMs: number[]): EngineDefinition {
  const models = storeLoadMs.map((loadMs, index) => {
    const times = { storeLoadMs: loadMs, diskLoadMs: 800, memoryLoadMs: 600 };
    return { name: `model-${String(index)}`, weightsMb: 60_000, adapterMb: 60, ...times };
  });
  return {
    slots: 16,
    cacheTokens: 60_000,
    weightsMb: 200_000,
    adapterSlots: 8,
    storeLoadsPerSecond: 19,
    models: new Map(models.map((model) => [model.name, model])),
  };
}
