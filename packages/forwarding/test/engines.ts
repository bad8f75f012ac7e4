/** Engine definition of the services in forwarding tests. */
import type { EngineDefinition } from '@woodbarrow/backends';

/** Engine that a few requests can fill. */
export const ENGINE: EngineDefinition = {
  slots: 4,
  cacheTokens: 10_000,
  weightsMb: 100,
  adapterSlots: 2,
  storeLoadsPerSecond: 1,
  models: new Map(),
};
