/**
 * Rendezvous (highest random weight) hashing: equal views assign a key to the same owner without messages.
 */
import { hashText } from '@woodbarrow/runtime';

/** A possible owner of keys. */
export interface Candidate {
  readonly id: string;
}

/** Sorts candidates by preference for `key`. Removing one does not change the order of the others. */
export function rankByRendezvous<T extends Candidate>(key: string, candidates: readonly T[]): T[] {
  return candidates
    .map((candidate) => ({ candidate, weight: hashText(`${key}\u0000${candidate.id}`) }))
    .sort((left, right) => right.weight - left.weight || (left.candidate.id < right.candidate.id ? -1 : 1))
    .map((entry) => entry.candidate);
}

/** Returns the preferred candidate for `key`; undefined when there is none. */
export function ownerByRendezvous<T extends Candidate>(key: string, candidates: readonly T[]): T | undefined {
  let best: T | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = hashText(`${key}\u0000${candidate.id}`);
    const wins =
      weight > bestWeight || (weight === bestWeight && best !== undefined && candidate.id < best.id);
    if (!wins) continue;
    best = candidate;
    bestWeight = weight;
  }
  return best;
}
