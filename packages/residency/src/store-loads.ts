/**
 * Tracks the loads from the weight store that are in progress in each zone. A load goes on when its coordinator is lost or
 * replaced, and the successor does not know of it; it therefore counts until its expected end.
 */
import type { StoreWishKind } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { storeKey } from './store-key.js';

/** A load in progress, as of a report. */
export interface ReportedStoreLoad {
  /** Unknown in claims, where a model's name identifies the load. */
  readonly service?: string;
  readonly kind?: StoreWishKind;
  readonly model: string;
  readonly readyInMs: number;
}

/** A load in progress. */
export interface TrackedStoreLoad {
  readonly zone: string;
  /** Fence of the coordinator that reported it. */
  readonly fence: number;
  readonly service?: string;
  readonly kind?: StoreWishKind;
  readonly model: string;
  /** Monotonic time at which it should end. */
  readonly endsAt: number;
}

interface ZoneLoads {
  readonly fence: number;
  readonly reportedAt: number;
  readonly loads: readonly TrackedStoreLoad[];
}

/** A zone that has not reported for this long counts as silent, in milliseconds; five reports are missing by then. */
export const ZONE_SILENT_AFTER_MS = 1500;

/**
 * Time after its expected end for which the load of a lost coordinator counts, in milliseconds: nobody observes its end, and its
 * model is known to be resident only when a successor has read the state of the worker.
 */
const UNOBSERVED_END_MARGIN_MS = 2000;

/** Loads from the weight store by zone. */
export class StoreLoads {
  private readonly zones = new Map<string, ZoneLoads>();
  /** Loads of coordinators that have been replaced. */
  private orphaned: TrackedStoreLoad[] = [];

  constructor(private readonly clock: Clock) {}

  /** Replaces the loads of a zone's coordinator, identified by its fence. */
  report(zone: string, fence: number, loads: readonly ReportedStoreLoad[]): void {
    const now = this.clock.monotonic();
    const previous = this.zones.get(zone);
    if (previous !== undefined && previous.fence > fence) return;
    if (previous !== undefined && previous.fence < fence) this.orphaned.push(...previous.loads);
    const tracked = loads.map(({ readyInMs, ...load }) => ({
      zone,
      fence,
      ...load,
      endsAt: now + readyInMs,
    }));
    this.zones.set(zone, { fence, reportedAt: now, loads: tracked });
  }

  /** Returns the loads in progress: all that were last reported, those of silent coordinators until they have surely ended. */
  all(): TrackedStoreLoad[] {
    const now = this.clock.monotonic();
    this.orphaned = this.orphaned.filter(({ endsAt }) => endsAt + UNOBSERVED_END_MARGIN_MS > now);
    const byKey = new Map<string, TrackedStoreLoad>();
    for (const load of this.orphaned) byKey.set(storeKey(load.zone, load.model), load);
    for (const { reportedAt, loads } of this.zones.values()) {
      const isSilent = now - reportedAt > ZONE_SILENT_AFTER_MS;
      for (const load of loads)
        if (!isSilent || load.endsAt + UNOBSERVED_END_MARGIN_MS > now)
          byKey.set(storeKey(load.zone, load.model), load);
    }
    return [...byKey.values()];
  }
}
