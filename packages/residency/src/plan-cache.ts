/**
 * Caches the latest plan of each service. Quotes requested within a short time share one plan: with a hundred
 * waiting groups, a plan for each quote would work out up to 48 loads on all workers of the zone to place one
 * more group.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { LoadPlanner, PlanSnapshot } from './load-planner.js';
import type { DemandGroup } from './pending-demand.js';

/**
 * Maximum age of a plan used for quotes, in milliseconds; short relative to any load (440 to 1,200 ms from
 * memory and disk).
 */
const PLAN_LIFETIME_MS = 100;
/** Relative growth of the number of waiting groups after which a plan is stale. */
const MAX_QUEUE_GROWTH = 0.1;

interface CachedPlan {
  readonly snapshot: PlanSnapshot;
  /** Number of groups that waited when the plan was made. */
  readonly groupCount: number;
}

/** Cache of plans by service. */
export class PlanCache {
  private readonly cachedPlans = new Map<string, CachedPlan>();

  constructor(
    private readonly planner: LoadPlanner,
    /** Returns the waiting groups of a service that may be loaded here. */
    private readonly groupsOf: (service: string) => readonly DemandGroup[],
    private readonly clock: Clock,
  ) {}

  /** Returns a current plan, rebuilt where stale; undefined for a service whose workers hold no models. */
  get(service: string): PlanSnapshot | undefined {
    const cached = this.cachedPlans.get(service);
    if (cached === undefined || this.ageMs(cached) > PLAN_LIFETIME_MS) return this.rebuild(service);
    const groupCount = this.groupsOf(service).length;
    return groupCount > cached.groupCount * (1 + MAX_QUEUE_GROWTH) ? this.rebuild(service) : cached.snapshot;
  }

  /** Replaces the cached plan of a service. */
  rebuild(service: string): PlanSnapshot | undefined {
    const groups = this.groupsOf(service);
    const snapshot = this.planner.plan(service, groups);
    if (snapshot === undefined) this.cachedPlans.delete(service);
    else this.cachedPlans.set(service, { snapshot, groupCount: groups.length });
    return snapshot;
  }

  /** Returns the milliseconds since the last plan of a service; Infinity when there is none. */
  lastPlanAgeMs(service: string): number {
    const cached = this.cachedPlans.get(service);
    return cached === undefined ? Infinity : this.ageMs(cached);
  }

  /** Discards all plans after a load has started or ended. */
  invalidate(): void {
    this.cachedPlans.clear();
  }

  private ageMs({ snapshot }: CachedPlan): number {
    return this.clock.monotonic() - snapshot.madeAt;
  }
}
