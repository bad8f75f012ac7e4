/**
 * Decides which models get another replica, and on which worker, before their holders are full. Plain functions: each
 * zone's coordinator evaluates them over the workers of all zones and carries out the decisions for its own zone.
 */
import type { ModelDefinition } from '@woodbarrow/backends';
import { leastBy } from '@woodbarrow/runtime';
import type {
  ReplicaDecision,
  SpreadInputs,
  SpreadResult,
  SpreadWorker,
  WantedReplica,
} from './replica-decision.js';
import { isInUse, isProtectedVictim, type ModelPresence } from './victim-protection.js';

interface Need extends WantedReplica {
  readonly definition: ModelDefinition;
}

/** Share of the capacity up to which a model may be loaded: demand that doubles during a load still finds slots. */
const MAX_LOAD_SHARE = 0.5;
/** Share of the remaining capacity up to which a replica counts as dispensable; low, so that it is not wanted back. */
const RELEASE_LOAD_SHARE = 0.35;
/** Time from the end of a load until all daemons send requests to the new replica, in milliseconds. */
const SETTLING_MS = 400;
/** Demand that counts as one waiting request while no holder has a free slot. */
const WAITING_DEMAND = 1;
/**
 * Share of a worker's slots from which the requests of a model make it a busy model: below, its streams rarely run at
 * the same time as those of another model.
 */
const BUSY_SLOT_SHARE = 0.25;
/** Share of a worker's slots that must be free for a replica, unless the load needs less. */
const MIN_FREE_SLOT_SHARE = 0.25;
/**
 * Pace from which streams of a worker are paused too long, relative to the usual. A worker of usual pace is slowed down
 * 2.5 times for 15 % of the time and then reports 1.23 on average; of the streams of workers at 1.6 times the usual, with
 * the same slow periods, 20 % to 50 % had a late pause.
 */
const SLOW_PACE = 1.5;
/** Maximum pace of the worker of a replica against pauses, as a share of the fastest holder's. */
const MAX_PACE_SHARE = 0.75;
/** Maximum share of slots in use on that worker, so that it is not slow for being full. */
const MAX_USED_SHARE = 0.5;
/**
 * Maximum decisions per zone and pass. Bounds the churn; with two to three passes a second a zone still starts more
 * loads than the few workers it has with free memory.
 */
const MAX_DECISIONS_PER_ZONE = 2;

/** Decides on the replicas to add now, and records the decisions and the loads in the history. */
export function decideReplicas(inputs: SpreadInputs): SpreadResult {
  const spread = new Spread(inputs);
  inputs.history.record(inputs.now, spread.loads);
  const decisions: ReplicaDecision[] = [];
  const unplaced: WantedReplica[] = [];
  for (const need of spread.needs()) {
    const decision = spread.place(need, decisions);
    if (decision === undefined) {
      unplaced.push(need);
      continue;
    }
    decisions.push(decision);
    inputs.history.recordDecision(decision.model, decision.workerId, inputs.now);
  }
  return { decisions, unplaced };
}

/** Indexes of one pass. */
class Spread {
  /** Requests in progress and waiting per model. */
  readonly loads: Map<string, number>;
  private readonly holders = new Map<string, SpreadWorker[]>();
  /** Workers with a copy of each model. */
  private readonly copies = new Map<string, SpreadWorker[]>();
  private readonly meanCapacity: number;
  private readonly presence: ModelPresence;
  private readonly sizesMb: ReadonlyMap<string, number>;

  constructor(private readonly inputs: SpreadInputs) {
    this.loads = new Map(inputs.waiting);
    for (const worker of inputs.workers) {
      for (const [model, requests] of worker.requestsByModel)
        this.loads.set(model, this.loadOf(model) + requests);
      for (const model of worker.held) addTo(this.holders, model, worker);
      for (const model of worker.copies) addTo(this.copies, model, worker);
    }
    this.meanCapacity = sum(inputs.workers.map(capacityOf)) / Math.max(1, inputs.workers.length);
    this.sizesMb = new Map(inputs.models.map(({ name, weightsMb }) => [name, weightsMb]));
    this.presence = {
      demandFor: inputs.demandFor,
      holdersOf: (model) => this.holdersOf(model).map(({ id }) => id),
      copiesOf: (model) => this.copyHoldersOf(model).map(({ id }) => id),
    };
  }

  /** Returns the models that need another replica: the largest shortage first, those against pauses last. */
  needs(): Need[] {
    const needs = this.inputs.models.flatMap((definition) => this.needOf(definition) ?? []);
    const shortage = ({ load, capacity, reason }: Need): number =>
      reason === 'pauses' ? -Infinity : load - capacity * MAX_LOAD_SHARE;
    return needs.sort((left, right) => shortage(right) - shortage(left) || right.load - left.load);
  }

  /** Chooses the worker for a replica; undefined when none can take it. */
  place(need: Need, decided: readonly ReplicaDecision[]): ReplicaDecision | undefined {
    const { history, now } = this.inputs;
    const { model } = need;
    const usable = this.copyHoldersOf(model).filter(
      (worker) =>
        worker.canLoad &&
        !worker.held.includes(model) &&
        !history.wasChosen(model, worker.id, now) &&
        !decided.some(({ workerId }) => workerId === worker.id) &&
        decided.filter(({ zone }) => zone === worker.zone).length < MAX_DECISIONS_PER_ZONE &&
        this.suits(worker, need),
    );
    const withRoom = usable.filter((worker) => this.victimsFor(worker, need.definition) !== undefined);
    const unshared = withRoom.filter((worker) => this.busyModelsOn(worker) === 0);
    const worker = leastBy(unshared.length > 0 ? unshared : withRoom, (candidate) => this.costOf(candidate));
    if (worker === undefined) return undefined;
    const { definition, ...rest } = need;
    const victims = this.victimsFor(worker, definition) ?? [];
    return { ...rest, workerId: worker.id, zone: worker.zone, victims };
  }

