/** Copies of weights that workers have. */
import type { BackEnd } from '@woodbarrow/backends';

/** Whether a worker has a copy of a model at hand, which loads in much less time than from the weight store. */
export function hasLocalCopy({ nearby }: BackEnd, model: string): boolean {
  return nearby.onDisk.includes(model) || nearby.inMemory.includes(model);
}
