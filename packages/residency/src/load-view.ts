/** What a plan reads of the load book, with each answer remembered: one plan asks the same many times. */
import type { LoadBook } from '@woodbarrow/backends';

/** Demand and runs, as a plan sees them. */
export type LoadView = Pick<LoadBook, 'demandFor' | 'endsInMs'>;

/** Answers of a load book as they were when first asked for; for the time of one plan. */
export class MemoizedLoads implements LoadView {
  private readonly demand = new Map<string, number>();
  private readonly ends = new Map<string, number>();

  constructor(private readonly loads: LoadView) {}

  demandFor(model: string): number {
    return memoize(this.demand, model, () => this.loads.demandFor(model));
  }

  endsInMs(backEndId: string, model: string): number {
    const key = `${backEndId} ${model}`;
    return memoize(this.ends, key, () => this.loads.endsInMs(backEndId, model));
  }
}

/** The number kept under a key; counted when it is not there yet. */
export function memoize(cache: Map<string, number>, key: string, compute: () => number): number {
  const cached = cache.get(key);
  if (cached !== undefined) return cached;
  const computed = compute();
  cache.set(key, computed);
  return computed;
}
