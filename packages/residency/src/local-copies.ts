/** Local copies of weights on workers. */
import type { BackEnd } from '@woodbarrow/backends';

/** Whether a worker has a local copy of a model, which loads much faster than from the weight store. */
export function hasLocalCopy({ nearby }: BackEnd, model: string): boolean {
  return nearby.onDisk.includes(model) || nearby.inMemory.includes(model);
}
