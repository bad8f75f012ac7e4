/** Services and their models, as the operators' configuration describes them. */

/** A model that workers of a service can load. Sizes in MB, times in milliseconds. */
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

/** What workers that run models have in common. */
export interface EngineDefinition {
  /** Requests that a worker runs at once. */
  readonly slots: number;
  /** Tokens that a worker's prompt cache holds for running requests and kept prompts. */
  readonly cacheTokens: number;
  /** Accelerator memory of a worker for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Adapters that a worker holds at most. */
  readonly adapterSlots: number;
  /** Loads from the weight store a second, over all workers. */
  readonly storeLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelDefinition>;
}

/** A service that requests are passed to. */
export interface ServiceDefinition {
  readonly name: string;
  /** Connections that one worker accepts from all callers together. */
  readonly connectionLimit: number;
  /** Present when the workers run models. */
  readonly engine?: EngineDefinition;
}
