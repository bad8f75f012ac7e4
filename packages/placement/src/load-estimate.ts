/** Estimates the load time of a model on a worker from the nearest copy of its checkpoint. */
import type { CatalogModel } from '@woodbarrow/configuration';
import type { WorkerView } from './worker-view.js';

/** Source of a checkpoint: the worker's host memory or disk, another worker's cache, or the weight store. */
export type LoadSource = 'host' | 'disk' | 'peer' | 'remote';

/** Estimated load time of one model on one worker. */
export interface LoadEstimate {
  readonly source: LoadSource;
  readonly seconds: number;
  /** With source `peer`, the worker to copy from. */
  readonly copyFrom?: string;
}

/** Ratio of the load time from a peer's cache to that from the weight store. */
const PEER_COPY_TIME_RATIO = 0.4;

/** Returns the name of a model's checkpoint in the workers' caches, `name@version`. */
export function checkpointOf(model: CatalogModel): string {
  return `${model.parameters.name}@${model.parameters.version}`;
}

/** Live workers that have a copy of a checkpoint in host memory or on disk, by checkpoint. */
export type CheckpointCopies = ReadonlyMap<string, readonly string[]>;

/** Indexes all checkpoint copies of a zone, so that many estimates can share the index. */
export function findCopies(workers: Iterable<WorkerView>): CheckpointCopies {
  const copies = new Map<string, string[]>();
  for (const worker of workers) {
    if (worker.inventory === undefined || worker.machineState !== 'live') continue;
    const { hostCache, diskCache } = worker.inventory;
    for (const checkpoint of new Set([...hostCache, ...diskCache])) {
      const holders = copies.get(checkpoint);
      if (holders === undefined) copies.set(checkpoint, [worker.id]);
      else holders.push(worker.id);
    }
  }
  return copies;
}

/** Estimates the load of `model` on `worker`, given the copies in the zone. */
export function estimateLoad(
  model: CatalogModel,
  worker: WorkerView,
  copies: CheckpointCopies,
): LoadEstimate {
  const checkpoint = checkpointOf(model);
  const { loadSeconds } = model.parameters;
  if (worker.inventory?.hostCache.includes(checkpoint) === true)
    return { source: 'host', seconds: loadSeconds.host };
  if (worker.inventory?.diskCache.includes(checkpoint) === true)
    return { source: 'disk', seconds: loadSeconds.disk };
  const peer = copies.get(checkpoint)?.find((id) => id !== worker.id);
  if (peer === undefined) return { source: 'remote', seconds: loadSeconds.remote };
  return { source: 'peer', seconds: loadSeconds.remote * PEER_COPY_TIME_RATIO, copyFrom: peer };
}
