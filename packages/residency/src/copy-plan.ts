/**
 * Decides which copies of weights a zone brings near ahead of demand. A model with a single copy is lost to its users
 * for the time of a load from the weight store when the worker that has it goes; a second copy, in another zone, also
 * halves the wait for a place. All coordinators come to the same division of the work from equal views.
 */
import type { BackEnd, EngineDefinition } from '@woodbarrow/backends';
import { leastBy } from '@woodbarrow/runtime';

/** Inputs of {@link copiesToBring}. */
export interface CopyPlanInputs {
  readonly engine: EngineDefinition;
  /** Workers of the service in all zones that take requests. */
  readonly workers: readonly BackEnd[];
  /** Zones that load. */
  readonly zones: readonly string[];
  /** Recent requests for a model. */
  readonly demandFor: (model: string) => number;
}

/** Copies that each model is to have, on different workers. */
const WANTED_COPIES = 2;

/** Models that a zone brings near, the most wanted first. */
export function copiesToBring(zone: string, inputs: CopyPlanInputs): string[] {
  const copies = copiesByModel(inputs.workers);
  const assigned = new Map<string, number>(inputs.zones.map((each) => [each, 0]));
  const own: string[] = [];
  for (const model of missingModels(copies, inputs)) {
    const holders = copies.get(model) ?? [];
    const free = inputs.zones.filter((each) => !holders.some((holder) => holder.zone === each));
    const chosen = leastBy([...free].sort(), (each) => assigned.get(each) ?? 0);
    if (chosen === undefined) continue;
    assigned.set(chosen, (assigned.get(chosen) ?? 0) + 1);
    if (chosen === zone) own.push(model);
  }
  return own;
}

/** Whether a worker has a model resident or a copy of it at hand. */
export function hasCopy({ models, nearby }: BackEnd, model: string): boolean {
  return (
    nearby.onDisk.includes(model) ||
    nearby.inMemory.includes(model) ||
    models.some((held) => held.name === model)
  );
}

/** Models with too few copies: those without any first, then those asked for most. */
function missingModels(copies: ReadonlyMap<string, readonly BackEnd[]>, inputs: CopyPlanInputs): string[] {
  const countOf = (model: string): number => copies.get(model)?.length ?? 0;
  return [...inputs.engine.models.keys()]
    .filter((model) => countOf(model) < Math.min(WANTED_COPIES, inputs.workers.length))
    .sort(
      (left, right) =>
        countOf(left) - countOf(right) ||
        inputs.demandFor(right) - inputs.demandFor(left) ||
        (left < right ? -1 : 1),
    );
}

function copiesByModel(workers: readonly BackEnd[]): ReadonlyMap<string, readonly BackEnd[]> {
  const copies = new Map<string, BackEnd[]>();
  for (const worker of workers) {
    const { onDisk, inMemory } = worker.nearby;
    const names = new Set([...onDisk, ...inMemory, ...worker.models.map((held) => held.name)]);
    for (const name of names) {
      const known = copies.get(name);
      if (known === undefined) copies.set(name, [worker]);
      else known.push(worker);
    }
  }
  return copies;
}
