/** Permits for loads from the weight store, limited to a zone's share of the store's capacity. */
import type { Clock } from '@woodbarrow/runtime';

/** Limits on loads from the weight store in one zone. */
export interface LoadPermitLimits {
  /** Maximum number of concurrent loads. */
  readonly concurrent: number;
  /** Maximum number of loads started per second. */
  readonly perSecond: number;
}

/** Divides the store's limits evenly among the zones; each zone may run at least one load. */
export function permitLimitsOfZone(
  store: { readonly concurrentLoads: number; readonly loadsPerSecond: number },
  zoneCount: number,
): LoadPermitLimits {
  return {
    concurrent: Math.max(1, Math.floor(store.concurrentLoads / zoneCount)),
    perSecond: store.loadsPerSecond / zoneCount,
  };
}

/** Limits loads from the store by concurrency and, with a token bucket, by rate. */
export class LoadPermits {
  private readonly active = new Set<string>();
  private tokens = 1;
  private refilledAt: number;

  constructor(private readonly clock: Clock) {
    this.refilledAt = clock.monotonic();
  }

  /** Acquires a permit for the load named by `key`; returns false when none is available. */
  tryAcquire(key: string, limits: LoadPermitLimits): boolean {
    this.refill(limits);
    if (this.active.size >= limits.concurrent || this.tokens < 1) return false;
    this.tokens -= 1;
    this.active.add(key);
    return true;
  }

  /** Releases the permits of all loads for which `isActive` returns false. */
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
