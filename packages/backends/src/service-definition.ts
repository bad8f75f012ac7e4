/** Services and their models, as defined in the configuration. */

/** A model that workers of a service can load. Sizes are in MB, times in milliseconds. */
export interface ModelDefinition {
  readonly name: string;
  readonly weightsMb: number;
  /** Size of each adapter of the model. */
  readonly adapterMb: number;
  /** Load time from the weight store, from a worker's disk, and from its host memory. */
  readonly storeLoadMs: number;
  readonly diskLoadMs: number;
  readonly memoryLoadMs: number;
}

/** Properties shared by all workers of a service that run models. */
export interface EngineDefinition {
  /** Maximum number of concurrent requests on a worker. */
  readonly slots: number;
  /** Capacity of a worker's prompt cache for running requests and retained prompts, in tokens. */
  readonly cacheTokens: number;
  /** Accelerator memory of a worker for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Maximum number of adapters on a worker. */
  readonly adapterSlots: number;
  /** Maximum number of loads from the weight store per second, over all workers. */
  readonly storeLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelDefinition>;
}

/** A service that requests are forwarded to. */
export interface ServiceDefinition {
  readonly name: string;
  /** Maximum number of connections that one worker accepts over all callers. */
  readonly connectionLimit: number;
  /** Path of the workers' health answers; absent if they have none. */
  readonly healthPath?: string;
  /** Present when the workers run models. */
  readonly engine?: EngineDefinition;
}

/**
 * Load time from the weight store from which loads count as slow, in milliseconds. Clients give up a stream that has not
 * begun after 2 to 10 s, so the request that causes such a load cannot wait for it.
 */
const SLOW_LOAD_MS = 10_000;

/** Cached per configuration, as it is checked for each request and an engine may list hundreds of models. */
const slowLoads = new WeakMap<EngineDefinition, boolean>();

/** Whether loads from the weight store take so long that they have to be started before the requests that need them. */
export function hasSlowLoads(engine: EngineDefinition): boolean {
  let isSlow = slowLoads.get(engine);
  if (isSlow === undefined) {
    isSlow = [...engine.models.values()].some(({ storeLoadMs }) => storeLoadMs >= SLOW_LOAD_MS);
    slowLoads.set(engine, isSlow);
  }
  return isSlow;
}
