/** Loads from the weight store of services with slow loads: what the zone wishes for, and what it may start under a grant. */
import {
  hasSlowLoads,
  type BackendDirectory,
  type LoadTracker,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import type { StoreLoadUnderWay, StoreWish, StoreWishKind } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import type { PlannedLoad } from './load-plan.js';
import type { LoadPlanner } from './load-planner.js';
import type { DemandGroup } from './pending-demand.js';
import type { StoreAccess } from './store-access.js';
import { StoreWishes } from './store-wishes.js';

/** A load in progress in the zone. */
export interface ZoneLoad {
  readonly service: string;
  readonly model: string;
  readonly readyInMs: number;
  /** Absent for loads without a grant. */
  readonly scheduledKind?: StoreWishKind;
}

/** Options of {@link ScheduledLoads}. */
export interface ScheduledLoadsOptions {
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  readonly access: StoreAccess;
  readonly planner: LoadPlanner;
  /** Returns the groups of demands for a service that wait in the zone. */
  readonly groupsOf: (service: string) => readonly DemandGroup[];
  readonly mayBegin: (group: DemandGroup) => boolean;
  readonly loading: () => readonly ZoneLoad[];
  readonly clock: Clock;
}

/** The zone's report to the scheduler of the weight store. */
export interface ScheduledReport {
  /** Whether any service has slow loads. */
  readonly hasServices: boolean;
  /** Time of the slowest load, in milliseconds. */
  readonly slowestLoadMs: number;
  readonly wishes: readonly StoreWish[];
  readonly loading: readonly StoreLoadUnderWay[];
}

/** A load that may start now. */
export interface StartableLoad {
  readonly planned: PlannedLoad;
  readonly kind: StoreWishKind;
}

/** Scheduled loads of one zone. */
export class ScheduledLoads {
  private readonly wishes: StoreWishes;
  private aheadCount = 0;

  constructor(private readonly options: ScheduledLoadsOptions) {
    this.wishes = new StoreWishes(options);
  }

  /** Number of loads ahead of demand that were given out to start. */
  get loadsAhead(): number {
    return this.aheadCount;
  }

  /** Returns the zone's complete list of wishes and loads. */
  report(): ScheduledReport {
    const { directory, serviceOf, planner, groupsOf, mayBegin } = this.options;
    const wishes: StoreWish[] = [];
    let slowestLoadMs = 0;
    const services = new Set(directory.all().map((backEnd) => backEnd.service));
    const scheduled = [...services].filter((service) => planner.isScheduled(service));
    for (const service of scheduled) {
      const engine = serviceOf(service)?.engine;
      if (engine === undefined || !hasSlowLoads(engine)) continue;
      slowestLoadMs = Math.max(
        slowestLoadMs,
        ...[...engine.models.values()].map((model) => model.storeLoadMs),
      );
      const place = planner.storePlacements(service);
      const windowWaitMs = planner.windowWaitMs(service);
      wishes.push(
        ...this.wishes.of({ service, engine, groups: groupsOf(service), mayBegin, place, windowWaitMs }),
      );
    }
    return { hasServices: scheduled.length > 0, slowestLoadMs, wishes, loading: this.loading() };
  }

  private loading(): StoreLoadUnderWay[] {
    return this.options
      .loading()
      .flatMap(({ service, model, readyInMs, scheduledKind: kind }) =>
        kind === undefined ? [] : [{ service, model, kind, readyInMs: Math.round(readyInMs) }],
      );
  }

  /** Returns granted loads whose worker is free, at most one at a time per call and worker. */
  *startable(): Generator<StartableLoad> {
    const { access, planner, groupsOf, mayBegin } = this.options;
    for (const { service, model, kind } of access.grants()) {
      const isReplica = kind === 'replica';
      const waiting = groupsOf(service).find(
        (group) => group.model === model && group.isAdditionalReplica === isReplica,
      );
      const group = this.wishes.groupOf(service, model, kind, waiting?.demands);
      if (!mayBegin(group) || planner.windowWaitMs(service) > 0) continue;
      // Each load changes the state of its worker, so the next one is placed on the state after it.
      const choice = planner.storePlacements(service)(group, kind);
      const isFree = choice !== undefined && choice.candidate.busyMs <= 0 && choice.notBeforeMs <= 0;
      if (choice?.source !== 'store' || !isFree) continue;
      if (kind === 'ahead') this.aheadCount += 1;
      yield { planned: { group, choice, startsNow: true }, kind };
    }
  }
}
