/** What a plan reads of the load book, with each answer remembered: one plan asks the same many times. */
import type { LoadBook } from '@woodbarrow/backends';

/** Demand and runs, as a plan sees them. */
export type LoadView = Pick<LoadBook, 'demandFor' | 'endsInMs'>;

/** Answers of a load book as they were when first asked for; for the time of one plan. */
export class RememberedLoads implements LoadView {
  private readonly demand = new Map<string, number>();
  private readonly ends = new Map<string, number>();

  constructor(private readonly loads: LoadView) {}

  demandFor(model: string): number {
    return remembered(this.demand, model, () => this.loads.demandFor(model));
  }

  endsInMs(backEndId: string, model: string): number {
    const key = `${backEndId} ${model}`;
    return remembered(this.ends, key, () => this.loads.endsInMs(backEndId, model));
  }
}

/** The number kept under a key; counted when it is not there yet. */
export function remembered(known: Map<string, number>, key: string, count: () => number): number {
  const kept = known.get(key);
  if (kept !== undefined) return kept;
  const counted = count();
  known.set(key, counted);
  return counted;
}
