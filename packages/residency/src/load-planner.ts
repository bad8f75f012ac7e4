/**
 * Plans the loads of one zone from what is known now: which workers may load, what the weight store bears, how many
 * replicas there are and what is asked for. Decides nothing by itself: see {@link planLoads} and
 * {@link choosePlacement}.
 */
import type { BackendDirectory, EngineDefinition, LoadBook, ServiceDefinition } from '@woodbarrow/backends';
import type { Clock } from '@woodbarrow/runtime';
import { planLoads, urgencyOf, type LoadPlan, type PlannedLoad } from './load-plan.js';
import type { LoadTimes } from './load-times.js';
import { MemoizedLoads, memoize, type LoadView } from './load-view.js';
import { LoadWindow } from './load-window.js';
import type { DemandGroup, NoPlaceCause } from './pending-demand.js';
import {
  choosePlacement,
  rankVictims,
  type PlacementCandidate,
  type PlacementChoice,
  type PlacementInputs,
  type RankedVictim,
} from './placement-choice.js';
import type { ResidentSet } from './resident-set.js';
import type { RetryReservations } from './retry-reservations.js';
import type { StoreLink, StoreLoad } from './store-link.js';
import type { UnservedModels } from './unserved-models.js';
import type { WorkerOrders } from './worker-orders.js';

/** What the weight store bears. */
export interface StoreWindowOptions {
  readonly windowMs: number;
  /** Allowed excess over the rate, for example 1.1. */
  readonly overshoot: number;
}

/** Options of {@link LoadPlanner}. */
export interface LoadPlannerOptions {
  readonly directory: BackendDirectory;
  readonly loads: LoadBook;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  /** Workers of the zone that take requests, by service. */
  readonly workersOf: (service: string) => readonly WorkerOrders[];
  /** Zones with workers that run models: they share the weight store. */
  readonly zones: () => readonly string[];
  readonly storeWindow: StoreWindowOptions;
  readonly link: StoreLink;
  readonly times: LoadTimes;
  readonly clock: Clock;
}

/**
 * What one plan reads, each answer worked out once: all groups of a plan ask for the same victims on the same workers, and ranking
 * them anew for each group was 22 % of a coordinator's processor time (98 workers, 334 models, a hundred groups that wait).
 */
interface PlanView {
  readonly engine: EngineDefinition;
  readonly loads: LoadView;
  /** Workers in all zones that hold a model. */
  readonly replicasOf: (model: string) => number;
  readonly victimsOf: (candidate: PlacementCandidate) => readonly RankedVictim[];
}

/** A plan with all that it was made from, for groups that come a moment later. */
export interface PlanSnapshot {
  readonly plan: LoadPlan;
  /** Monotonic time at which it was made. */
  readonly madeAt: number;
  /** Places a group with what the groups before it leave; undefined when no worker can make room. */
  readonly place: (group: DemandGroup) => PlacementChoice | undefined;
  /** Why there is no place for a group. */
  readonly noPlaceCause: (group: DemandGroup) => NoPlaceCause;
}

/** Limits of a placement that are set otherwise than usual. */
type PlacementOverrides = Partial<Pick<PlacementInputs, 'maximumVictimValue' | 'storeWaitMs'>>;

/** Loads allowed in a window beside the rate. */
const WINDOW_EXTRA_LOADS = 3;
/** Part of the allowed loads that is used; what other zones do at a change of hands is not known. */
const WINDOW_SAFETY_FACTOR = 0.85;
/** Another replica takes the place only of models that are asked for clearly less, by this factor. */
const REPLICA_VICTIM_VALUE_SHARE = 0.5;
/** Models that are asked for less than this make way for any request. */
const MIN_VICTIM_VALUE_LIMIT = 3;
/**
 * Time in which a model that is asked for in vain may displace twice as much, in milliseconds. Recent demand counts hundreds at
 * most, which is reached in seven seconds: less than clients of rarely used models wait, and more than a usual swap takes.
 */
const VICTIM_LIMIT_DOUBLING_MS = 1000;
/** Part of the weight store's link that second replicas may use; the rest is for models that nobody has. */
const REPLICA_LINK_SHARE = 0.5;

/** Planner of one zone's loads. */
export class LoadPlanner {
  private readonly window: LoadWindow;
  private storeWindowLimit = 1;

  constructor(
    private readonly options: LoadPlannerOptions,
    private readonly reservations: RetryReservations,
    private readonly unserved: Pick<UnservedModels, 'waitedMs'>,
  ) {
    const { storeWindow, clock, zones } = options;
    this.window = new LoadWindow(
      { windowMs: storeWindow.windowMs, limit: () => this.storeWindowLimit, zoneCount: () => zones().length },
      clock,
    );
  }

  /** Plans the loads of groups of demands, the most urgent first; undefined for a service whose workers hold no models. */
  plan(service: string, groups: readonly DemandGroup[]): PlanSnapshot | undefined {
    const { clock, serviceOf, link } = this.options;
    const engine = serviceOf(service)?.engine;
    if (engine === undefined) return undefined;
    link.accumulateConcurrency();
    this.storeWindowLimit = this.storeWindowLimitOf(engine);
    const view = this.createView(service, engine);
    const candidates = this.candidates(service);
    const madeAt = clock.monotonic();
    const plan = planLoads({
      groups,
      candidates,
      now: madeAt,
      choose: (group, available) => this.choose(group, available, view),
    });
    return {
      plan,
      madeAt,
      place: (group) => this.choose(group, plan.candidatesFor(urgencyOf(group, clock.monotonic())), view),
      noPlaceCause: (group) => this.noPlaceCause(group, candidates, view),
    };
  }

