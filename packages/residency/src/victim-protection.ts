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

/** The state of models with the predicted end of their runs. */
export interface VictimPresence extends ModelPresence {
  /** Returns the expected milliseconds until a model's runs on a worker end; 0 without runs. */
  readonly endsInMs: (workerId: string, model: string) => number;
}

/**
 * Demand from which a model counts as in use: a request within about the last three half-lives of demand (12 s). A
 * model with a request every 3 s is then rarely taken for an unused one.
 */
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

/**
 * Returns the victims on a worker that an additional replica may displace: first those without runs there, then those
 * that are not in use, as the decision on replicas expects, then those that other workers hold as well, otherwise in
 * the given order.
 */
export function selectReplicaVictims<T extends { readonly name: string }>(
  workerId: string,
  ranked: readonly T[],
  presence: VictimPresence,
): T[] {
  const rankOf = ({ name }: T): number =>
    (presence.endsInMs(workerId, name) > 0 ? 4 : 0) +
    (isInUse(name, presence) ? 2 : 0) +
    (presence.holdersOf(name).some((id) => id !== workerId) ? 0 : 1);
  return ranked
    .filter(({ name }) => !isProtectedVictim(name, workerId, presence))
    .sort((left, right) => rankOf(left) - rankOf(right));
}
