/**
 * The newest plan of each service. Quotes are looked up in it: one plan serves all that are asked within a short time. Guards against a
 * plan for each quote: with a hundred groups that wait, each worked out up to 48 loads on all workers of the zone to place one more group.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { LoadPlanner, Outlook } from './load-planner.js';
import type { DemandGroup } from './pending-demand.js';

/** A plan is not looked up after this long, in milliseconds: loads from memory and disk take 440 to 1,200 ms. */
const PLAN_LIFETIME_MS = 100;
/** Groups that may have come since, as a part of those that waited: quotes grow by no more than this part unnoticed. */
const LARGEST_GROWTH = 0.1;

interface KeptPlan {
  readonly outlook: Outlook;
  /** Groups that waited when it was made. */
  readonly waiting: number;
}

/** Plans by service. */
export class CurrentPlans {
  private readonly kept = new Map<string, KeptPlan>();

  constructor(
    private readonly planner: LoadPlanner,
    /** Groups of a service that wait and may be loaded here. */
    private readonly groupsOf: (service: string) => readonly DemandGroup[],
    private readonly clock: Clock,
  ) {}

  /** A plan that says how things are now, a new one where needed; undefined for a service whose workers hold no models. */
  of(service: string): Outlook | undefined {
    const kept = this.kept.get(service);
    if (kept === undefined || this.ageMs(kept) > PLAN_LIFETIME_MS) return this.renew(service);
    const waiting = this.groupsOf(service).length;
    return waiting > kept.waiting * (1 + LARGEST_GROWTH) ? this.renew(service) : kept.outlook;
  }

  /** Plans anew. */
  renew(service: string): Outlook | undefined {
    const groups = this.groupsOf(service);
    const outlook = this.planner.plan(service, groups);
    if (outlook === undefined) this.kept.delete(service);
    else this.kept.set(service, { outlook, waiting: groups.length });
    return outlook;
  }

  /** Milliseconds since the last plan of a service; Infinity when there is none. */
  ageOf(service: string): number {
    const kept = this.kept.get(service);
    return kept === undefined ? Infinity : this.ageMs(kept);
  }

  /** A load has begun or ended: no plan says any more how things are. */
  drop(): void {
    this.kept.clear();
  }

  private ageMs({ outlook }: KeptPlan): number {
    return this.clock.monotonic() - outlook.madeAt;
  }
}