  private noPlaceCause(
    group: DemandGroup,
    candidates: readonly PlacementCandidate[],
    view: PlanView,
  ): NoPlaceCause {
    if (candidates.length === 0) return 'no_worker';
    if (this.choose(group, candidates, view, { maximumVictimValue: Infinity }) !== undefined)
      return 'no_victim';
    const withStore = { maximumVictimValue: Infinity, storeWaitMs: 0 };
    return this.choose(group, candidates, view, withStore) === undefined ? 'no_memory' : 'store_barred';
  }

  private createView(service: string, engine: EngineDefinition): PlanView {
    const { clock, times } = this.options;
    const loads = new MemoizedLoads(this.options.loads);
    const replicasOf = this.countReplicas(service);
    const now = clock.monotonic();
    const reservedUntil = (name: string): number => this.reservations.reservedUntil(name);
    const victims = new Map<ResidentSet, readonly RankedVictim[]>();
    const victimsOf = (candidate: PlacementCandidate): readonly RankedVictim[] => {
      let ranked = victims.get(candidate.residents);
      if (ranked === undefined) {
        ranked = rankVictims(candidate, { loads, times, now, reservedUntil, replicasOf });
        victims.set(candidate.residents, ranked);
      }
      return ranked;
    };
    return { engine, loads, replicasOf, victimsOf };
  }

  /** Whether a worker could begin a load now. */
  hasFreeWorker(service: string): boolean {
    return this.candidates(service).some(({ busyMs }) => busyMs <= 0);
  }

  /** Whether the weight store bears a load now; loads that begin in one pass count as well. */
  canUseStore({ group, choice }: PlannedLoad): boolean {
    return choice.source !== 'store' || this.storeWaitMs(group, choice.loadMs) <= 0;
  }

  /** Counts a load from the weight store that begins; undefined for any other. */
  recordStart({ group, choice }: PlannedLoad): StoreLoad | undefined {
    if (choice.source !== 'store') return undefined;
    this.window.record();
    const { link, serviceOf } = this.options;
    const model = serviceOf(group.service)?.engine?.models.get(group.model);
    return link.begin(model?.storeLoadMs ?? choice.loadMs);
  }

  /** Milliseconds until the weight store may be used for a group; Infinity when it may not. */
  private storeWaitMs(group: DemandGroup, loadMs: number): number {
    const { link } = this.options;
    if (!group.demands.some((demand) => demand.mayUseStore)) return Infinity;
    if (group.isAdditionalReplica && link.concurrentLoads >= link.loadLimit * REPLICA_LINK_SHARE)
      return Infinity;
    return Math.max(this.window.waitMs(), link.waitMs(loadMs));
  }

  private storeWindowLimitOf(engine: EngineDefinition): number {
    const { windowMs, overshoot } = this.options.storeWindow;
    const allowed = (engine.storeLoadsPerSecond * windowMs * overshoot) / 1000;
    return Math.floor((allowed + WINDOW_EXTRA_LOADS) * WINDOW_SAFETY_FACTOR);
  }

  private choose(
    group: DemandGroup,
    available: readonly PlacementCandidate[],
    { engine, loads, replicasOf, victimsOf }: PlanView,
    limits: PlacementOverrides = {},
  ): PlacementChoice | undefined {
    const model = engine.models.get(group.model);
    if (model === undefined) return undefined;
    const isUsable = (candidate: PlacementCandidate): boolean =>
      canLoad(candidate, model.name) &&
      group.demands.some((demand) => !demand.without.includes(candidate.backEnd.id));
    const wanted = loads.demandFor(model.name) + group.demands.length;
    const share = wanted / (replicasOf(model.name) + 1);
    return choosePlacement({
      model,
      engine,
      candidates: available.filter(isUsable),
      victimsOf,
      times: this.options.times,
      storeWaitMs: this.storeWaitMs(group, model.storeLoadMs),
      storeSlowdown: this.options.link.slowdown(),
      maximumVictimValue: group.isAdditionalReplica
        ? share * REPLICA_VICTIM_VALUE_SHARE
        : Math.max(MIN_VICTIM_VALUE_LIMIT * this.waitFactor(group), share),
      ...limits,
    });
  }

  /** How much more a model may displace that has been asked for in vain for a while. */
  private waitFactor({ service, model }: DemandGroup): number {
    return 2 ** (this.unserved.waitedMs(service, model) / VICTIM_LIMIT_DOUBLING_MS);
  }

  private candidates(service: string): PlacementCandidate[] {
    const { directory, workersOf } = this.options;
    return workersOf(service)
      .filter((worker) => worker.isSynchronized && worker.isResponsive)
      .flatMap((worker) => {
        const backEnd = directory.get(worker.backEndId);
        return backEnd === undefined ? [] : [{ backEnd, residents: worker.residents, busyMs: worker.busyMs }];
      });
  }

  private countReplicas(service: string): (model: string) => number {
    const counts = new Map<string, number>();
    const { directory } = this.options;
    return (model) => memoize(counts, model, () => directory.holdersOf(service, { model }).length);
  }
}

/** Whether a worker can load a model now, or once it is free: one that unloads it is soon without it. */
function canLoad({ residents, busyMs }: PlacementCandidate, model: string): boolean {
  const state = residents.models.get(model)?.state;
  return state === undefined || (state === 'unloading' && busyMs > 0);
}
