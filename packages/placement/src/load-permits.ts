/** Permits to load from the weight store: a zone's share of what the store bears. */
import type { Clock } from '@woodbarrow/runtime';

/** Limits of one zone. */
export interface LoadPermitLimits {
  /** Loads from the store under way at once. */
  readonly concurrent: number;
  /** Loads begun in a second. */
  readonly perSecond: number;
}

/** Splits the store's limits over zones; each zone has at least one load at once. */
export function permitLimitsOfZone(
  store: { readonly concurrentLoads: number; readonly loadsPerSecond: number },
  zoneCount: number,
): LoadPermitLimits {
  return {
    concurrent: Math.max(1, Math.floor(store.concurrentLoads / zoneCount)),
    perSecond: store.loadsPerSecond / zoneCount,
  };
}

/** Counts loads from the store, at once and by time. */
export class LoadPermits {
  private readonly active = new Set<string>();
  private tokens = 1;
  private refilledAt: number;

  constructor(private readonly clock: Clock) {
    this.refilledAt = clock.monotonic();
  }

  /** Takes a permit for the load named by `key`; false when there is none now. */
  tryAcquire(key: string, limits: LoadPermitLimits): boolean {
    this.refill(limits);
    if (this.active.size >= limits.concurrent || this.tokens < 1) return false;
    this.tokens -= 1;
    this.active.add(key);
    return true;
  }

  /** Ends all loads for which `isActive` does not hold. */
  retainOnly(isActive: (key: string) => boolean): void {
    for (const key of this.active) {
      if (!isActive(key)) this.active.delete(key);
    }
  }

  private refill(limits: LoadPermitLimits): void {
    const now = this.clock.monotonic();
    const burst = Math.max(1, limits.concurrent);
    this.tokens = Math.min(burst, this.tokens + ((now - this.refilledAt) / 1000) * limits.perSecond);
    this.refilledAt = now;
  }
}