  private needOf(definition: ModelDefinition): Need | undefined {
    const { history, now, demandFor, loading, mayLoad } = this.inputs;
    const { name: model, diskLoadMs } = definition;
    const holders = this.holdersOf(model);
    const horizonMs = diskLoadMs + SETTLING_MS;
    if (holders.length === 0 || !history.isSettled(model, now, horizonMs) || !mayLoad(model))
      return undefined;
    const free = holders.map((holder) => freeSlots(holder, model));
    const arriving = loading.filter((load) => load.model === model && load.readyInMs <= horizonMs).length;
    const capacity = sum(free) + arriving * this.meanCapacity;
    const isFull = capacity < 1;
    const waiting = isFull && demandFor(model) >= WAITING_DEMAND ? 1 : 0;
    const current = Math.max(this.loadOf(model), waiting);
    const load = current + history.growthPerMs(model, current, now) * horizonMs;
    if (load > capacity * MAX_LOAD_SHARE && !(load <= 1 && Math.max(...free) >= 1))
      return { model, definition, reason: isFull ? 'capacity' : 'load', load, capacity };
    const pauses = current >= 1 && arriving === 0 && holders.every(({ pace }) => pace >= SLOW_PACE);
    return pauses ? { model, definition, reason: 'pauses', load, capacity } : undefined;
  }

  /** Whether a worker has what a replica is wanted for. */
  private suits(worker: SpreadWorker, { reason, load, model }: Need): boolean {
    const free = freeSlots(worker, model);
    if (reason === 'pauses') {
      const fastest = Math.min(...this.holdersOf(model).map(({ pace }) => pace));
      return worker.pace <= fastest * MAX_PACE_SHARE && worker.requests <= worker.slots * MAX_USED_SHARE;
    }
    return free >= Math.max(1, Math.min(load, worker.slots * MIN_FREE_SLOT_SHARE));
  }

  /** Returns the expected pace of a stream on a worker: models take turns, and requests share its slots. */
  private costOf(worker: SpreadWorker): number {
    return worker.pace * (1 + this.busyModelsOn(worker)) * (1 + worker.requests / worker.slots);
  }

  /** Returns the models to evict for a replica; undefined when too few may be. */
  private victimsFor(worker: SpreadWorker, { weightsMb }: ModelDefinition): string[] | undefined {
    const sizeOf = (model: string): number => this.sizesMb.get(model) ?? 0;
    let missingMb = sum(worker.held.map(sizeOf)) + weightsMb - this.inputs.weightsMb;
    const victims: string[] = [];
    const demandPerReplica = (model: string): number =>
      this.inputs.demandFor(model) / this.holdersOf(model).length;
    const evictable = worker.held
      .filter((model) => this.isEvictable(model, worker))
      .sort((left, right) => demandPerReplica(left) - demandPerReplica(right));
    for (const model of evictable) {
      if (missingMb <= 0) break;
      victims.push(model);
      missingMb -= sizeOf(model);
    }
    return missingMb > 0 ? undefined : victims;
  }

  /** Whether a model has no requests on a worker and the other replicas can take over its load. */
  private isEvictable(model: string, worker: SpreadWorker): boolean {
    if ((worker.requestsByModel.get(model) ?? 0) > 0) return false;
    if (isProtectedVictim(model, worker.id, this.presence)) return false;
    if (!isInUse(model, this.presence)) return true;
    const others = this.holdersOf(model).filter(({ id }) => id !== worker.id);
    return this.loadOf(model) <= sum(others.map((other) => freeSlots(other, model))) * RELEASE_LOAD_SHARE;
  }

  /** Returns the number of busy models that a worker holds, apart from one model. */
  private busyModelsOn(worker: SpreadWorker, apartFrom?: string): number {
    const limit = worker.slots * BUSY_SLOT_SHARE;
    return worker.held.filter((model) => model !== apartFrom && this.loadOf(model) >= limit).length;
  }

  private loadOf(model: string): number {
    return this.loads.get(model) ?? 0;
  }

  private holdersOf(model: string): readonly SpreadWorker[] {
    return this.holders.get(model) ?? [];
  }

  private copyHoldersOf(model: string): readonly SpreadWorker[] {
    return this.copies.get(model) ?? [];
  }
}

/** Returns the requests that a worker runs at the usual pace; on a slow worker fewer than its slots. */
function capacityOf({ slots, pace }: SpreadWorker): number {
  return Math.min(slots, slots / pace);
}

/** Returns the part of a worker's capacity that the requests of other models leave to a model. */
function freeSlots(worker: SpreadWorker, model: string): number {
  const others = worker.requests - (worker.requestsByModel.get(model) ?? 0);
  return Math.max(0, capacityOf(worker) - others);
}

function addTo<T>(lists: Map<string, T[]>, key: string, value: T): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
