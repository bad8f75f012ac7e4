/**
 * The newest plan of each service. Quotes are looked up in it: one plan serves all that are asked within a short time. Guards against a
 * plan for each quote: with a hundred groups that wait, each worked out up to 48 loads on all workers of the zone to place one more group.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { LoadPlanner, PlanSnapshot } from './load-planner.js';
import type { DemandGroup } from './pending-demand.js';

/** A plan is not looked up after this long, in milliseconds: loads from memory and disk take 440 to 1,200 ms. */
const PLAN_LIFETIME_MS = 100;
/** Groups that may have come since, as a part of those that waited: quotes grow by no more than this part unnoticed. */
const MAX_QUEUE_GROWTH = 0.1;

interface CachedPlan {
  readonly snapshot: PlanSnapshot;
  /** Groups that waited when it was made. */
  readonly groupCount: number;
}

/** Plans by service. */
export class PlanCache {
  private readonly cachedPlans = new Map<string, CachedPlan>();

  constructor(
    private readonly planner: LoadPlanner,
    /** Groups of a service that wait and may be loaded here. */
    private readonly groupsOf: (service: string) => readonly DemandGroup[],
    private readonly clock: Clock,
  ) {}

  /** A plan that says how things are now, a new one where needed; undefined for a service whose workers hold no models. */
  get(service: string): PlanSnapshot | undefined {
    const cached = this.cachedPlans.get(service);
    if (cached === undefined || this.ageMs(cached) > PLAN_LIFETIME_MS) return this.rebuild(service);
    const groupCount = this.groupsOf(service).length;
    return groupCount > cached.groupCount * (1 + MAX_QUEUE_GROWTH) ? this.rebuild(service) : cached.snapshot;
  }

  /** Plans anew. */
  rebuild(service: string): PlanSnapshot | undefined {
    const groups = this.groupsOf(service);
    const snapshot = this.planner.plan(service, groups);
    if (snapshot === undefined) this.cachedPlans.delete(service);
    else this.cachedPlans.set(service, { snapshot, groupCount: groups.length });
    return snapshot;
  }

  /** Milliseconds since the last plan of a service; Infinity when there is none. */
  lastPlanAgeMs(service: string): number {
    const cached = this.cachedPlans.get(service);
    return cached === undefined ? Infinity : this.ageMs(cached);
  }

  /** A load has begun or ended: no plan says any more how things are. */
  invalidate(): void {
    this.cachedPlans.clear();
  }

  private ageMs({ snapshot }: CachedPlan): number {
    return this.clock.monotonic() - snapshot.madeAt;
  }
}
