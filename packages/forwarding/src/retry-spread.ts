/** Spreads the return of refused clients over time, so that they do not come back together. */
import { hashText } from '@woodbarrow/runtime';

const HASH_BUCKETS = 1024;

/** Returns a time between half and one and a half times `meanMs`, different for each request but fixed for one. */
export function spreadRetryMs(requestId: string, meanMs: number): number {
  const fraction = (hashText(requestId) % HASH_BUCKETS) / HASH_BUCKETS;
  return meanMs * (0.5 + fraction);
}
