/** Selects the idle replicas to unload so that a worker has enough memory for a requested model. */
import type { WorkerView } from './worker-view.js';

/** Replicas to unload on one worker. */
export interface Eviction {
  readonly worker: WorkerView;
  readonly victims: readonly string[];
  /** Expected cost of loading the victims again, in seconds. */
  readonly cost: number;
}

/** Inputs for the choice of an eviction. */
export interface EvictionCriteria {
  /** Memory of a worker that is free or will be after the unloads in progress, in GiB. */
  readonly freeGibAfterUnloads: (worker: WorkerView) => number;
  /** Whether a replica may be unloaded. */
  readonly isEvictable: (worker: WorkerView, model: string) => boolean;
  /** Expected cost of loading a replica again, in seconds. */
  readonly costOf: (model: string) => number;
}

/** Returns the cheapest eviction that frees enough memory on one worker; undefined when there is none. */
export function cheapestEviction(
  workers: readonly WorkerView[],
  neededGib: number,
  rules: EvictionCriteria,
): Eviction | undefined {
  let best: Eviction | undefined;
  for (const worker of workers) {
    const option = evictionOn(worker, neededGib, rules);
    if (option !== undefined && (best === undefined || option.cost < best.cost)) best = option;
  }
  return best;
}

function evictionOn(worker: WorkerView, neededGib: number, rules: EvictionCriteria): Eviction | undefined {
  const candidates = (worker.inventory?.models ?? [])
    .filter((entry) => rules.isEvictable(worker, entry.model))
    .map((entry) => ({ ...entry, cost: rules.costOf(entry.model) }))
    .sort((left, right) => left.cost - right.cost);
  let free = rules.freeGibAfterUnloads(worker);
  let cost = 0;
  const victims: string[] = [];
  for (const candidate of candidates) {
    if (free >= neededGib) break;
    free += candidate.memoryGib;
    cost += candidate.cost;
    victims.push(candidate.model);
  }
  return free >= neededGib ? { worker, victims, cost } : undefined;
}
