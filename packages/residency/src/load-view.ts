/** Memoized view of the load book, as one plan queries the same values many times. */
import type { LoadTracker } from '@woodbarrow/backends';

/** Demand and predicted end of runs, as read by a plan. */
export type LoadView = Pick<LoadTracker, 'demandFor' | 'endsInMs'>;

/** Caches the answers of a load book for the duration of one plan. */
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

/** Returns the cached value of a key, computing it on first use. */
export function memoize(cache: Map<string, number>, key: string, compute: () => number): number {
  const cached = cache.get(key);
  if (cached !== undefined) return cached;
  const computed = compute();
  cache.set(key, computed);
  return computed;
}
