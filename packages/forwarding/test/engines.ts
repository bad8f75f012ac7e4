/** The engine of the services in tests of forwarding. */
import type { EngineDefinition } from '@woodbarrow/backends';

/** Small enough that a few requests fill it. */
export const ENGINE: EngineDefinition = {
  slots: 4,
  cacheTokens: 10_000,
  weightsMb: 100,
  adapterSlots: 2,
  storeLoadsPerSecond: 1,
  models: new Map(),
};
