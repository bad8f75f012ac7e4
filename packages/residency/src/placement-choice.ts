/** Chooses the worker of a zone that loads a model, and the resident models that it evicts first. */
import type { BackEnd, EngineDefinition, ModelDefinition } from '@woodbarrow/backends';
import { leastBy } from '@woodbarrow/runtime';
import type { LoadTimes, WeightSource } from './load-times.js';
import type { LoadView } from './load-view.js';
import type { ResidentModel, ResidentSet } from './resident-set.js';

/** A candidate worker for a load. */
export interface PlacementCandidate {
  readonly backEnd: BackEnd;
  readonly residents: ResidentSet;
  /** Milliseconds until it can start another load or unload. */
  readonly busyMs: number;
}

/** Chosen placement of a load. */
export interface PlacementChoice {
  readonly candidate: PlacementCandidate;
  /** Names of the models to evict first. */
  readonly victims: readonly string[];
  /** Expected milliseconds until the model is resident. */
  readonly readyMs: number;
  /** Milliseconds for which the victims are still needed; the load must not start before. */
  readonly notBeforeMs: number;
  /** Expected milliseconds until the victims are unloaded, once the worker is free. */
  readonly unloadMs: number;
  /** Expected milliseconds of the load alone. */
  readonly loadMs: number;
  readonly source: WeightSource;
  /** Milliseconds until the weight store can take the load; the worker is not occupied before. */
  readonly storeWaitMs: number;
}

/** A resident model that could be evicted. */
export interface RankedVictim {
  readonly name: string;
  readonly weightsMb: number;
  /** Recent demand for the model, divided by its replicas. */
  readonly value: number;
  /** Estimated cost of the eviction to other requests, in milliseconds. */
  readonly costMs: number;
  /** Expected time of the unload, in milliseconds. */
  readonly unloadMs: number;
  /** Milliseconds for which requests that waited for it, or are due to retry, still need it. */
  readonly neededMs: number;
}

/** Inputs of {@link rankVictims}. */
export interface VictimInputs {
  readonly loads: LoadView;
  readonly times: Pick<LoadTimes, 'unloadMs'>;
  readonly now: number;
  /** Returns the monotonic time until which a model is reserved for expected retries. */
  readonly reservedUntil: (model: string) => number;
  /** Returns the number of workers in all zones that hold a model. */
  readonly replicasOf: (model: string) => number;
}

/** Inputs of {@link choosePlacement}. */
export interface PlacementInputs {
  readonly model: ModelDefinition;
  readonly engine: EngineDefinition;
  readonly candidates: readonly PlacementCandidate[];
  readonly times: Pick<LoadTimes, 'loadMs'>;
  /** Returns the possible victims on a candidate, cheapest first. */
  readonly victimsOf: (candidate: PlacementCandidate) => readonly RankedVictim[];
  /** Milliseconds until the weight store may be used; Infinity when it may not. */
  readonly storeWaitMs: number;
  /** Factor by which a load from the weight store is slowed by concurrent loads. */
  readonly storeSlowdown: number;
  /** Maximum value of a victim, in recent requests per replica. */
  readonly maximumVictimValue: number;
  /** Duration of work on a worker relative to the usual; absent where it does not matter. */
  readonly paceOf?: (backEndId: string) => number;
}

/** Eviction cost per recent request and replica, in milliseconds. */
const REQUEST_COST_MS = 300;
/**
 * Cost of loading on a worker with resident adapters, as it cannot load adapters meanwhile, in milliseconds.
 */
const ADAPTER_DELAY_COST_MS = 400;
/**
 * Cost of a worker that takes twice the usual time, in milliseconds. About the time that a usual run of 1 to 2 s takes
 * longer there; well below a load from the weight store, which slow workers must not cause.
 */
const PACE_COST_MS = 1500;
/** Cost of a worker's occupancy: each millisecond counts as this many milliseconds of waiting by others. */
export const OCCUPANCY_WEIGHT = 2;
/** Time within which waiting requests reach the worker after a load, in milliseconds. */
const DISPATCH_PERIOD_MS = 300;
/** Time after a load during which evicting the model incurs an extra cost, in milliseconds. */
const SETTLING_PERIOD_MS = 1500;
const SETTLING_COST_MS = 3000;

interface PlacementOption {
  readonly choice: PlacementChoice;
  readonly costMs: number;
}

interface VictimSet {
  readonly names: readonly string[];
  readonly costMs: number;
  readonly waitMs: number;
  readonly notBeforeMs: number;
}

/** Returns the cheapest way to load a model; undefined when no worker can. */
export function choosePlacement(inputs: PlacementInputs): PlacementChoice | undefined {
  const options = inputs.candidates.flatMap((candidate) => optionsOf(candidate, inputs));
  return leastBy(options, (option) => option.costMs)?.choice;
}

