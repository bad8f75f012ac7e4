/** Message schemas of the engines' control API. */
import { z } from 'zod';

export const loadedModelSchema = z.object({
  /** Model name as given in the load order, `<tenant>/<name>`. */
  model: z.string(),
  version: z.string(),
  state: z.enum(['loading', 'ready', 'unloading']),
  memoryGib: z.number(),
  adapters: z.array(z.string()),
  concurrency: z.number().int(),
  running: z.number().int(),
});

/** A model that occupies accelerator memory on a worker. */
export type LoadedModel = z.infer<typeof loadedModelSchema>;

export const inventorySchema = z.object({
  workerId: z.string(),
  /** Highest fence that the worker has received. */
  fence: z.number(),
  /** Increases with each change of the loaded models. */
  generation: z.number().int(),
  accelerators: z.number().int(),
  memoryGib: z.number(),
  draining: z.boolean(),
  models: z.array(loadedModelSchema),
  /** Increases with each change of the caches. */
  cacheGeneration: z.number().int(),
  /** Checkpoints (`<name>@<version>`) cached in host memory; absent when the client already has this cache generation. */
  hostCache: z.array(z.string()).optional(),
  /** Checkpoints cached on the local disk; absent under the same condition. */
  diskCache: z.array(z.string()).optional(),
});

/** Loaded models, capacity and cached checkpoints of a worker. */
export type Inventory = z.infer<typeof inventorySchema> & {
  readonly hostCache: readonly string[];
  readonly diskCache: readonly string[];
};

/** An order to a worker. A worker refuses an order whose fence is lower than the highest it has received. */
export type EngineOrder =
  | { readonly type: 'raise_fence' }
  | {
      readonly type: 'load';
      readonly model: string;
      readonly checkpoint: string;
      readonly version: string;
      readonly memoryGib: number;
      readonly concurrency: number;
      /** Worker to copy the checkpoint from; the weight store is used when absent. */
      readonly copyFrom?: string;
    }
  | { readonly type: 'unload'; readonly model: string }
  | {
      readonly type: 'load_adapter';
      readonly model: string;
      readonly adapter: string;
      readonly memoryGib: number;
    };
