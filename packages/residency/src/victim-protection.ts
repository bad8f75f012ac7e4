/**
 * Which resident models an additional replica must not displace, as plain functions. The rule is the same in the
 * decision on replicas and in the placement of their loads.
 */

/** State of the models of a service over all zones. */
export interface ModelPresence {
  /** Returns the recent demand for a model: the decayed number of its requests. */
  readonly demandFor: (model: string) => number;
  /** Returns the ids of the workers that hold a model and accept requests for it. */
  readonly holdersOf: (model: string) => readonly string[];
  /** Returns the ids of the workers with a copy of a model in host memory or on disk. */
  readonly copiesOf: (model: string) => readonly string[];
}

/** Demand from which a model counts as in use: one request within the last half-life of demand (4 s). */
const IN_USE_DEMAND = 0.125;

/** Whether a model has been requested recently. */
export function isInUse(model: string, presence: Pick<ModelPresence, 'demandFor'>): boolean {
  return presence.demandFor(model) >= IN_USE_DEMAND;
}

/**
 * Whether an additional replica must not displace a model on a worker: the replica is the last one of a model in
 * use, or no other worker holds the model or has a copy.
 *
 * The copy that the worker itself keeps does not count as reachable: it is evicted by later loads, is lost with the
 * worker, and only brings the model back by displacing the replica again. Of several replicas of a model in use, the
 * one on the worker with the lowest id stays, so that two zones that evict at the same time do not remove both.
 */
export function isProtectedVictim(model: string, workerId: string, presence: ModelPresence): boolean {
  const otherHolders = presence.holdersOf(model).filter((id) => id !== workerId);
  if (otherHolders.length === 0 && !presence.copiesOf(model).some((id) => id !== workerId)) return true;
  if (!isInUse(model, presence)) return false;
  return otherHolders.every((id) => id > workerId);
}
