/** Decides which worker of a zone loads a model, and which resident models make way for it. */
import type { BackEnd, EngineDefinition, ModelDefinition } from '@woodbarrow/backends';
import { leastBy } from '@woodbarrow/runtime';
import type { LoadTimes, WeightSource } from './load-times.js';
import type { LoadView } from './load-view.js';
import type { ResidentModel, ResidentSet } from './resident-set.js';

/** A worker as a candidate for a load. */
export interface PlacementCandidate {
  readonly backEnd: BackEnd;
  readonly residents: ResidentSet;
  /** Milliseconds until it can begin another load or unload. */
  readonly busyMs: number;
}

/** What to do. */
export interface PlacementChoice {
  readonly candidate: PlacementCandidate;
  /** Models to unload first. */
  readonly victims: readonly string[];
  /** Expected milliseconds until the model is resident. */
  readonly readyMs: number;
  /** Milliseconds for which what makes way is still needed; the load must not begin before. */
  readonly notBeforeMs: number;
  /** Expected milliseconds until what makes way is gone, once its worker is free. */
  readonly unloadMs: number;
  /** Expected milliseconds of the load alone. */
  readonly loadMs: number;
  readonly source: WeightSource;
  /** Milliseconds until the weight store takes the load; its worker is not occupied before. */
  readonly storeWaitMs: number;
}

/** A resident model that could make way. */
export interface RankedVictim {
  readonly name: string;
  readonly weightsMb: number;
  /** How much it would be missed: the recent requests that this replica serves its share of. */
  readonly value: number;
  /** What others lose without it, in milliseconds. */
  readonly costMs: number;
  /** Expected time until it is gone, in milliseconds. */
  readonly unloadMs: number;
  /** Milliseconds for which it is still needed by requests that have waited for it, or come back for it. */
  readonly neededMs: number;
}

/** Inputs of {@link rankVictims}. */
export interface VictimInputs {
  readonly loads: LoadView;
  readonly times: Pick<LoadTimes, 'unloadMs'>;
  readonly now: number;
  /** Monotonic time until which a model is kept for requests that were told to come back for it. */
  readonly reservedUntil: (model: string) => number;
  /** Number of workers in all zones that hold a model. */
  readonly replicasOf: (model: string) => number;
}

/** Inputs of {@link choosePlacement}. */
export interface PlacementInputs {
  readonly model: ModelDefinition;
  readonly engine: EngineDefinition;
  readonly candidates: readonly PlacementCandidate[];
  readonly times: Pick<LoadTimes, 'loadMs'>;
  /** What could make way on a candidate, the cheapest first. */
  readonly victimsOf: (candidate: PlacementCandidate) => readonly RankedVictim[];
  /** Milliseconds until the weight store may be used; Infinity when it may not. */
  readonly storeWaitMs: number;
  /** How many times longer a load from the weight store takes while others share its link. */
  readonly storeSlowdown: number;
  /** Largest value of models that may make way: recent requests for each replica. */
  readonly maximumVictimValue: number;
}

/** Cost of one recent request, per replica, for a model that makes way, in milliseconds. */
const REQUEST_COST_MS = 300;
/** Cost of a worker whose adapters are in use: none can be loaded there meanwhile, in milliseconds. */
const ADAPTER_DELAY_COST_MS = 400;
/** A worker takes no other load meanwhile: each millisecond of a load costs this many of others' waits. */
export const OCCUPANCY_WEIGHT = 2;
/** Time in which the requests that have waited for a model are sent to its worker, in milliseconds. */
const DISPATCH_PERIOD_MS = 300;
/** A model is hardly ever taken away this soon after its load, in milliseconds. */
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

/** The cheapest way to load a model, or undefined when no worker can. */
export function choosePlacement(inputs: PlacementInputs): PlacementChoice | undefined {
  const options = inputs.candidates.flatMap((candidate) => optionsOf(candidate, inputs));
  return leastBy(options, (option) => option.costMs)?.choice;
}

/** One way to load the model, or none where nothing can make way. */
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
  const { names, notBeforeMs, waitMs: unloadMs } = victims;
  const choice = { candidate, victims: names, readyMs, notBeforeMs, unloadMs, loadMs, source, storeWaitMs };
  return [
    {
      choice,
      costMs: readyMs + victims.costMs + adapterDelayMs + (victims.waitMs + loadMs) * OCCUPANCY_WEIGHT,
    },
  ];
}

/** What could make way on a worker, the cheapest first. */
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

/** Memory that all adapter slots may take, in MB; worked out once for a configuration, which may hold hundreds of models. */
function adapterReserveMb(engine: EngineDefinition): number {
  let reserveMb = adapterReserves.get(engine);
  if (reserveMb === undefined) {
    const sizes = [...engine.models.values()].map(({ adapterMb }) => adapterMb);
    reserveMb = Math.max(0, ...sizes) * engine.adapterSlots;
    adapterReserves.set(engine, reserveMb);
  }
  return reserveMb;
}
