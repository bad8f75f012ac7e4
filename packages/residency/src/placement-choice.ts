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

/** Inputs of {@link choosePlacement}. */
export interface PlacementInputs {
  readonly model: ModelDefinition;
  readonly engine: EngineDefinition;
  readonly candidates: readonly PlacementCandidate[];
  readonly loads: LoadView;
  readonly times: Pick<LoadTimes, 'loadMs' | 'unloadMs'>;
  readonly now: number;
  /** Milliseconds until the weight store may be used; Infinity when it may not. */
  readonly storeWaitMs: number;
  /** How many times longer a load from the weight store takes while others share its link. */
  readonly storeSlowdown: number;
  /** Monotonic time until which a model is kept for requests that were told to come back for it. */
  readonly promisedUntil: (model: string) => number;
  /** Number of workers in all zones that hold a model. */
  readonly replicasOf: (model: string) => number;
  /** Largest value of models that may make way: recent requests for each replica. */
  readonly maximumVictimValue: number;
}

/** Cost of one recent request, per replica, for a model that makes way, in milliseconds. */
const MS_PER_REQUEST = 300;
/** Cost of a worker whose adapters are in use: none can be loaded there meanwhile, in milliseconds. */
const ADAPTERS_HELD_UP_MS = 400;
/** A worker takes no other load meanwhile: each millisecond of a load costs this many of others' waits. */
export const OCCUPANCY_WEIGHT = 2;
/** Time in which the requests that have waited for a model are sent to its worker, in milliseconds. */
const DISPATCH_MS = 300;
/** A model is hardly ever taken away this soon after its load, in milliseconds. */
const SETTLING_MS = 1500;
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
  const heldUpMs = candidate.residents.adapterCount > 0 ? ADAPTERS_HELD_UP_MS : 0;
  const { names, notBeforeMs, waitMs: unloadMs } = victims;
  const choice = { candidate, victims: names, readyMs, notBeforeMs, unloadMs, loadMs, source, storeWaitMs };
  return [
    { choice, costMs: readyMs + victims.costMs + heldUpMs + (victims.waitMs + loadMs) * OCCUPANCY_WEIGHT },
  ];
}

/** How much a replica of a model would be missed: the recent requests that it serves its share of. */
function victimValue(inputs: PlacementInputs, model: string): number {
  return inputs.loads.demandFor(model) / Math.max(1, inputs.replicasOf(model));
}

function sourceOf(backEnd: BackEnd, model: string): WeightSource {
  if (backEnd.nearby.inMemory.includes(model)) return 'memory';
  return backEnd.nearby.onDisk.includes(model) ? 'disk' : 'store';
}

function chooseVictims(candidate: PlacementCandidate, inputs: PlacementInputs): VictimSet | undefined {
  const { residents, backEnd } = candidate;
  const adapterReserveMb = reserveForAdapters(inputs.engine);
  let missingMb = residents.committedMb + adapterReserveMb + inputs.model.weightsMb - inputs.engine.weightsMb;
  const ranked = [...residents.models.values()]
    .filter((model) => model.state === 'resident')
    .map((model) => ({ model, costMs: costOf(model, inputs) }))
    .map(({ model, costMs }) => ({ model, costMs: costMs + neededMs(model, inputs) }))
    .map(({ model, costMs }) => ({
      model,
      costMs,
      unloadMs: unloadMs(backEnd, model, inputs),
    }))
    .sort((left, right) => left.costMs + left.unloadMs - right.costMs - right.unloadMs);
  const names: string[] = [];
  let costMs = 0;
  let waitMs = 0;
  let notBeforeMs = 0;
  for (const { model, costMs: cost, unloadMs: modelWaitMs } of ranked) {
    if (missingMb <= 0) break;
    const { name, weightsMb } = model.definition;
    if (victimValue(inputs, name) > inputs.maximumVictimValue) continue;
    names.push(name);
    missingMb -= weightsMb;
    costMs += cost;
    waitMs += modelWaitMs;
    notBeforeMs = Math.max(notBeforeMs, neededMs(model, inputs));
  }
  return missingMb > 0 ? undefined : { names, costMs, waitMs, notBeforeMs };
}

/** Milliseconds for which a model is needed by requests that have waited for it, or come back for it. */
function neededMs({ definition, since }: ResidentModel, inputs: PlacementInputs): number {
  const until = Math.max(since + DISPATCH_MS, inputs.promisedUntil(definition.name));
  return Math.max(0, until - inputs.now);
}

/** Expected time to unload a model: its runs must end first. */
function unloadMs({ id }: BackEnd, model: ResidentModel, { loads, times }: PlacementInputs): number {
  return times.unloadMs(loads.endsInMs(id, model.definition.name));
}

function costOf(model: ResidentModel, inputs: PlacementInputs): number {
  const settling = inputs.now - model.since < SETTLING_MS ? SETTLING_COST_MS : 0;
  return settling + victimValue(inputs, model.definition.name) * MS_PER_REQUEST;
}

/** Memory that all adapter slots may take, in MB. */
function reserveForAdapters(engine: EngineDefinition): number {
  let largest = 0;
  for (const model of engine.models.values()) largest = Math.max(largest, model.adapterMb);
  return largest * engine.adapterSlots;
}
