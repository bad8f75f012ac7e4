/** Fixed allowances of retries for tests. */
import { SlidingWindow, type Clock } from '@woodbarrow/runtime';
import type { RetryAllowance } from '../src/index.js';

/** Creates an allowance of a number of retries per window that no other daemon uses. */
export function allowanceOf(retries: number, windowMs: number, clock: Clock): RetryAllowance {
  const used = new SlidingWindow(windowMs, clock);
  return {
    acquire: () => {
      if (used.count() >= retries) return Promise.resolve({ kind: 'withheld', reason: 'used_up' });
      used.add();
      const permit = { source: 'granted', isValid: () => true, refund: () => undefined } as const;
      return Promise.resolve({ kind: 'allowed', permit });
    },
  };
}
