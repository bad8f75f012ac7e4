/**
 * Plans the loads of one zone from the current state: available workers, capacity of the weight store,
 * replicas and demand. The decisions are made by {@link planLoads} and {@link choosePlacement}.
 */
import {
  hasSlowLoads,
  UNIFORM_PACE,
  type BackendDirectory,
  type EngineDefinition,
  type LoadTracker,
  type PaceView,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import type { StoreWishKind } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { planLoads, urgencyOf, type LoadPlan, type PlannedLoad } from './load-plan.js';
import type { LoadTimes } from './load-times.js';
import { MemoizedLoads, memoize, type LoadView } from './load-view.js';
import { LoadWindow } from './load-window.js';
import { hasLocalCopy } from './local-copies.js';
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
import type { StoreAccess } from './store-access.js';
import type { StoreLink, StoreLoad } from './store-link.js';
import type { UnservedModels } from './unserved-models.js';
import { selectReplicaVictims, type VictimPresence } from './victim-protection.js';
import type { WorkerOrders } from './worker-orders.js';

/** Rate limit of the weight store. */
export interface StoreWindowOptions {
  readonly windowMs: number;
  /** Allowed factor over the configured rate, for example 1.1. */
  readonly overshoot: number;
}

/** Options of {@link LoadPlanner}. */
export interface LoadPlannerOptions {
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  /** Returns the workers of the zone that accept requests, by service. */
  readonly workersOf: (service: string) => readonly WorkerOrders[];
  /** Returns the zones with workers that run models; they share the weight store. */
  readonly zones: () => readonly string[];
  readonly storeWindow: StoreWindowOptions;
  readonly link: StoreLink;
  /** The link as observed by loads of services with slow loads, which the weight store schedule grants. */
  readonly scheduledLink: StoreLink;
  readonly access: StoreAccess;
  /**
   * Returns the milliseconds until a model that another zone is loading should be resident there; Infinity
   * when none is loading it.
   */
  readonly expectedElsewhereInMs: (model: string) => number;
  readonly times: LoadTimes;
  readonly clock: Clock;
  /** Pace of the workers; used for services with slow loads. Default: all workers are equally fast. */
  readonly paces?: PaceView;
}

/**
 * Inputs of one plan, each computed once: all groups of a plan need the same victims of the same workers.
 * Ranking them again for each group took 22 % of a coordinator's processor time with 98 workers, 334 models
 * and a hundred waiting groups.
 */
interface PlanInputs {
  readonly engine: EngineDefinition;
  readonly loads: LoadView;
  /** Returns the number of workers in all zones that hold a model. */
  readonly replicasOf: (model: string) => number;
  readonly victimsOf: (candidate: PlacementCandidate) => readonly RankedVictim[];
  /** Returns those that an additional replica may displace, cheapest first. */
  readonly replicaVictimsOf: (candidate: PlacementCandidate) => readonly RankedVictim[];
}

/** A plan with its inputs, used to place groups that arrive shortly after it was made. */
export interface PlanSnapshot {
  readonly plan: LoadPlan;
  /** Monotonic time at which the plan was made. */
  readonly madeAt: number;
  /**
   * Places a group with the capacity that more urgent groups leave; undefined when no worker has capacity.
   */
  readonly place: (group: DemandGroup) => PlacementChoice | undefined;
  /** Returns why a group cannot be placed. */
  readonly noPlaceCause: (group: DemandGroup) => NoPlaceCause;
}

/** Limits that override those of a usual placement. */
type PlacementOverrides = Partial<Pick<PlacementInputs, 'maximumVictimValue' | 'storeWaitMs' | 'victimsOf'>>;

/** Number of loads allowed in a window in addition to the rate. */
const WINDOW_EXTRA_LOADS = 3;
/** Share of the allowed loads that is used; leaves a reserve for loads that a change of coordinator hides. */
const WINDOW_SAFETY_FACTOR = 0.85;
/** An additional replica may evict only models whose demand is below this share of its own. */
const REPLICA_VICTIM_VALUE_SHARE = 0.5;
/** Models with less demand than this may always be evicted. */
const MIN_VICTIM_VALUE_LIMIT = 3;
/**
 * Interval after which the victim limit of an unserved model doubles, in milliseconds. Recent demand reaches
 * a few hundreds at most, which the limit exceeds after seven seconds: sooner than clients of rarely used
 * models give up, and later than a usual swap takes.
 */
const VICTIM_LIMIT_DOUBLING_MS = 1000;
/**
 * Share of the weight store's link that additional replicas may use; the rest is for models without any
 * replica.
 */
const REPLICA_LINK_SHARE = 0.5;

/** Loads ahead of demand evict only models with at least this many replicas. */
const MIN_REPLICAS_OF_SPARE_VICTIM = 2;

/** Plans the loads of one zone. */
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

  /**
   * Plans the loads of groups of demands, most urgent first; undefined for a service whose workers hold no
   * models.
   */
  plan(service: string, groups: readonly DemandGroup[]): PlanSnapshot | undefined {
    const { clock, serviceOf, link, scheduledLink } = this.options;
    const engine = serviceOf(service)?.engine;
    if (engine === undefined) return undefined;
    link.accumulateConcurrency();
    scheduledLink.accumulateConcurrency();
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

  /** Whether loads of a service from the weight store need a grant. */
  isScheduled(service: string): boolean {
    const engine = this.options.serviceOf(service)?.engine;
    return engine !== undefined && hasSlowLoads(engine);
  }

  /** Returns a function that places groups as if the weight store were free, on the current state of the workers. */
  storePlacements(service: string): (group: DemandGroup, kind: StoreWishKind) => PlacementChoice | undefined {
    const engine = this.options.serviceOf(service)?.engine;
    if (engine === undefined) return () => undefined;
    const view = this.createView(service, engine);
    const candidates = this.candidates(service);
    const spareVictims = (candidate: PlacementCandidate): readonly RankedVictim[] =>
      view
        .replicaVictimsOf(candidate)
        .filter(({ name }) => view.replicasOf(name) >= MIN_REPLICAS_OF_SPARE_VICTIM);
    return (group, kind) =>
      this.choose(group, candidates, view, {
        storeWaitMs: 0,
        ...(kind === 'ahead' ? { victimsOf: spareVictims } : {}),
      });
  }

  /** Returns the milliseconds until the zone may start another load by its rate limit. */
  windowWaitMs(service: string): number {
    const engine = this.options.serviceOf(service)?.engine;
    if (engine !== undefined) this.storeWindowLimit = this.storeWindowLimitOf(engine);
    return this.window.waitMs();
  }

  private noPlaceCause(
    group: DemandGroup,
    candidates: readonly PlacementCandidate[],
    view: PlanInputs,
  ): NoPlaceCause {
    if (candidates.length === 0) return 'no_worker';
    if (this.choose(group, candidates, view, { maximumVictimValue: Infinity }) !== undefined)
      return 'no_victim';
    const withStore = { maximumVictimValue: Infinity, storeWaitMs: 0 };
    return this.choose(group, candidates, view, withStore) === undefined ? 'no_memory' : 'store_barred';
  }

  private createView(service: string, engine: EngineDefinition): PlanInputs {
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
    const presence = this.presenceOf(service, loads);
    const replicaVictimsOf = hasSlowLoads(engine)
      ? (candidate: PlacementCandidate): RankedVictim[] =>
          selectReplicaVictims(candidate.backEnd.id, victimsOf(candidate), presence)
      : victimsOf;
    return { engine, loads, replicasOf, victimsOf, replicaVictimsOf };
  }

  private presenceOf(service: string, loads: LoadView): VictimPresence {
    const { directory } = this.options;
    const ids = (backEnds: readonly { readonly id: string }[]): string[] => backEnds.map(({ id }) => id);
    return {
      demandFor: (model) => loads.demandFor(model),
      holdersOf: (model) => ids(directory.holdersOf(service, { model })),
      copiesOf: (model) =>
        ids(directory.ofService(service).filter((other) => !other.draining && hasLocalCopy(other, model))),
      endsInMs: (id, model) => loads.endsInMs(id, model),
    };
  }

  /** Whether a worker could start a load now. */
  hasFreeWorker(service: string): boolean {
    return this.candidates(service).some(({ busyMs }) => busyMs <= 0);
  }

  /** Whether the weight store can take a load now, including loads already started in the same pass. */
  canUseStore({ group, choice }: PlannedLoad): boolean {
    return choice.source !== 'store' || this.storeWaitMs(group, choice.loadMs) <= 0;
  }

  /** Records the start of a load from the weight store; undefined for any other source. */
  recordStart({ group, choice }: PlannedLoad): StoreLoad | undefined {
    if (choice.source !== 'store') return undefined;
    this.window.record();
    const { serviceOf, access } = this.options;
    const isScheduled = this.isScheduled(group.service);
    if (isScheduled) access.recordStart(group.service, group.model);
    const link = isScheduled ? this.options.scheduledLink : this.options.link;
    const model = serviceOf(group.service)?.engine?.models.get(group.model);
    return link.begin(model?.storeLoadMs ?? choice.loadMs);
  }

  /** Returns the milliseconds until the weight store may be used for a group; Infinity when it may not. */
  private storeWaitMs(group: DemandGroup, loadMs: number): number {
    const { link } = this.options;
    if (!group.demands.some((demand) => demand.mayUseStore)) return Infinity;
    if (this.isScheduled(group.service)) return this.scheduledWaitMs(group);
    if (group.isAdditionalReplica && link.concurrentLoads >= link.loadLimit * REPLICA_LINK_SHARE)
      return Infinity;
    return Math.max(this.window.waitMs(), link.waitMs(loadMs));
  }

  private scheduledWaitMs({ service, model }: DemandGroup): number {
    const { access, expectedElsewhereInMs } = this.options;
    // The link is slow, so the same model is not loaded in two zones at once.
    if (expectedElsewhereInMs(model) !== Infinity) return Infinity;
    return Math.max(this.window.waitMs(), access.startInMs(service, model));
  }

  private storeWindowLimitOf(engine: EngineDefinition): number {
    const { windowMs, overshoot } = this.options.storeWindow;
    const allowed = (engine.storeLoadsPerSecond * windowMs * overshoot) / 1000;
    return Math.floor((allowed + WINDOW_EXTRA_LOADS) * WINDOW_SAFETY_FACTOR);
  }

  private choose(
    group: DemandGroup,
    available: readonly PlacementCandidate[],
    { engine, loads, replicasOf, victimsOf, replicaVictimsOf }: PlanInputs,
    limits: PlacementOverrides = {},
  ): PlacementChoice | undefined {
    const { paces = UNIFORM_PACE } = this.options;
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
      victimsOf: group.isAdditionalReplica ? replicaVictimsOf : victimsOf,
      times: this.options.times,
      storeWaitMs: limits.storeWaitMs ?? this.storeWaitMs(group, model.storeLoadMs),
      ...(hasSlowLoads(engine) ? { paceOf: (id: string) => paces.paceOf(id) } : {}),
      // Scheduled loads wait until they run at full speed.
      storeSlowdown: this.isScheduled(group.service) ? 1 : this.options.link.slowdown(),
      maximumVictimValue: group.isAdditionalReplica
        ? share * REPLICA_VICTIM_VALUE_SHARE
        : Math.max(MIN_VICTIM_VALUE_LIMIT * this.waitFactor(group), share),
      ...limits,
    });
  }

  /** Returns the factor by which the victim limit of a model has grown since it was first refused. */
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

/**
 * Whether a worker can load a model now, or once it is free: a model that is being unloaded will be gone by
 * then.
 */
function canLoad({ residents, busyMs }: PlacementCandidate, model: string): boolean {
  const state = residents.models.get(model)?.state;
  return state === undefined || (state === 'unloading' && busyMs > 0);
}
