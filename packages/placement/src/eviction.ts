/** Which idle replicas to give up so that a worker has room for something that is waited for. */
import type { WorkerView } from './worker-view.js';

/** Replicas to unload on one worker. */
export interface Eviction {
  readonly worker: WorkerView;
  readonly victims: readonly string[];
  /** Expected load time lost; the least is best. */
  readonly cost: number;
}

/** What evictions are judged by. */
export interface EvictionCriteria {
  /** Memory that is free on a worker, or will be once unloads under way are done, in GiB. */
  readonly freeGibAfterUnloads: (worker: WorkerView) => number;
  /** Whether a replica may be given up. */
  readonly isEvictable: (worker: WorkerView, model: string) => boolean;
  /** Expected load time lost by giving up a replica. */
  readonly costOf: (model: string) => number;
}

/** The cheapest way to make room on one of the workers; undefined when none has enough to give up. */
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