/** Returns the way to load the model on one worker, or none when not enough can be evicted. */
function optionsOf(candidate: PlacementCandidate, inputs: PlacementInputs): PlacementOption[] {
  const victims = chooseVictims(candidate, inputs);
  if (victims === undefined) return [];
  const source = sourceOf(candidate.backEnd, inputs.model.name);
  const storeWaitMs = source === 'store' ? inputs.storeWaitMs : 0;
  if (storeWaitMs === Infinity) return [];
  const loadMs = inputs.times.loadMs(inputs.model, source) * (source === 'store' ? inputs.storeSlowdown : 1);
  const beginMs = Math.max(candidate.busyMs, victims.notBeforeMs) + victims.waitMs;
  const readyMs = Math.max(beginMs, storeWaitMs) + loadMs;
  const adapterDelayMs = candidate.residents.adapterCount > 0 ? ADAPTER_DELAY_COST_MS : 0;
  const paceCostMs = ((inputs.paceOf?.(candidate.backEnd.id) ?? 1) - 1) * PACE_COST_MS;
  const { names, notBeforeMs, waitMs: unloadMs } = victims;
  const choice = { candidate, victims: names, readyMs, notBeforeMs, unloadMs, loadMs, source, storeWaitMs };
  return [
    {
      choice,
      costMs:
        readyMs + victims.costMs + adapterDelayMs + paceCostMs + (victims.waitMs + loadMs) * OCCUPANCY_WEIGHT,
    },
  ];
}

/** Ranks the possible victims on a worker, cheapest first. */
export function rankVictims(
  { backEnd, residents }: Pick<PlacementCandidate, 'backEnd' | 'residents'>,
  inputs: VictimInputs,
): RankedVictim[] {
  const ranked: RankedVictim[] = [];
  for (const model of residents.models.values()) {
    if (model.state === 'resident') ranked.push(victimOf(backEnd, model, inputs));
  }
  return ranked.sort((left, right) => left.costMs + left.unloadMs - right.costMs - right.unloadMs);
}

function victimOf(backEnd: BackEnd, model: ResidentModel, inputs: VictimInputs): RankedVictim {
  const { loads, times, now } = inputs;
  const { name, weightsMb } = model.definition;
  const value = loads.demandFor(name) / Math.max(1, inputs.replicasOf(name));
  const settlingCostMs = now - model.since < SETTLING_PERIOD_MS ? SETTLING_COST_MS : 0;
  const neededMs = Math.max(0, Math.max(model.since + DISPATCH_PERIOD_MS, inputs.reservedUntil(name)) - now);
  return {
    name,
    weightsMb,
    value,
    costMs: settlingCostMs + value * REQUEST_COST_MS + neededMs,
    unloadMs: times.unloadMs(loads.endsInMs(backEnd.id, name)),
    neededMs,
  };
}

function sourceOf(backEnd: BackEnd, model: string): WeightSource {
  if (backEnd.nearby.inMemory.includes(model)) return 'memory';
  return backEnd.nearby.onDisk.includes(model) ? 'disk' : 'store';
}

function chooseVictims(candidate: PlacementCandidate, inputs: PlacementInputs): VictimSet | undefined {
  const { model, engine, maximumVictimValue } = inputs;
  let missingMb =
    candidate.residents.committedMb + adapterReserveMb(engine) + model.weightsMb - engine.weightsMb;
  const names: string[] = [];
  let costMs = 0;
  let waitMs = 0;
  let notBeforeMs = 0;
  for (const victim of inputs.victimsOf(candidate)) {
    if (missingMb <= 0) break;
    if (victim.value > maximumVictimValue) continue;
    names.push(victim.name);
    missingMb -= victim.weightsMb;
    costMs += victim.costMs;
    waitMs += victim.unloadMs;
    notBeforeMs = Math.max(notBeforeMs, victim.neededMs);
  }
  return missingMb > 0 ? undefined : { names, costMs, waitMs, notBeforeMs };
}

const adapterReserves = new WeakMap<EngineDefinition, number>();

/**
 * Returns the memory reserved for all adapter slots in MB, cached per configuration as it may list hundreds
 * of models.
 */
export function adapterReserveMb(engine: EngineDefinition): number {
  let reserveMb = adapterReserves.get(engine);
  if (reserveMb === undefined) {
    const sizes = [...engine.models.values()].map(({ adapterMb }) => adapterMb);
    reserveMb = Math.max(0, ...sizes) * engine.adapterSlots;
    adapterReserves.set(engine, reserveMb);
  }
  return reserveMb;
}
