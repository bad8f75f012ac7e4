/** Plans the loads and unloads of a zone from its holdings and demand. The plan is executed elsewhere. */
import type { CatalogModel } from '@woodbarrow/configuration';
import type { ModelDemand } from '@woodbarrow/protocol';
import type { ModelActivity } from './model-activity.js';
import { totalDemand, type TotalDemand } from './model-activity.js';
import { cheapestEviction } from './eviction.js';
import { isWarmTime } from './warm-hours.js';
import {
  checkpointOf,
  estimateLoad,
  findCopies,
  type CheckpointCopies,
  type LoadEstimate,
} from './load-estimate.js';
import type { BlockedReason } from './replica-publisher.js';
import type { WorkerView } from './worker-view.js';

/** A replica to load. */
export interface LoadAction {
  readonly model: CatalogModel;
  readonly worker: WorkerView;
  readonly estimate: LoadEstimate;
}

/** A replica to unload. */
export interface UnloadAction {
  readonly model: string;
  readonly worker: WorkerView;
  readonly reason: 'idle' | 'limit' | 'evicted' | 'leaving' | 'unknown_model';
}

/** An adapter to load onto a loaded base model. */
export interface AdapterAction {
  readonly model: CatalogModel;
  readonly worker: WorkerView;
  readonly adapter: string;
  readonly memoryGib: number;
}

/** The actions of one planning step. */
export interface PlacementPlan {
  readonly loads: readonly LoadAction[];
  readonly unloads: readonly UnloadAction[];
  readonly adapters: readonly AdapterAction[];
  /** Loads that only cache a checkpoint on a worker; the replica is unloaded as soon as it is ready. */
  readonly warming: readonly LoadAction[];
  /** Planned number of replicas of each model that has any. */
  readonly decided: ReadonlyMap<string, number>;
  /** Why a needed load is currently not possible, by model. */
  readonly blocked: ReadonlyMap<string, BlockedReason>;
}

/** Input of the planner. */
export interface PlacementState {
  readonly zone: string;
  readonly nowMs: number;
  /** Wall clock time in milliseconds since the epoch, for hours of the day. */
  readonly wallMs: number;
  /** False while workers may hold models from a former coordinator that this one has not observed. */
  readonly recovered: boolean;
  readonly workers: readonly WorkerView[];
  readonly models: ReadonlyMap<string, CatalogModel>;
  /** Demand reports of a model that have not expired. */
  readonly demandsOf: (model: string) => readonly ModelDemand[];
  readonly activityOf: (model: string) => ModelActivity;
  /** Models being loaded only to cache their checkpoint on a worker. */
  readonly warming: ReadonlySet<string>;
}

/** Number of load times before their deadline at which deferrable requests start a load. */
const DEFERRABLE_LOAD_MARGIN = 2;

/** Minimum cold start weight of a model for its checkpoint to be cached in advance. */
const MIN_WARMING_WEIGHT = 0.5;
/** Minimum share of a worker's memory that must be free to cache a checkpoint in advance. */
const MIN_WARMING_FREE_SHARE = 0.4;

interface NeededLoad {
  readonly model: CatalogModel;
  readonly demand: TotalDemand;
}

/** Plans the next actions of a zone. */
export function planPlacement(state: PlacementState): PlacementPlan {
  const plan = new PlanBuilder(state);
  plan.planUnwantedUnloads();
  plan.planModels();
  plan.planLoads();
  plan.planCheckpointWarming();
  return plan.result();
}

class PlanBuilder {
  private readonly loads: LoadAction[] = [];
  private readonly unloads: UnloadAction[] = [];
  private readonly adapters: AdapterAction[] = [];
  private readonly warming: LoadAction[] = [];
  private readonly decided = new Map<string, number>();
  private readonly blocked = new Map<string, BlockedReason>();
  private readonly neededLoads: NeededLoad[] = [];
  /** Memory that this plan commits, by worker, in GiB. */
  private readonly plannedGib = new Map<string, number>();

  /** Workers that hold or may hold a model, by model; excludes workers with unknown holdings. */
  private readonly holders = new Map<string, WorkerView[]>();
  /** Workers with unknown holdings, which may hold any model. */
  private readonly unobservedWorkers: readonly WorkerView[];
  private cachedCopies: CheckpointCopies | undefined;

  constructor(private readonly state: PlacementState) {
    this.unobservedWorkers = state.workers.filter((worker) => worker.hasUnknownHoldings);
    for (const worker of state.workers) {
      if (worker.hasUnknownHoldings) continue;
      for (const { model } of worker.holdings()) {
        const holders = this.holders.get(model);
        if (holders === undefined) this.holders.set(model, [worker]);
        else holders.push(worker);
      }
    }
  }

  result(): PlacementPlan {
    const { loads, unloads, adapters, warming, decided, blocked } = this;
    return { loads, unloads, adapters, warming, decided, blocked };
  }

  /** Plans the unload of replicas on leaving workers and of models without a template. */
  planUnwantedUnloads(): void {
    for (const worker of this.state.workers) {
      for (const entry of worker.inventory?.models ?? []) {
        if (entry.state === 'unloading') continue;
        if (!this.state.models.has(entry.model)) this.unload(entry.model, worker, 'unknown_model');
        else if (worker.isLeaving) this.unload(entry.model, worker, 'leaving');
      }
    }
  }

  planModels(): void {
    for (const model of this.state.models.values()) {
      const allotment = allotmentOf(model, this.state.zone);
      const holders = this.holdersOf(model.id);
      if (allotment === 0 && holders.length === 0) continue;
      const demand = totalDemand(this.state.demandsOf(model.id));
      if (holders.length === 0 && demand.waiting === 0 && this.minimumReplicas(model) === 0) continue;
      const serving = holders.filter((worker) => this.isServing(worker, model.id));
      const desired = Math.min(allotment, this.desiredReplicas(model, demand, serving));
      if (desired > 0 || serving.length > 0) this.decided.set(model.id, Math.max(desired, serving.length));
      if (serving.length > desired) this.planShrink(model, serving, desired, allotment);
      else if (desired > serving.length) this.planGrowth(model, demand, holders, allotment);
      this.planAdapters(model, demand, serving);
    }
  }

  /** Plans the needed loads, ordered by priority, then by deadline. */
  planLoads(): void {
    const ordered = this.neededLoads.sort(
      (left, right) =>
        left.demand.topPriority - right.demand.topPriority ||
        left.demand.firstDeadlineMs - right.demand.firstDeadlineMs ||
        (left.model.id < right.model.id ? -1 : 1),
    );
    for (const { model, demand } of ordered) this.planLoad(model, demand);
  }

  /**
   * While no load is needed and enough memory is free, loads one model that no worker of the zone has a copy of, so
   * that its next cold start loads from a disk rather than from the weight store. This applies only in the model's
   * first zone, and only if its cold starts weigh at least as much as idle time.
   */
  planCheckpointWarming(): void {
    const { state } = this;
    const isBusy = this.neededLoads.length > 0 || state.warming.size > 0 || !state.recovered;
    if (isBusy || state.workers.some((worker) => loadingCount(worker) > 0)) return;
    const spaciousWorkers = state.workers.filter(
      (worker) => worker.isAccepting && this.hasMemoryForWarming(worker),
    );
    if (spaciousWorkers.length === 0) return;
    for (const model of state.models.values()) {
      const isCandidate =
        model.coldStartWeight >= MIN_WARMING_WEIGHT &&
        model.allotments[0]?.zone === state.zone &&
        !this.copies().has(checkpointOf(model)) &&
        this.holdersOf(model.id).length === 0;
      if (!isCandidate) continue;
      const best = this.fastestLoad(
        model,
        spaciousWorkers.filter((worker) => this.freeGib(worker) >= model.parameters.memoryGib),
      );
      if (best === undefined) continue;
      this.warming.push(best);
      return;
    }
  }

  /** Index of the checkpoint copies in the zone, created on first use. */
  private copies(): CheckpointCopies {
    this.cachedCopies ??= findCopies(this.state.workers);
    return this.cachedCopies;
  }

  private hasMemoryForWarming(worker: WorkerView): boolean {
    return this.freeGib(worker) >= (worker.inventory?.memoryGib ?? 0) * MIN_WARMING_FREE_SHARE;
  }

  private holdersOf(model: string): readonly WorkerView[] {
    const holders = this.holders.get(model) ?? [];
    return this.unobservedWorkers.length === 0 ? holders : [...holders, ...this.unobservedWorkers];
  }

  private isServing(worker: WorkerView, model: string): boolean {
    if (worker.retiring.has(model) || !worker.isAccepting) return false;
    const entry = worker.loaded(model);
    return entry === undefined ? worker.intents.has(model) : entry.state !== 'unloading';
  }

  private desiredReplicas(model: CatalogModel, demand: TotalDemand, serving: readonly WorkerView[]): number {
    const minimum = this.minimumReplicas(model);
    const ready = serving.filter((worker) => worker.loaded(model.id)?.state === 'ready').length;
    const loading = serving.length - ready;
    if (demand.waiting > 0) {
      if (serving.length === 0 && demand.deferrable && !this.isDeferralOver(model, demand)) return minimum;
      if (loading > 0) return Math.max(minimum, serving.length);
      const busy = demand.running + demand.waiting;
      return Math.max(minimum, serving.length, Math.ceil(busy / model.parameters.concurrency), 1);
    }
    if (this.state.warming.has(model.id) && loading === 0) return minimum;
    const activity = this.state.activityOf(model.id);
    const running = serving.reduce((total, worker) => total + (worker.loaded(model.id)?.running ?? 0), 0);
    if (running > 0 || demand.running > 0) return Math.max(minimum, serving.length);
    const load = model.parameters.loadSeconds;
    const keepAlive = activity.gaps.optimalKeepAliveSeconds(
      load.disk,
      model.coldStartWeight,
      model.parameters.keepAlive,
    );
    const idleSeconds = (this.state.nowMs - activity.lastUsedAt) / 1000;
    if (loading > 0 || idleSeconds < keepAlive) return Math.max(minimum, serving.length);
    return minimum;
  }

  private isDeferralOver(model: CatalogModel, demand: TotalDemand): boolean {
    return demand.firstDeadlineMs < model.parameters.loadSeconds.remote * 1000 * DEFERRABLE_LOAD_MARGIN;
  }

  /** Number of replicas that this zone keeps loaded without demand. */
  private minimumReplicas(model: CatalogModel): number {
    const warmReplicas = isWarmTime(model.parameters.keepWarm, this.state.wallMs) ? 1 : 0;
    let remainingMinimum = Math.max(model.parameters.replicas.minimum, warmReplicas);
    for (const allotment of model.allotments) {
      const share = Math.min(remainingMinimum, allotment.replicas);
      if (allotment.zone === this.state.zone) return share;
      remainingMinimum -= share;
    }
    return 0;
  }

  private planShrink(
    model: CatalogModel,
    serving: readonly WorkerView[],
    desired: number,
    allotment: number,
  ): void {
    const reason = serving.length > allotment ? 'limit' : 'idle';
    const candidates = serving
      .filter((worker) => worker.loaded(model.id)?.state === 'ready')
      .sort((left, right) => (left.loaded(model.id)?.running ?? 0) - (right.loaded(model.id)?.running ?? 0));
    for (const worker of candidates.slice(0, serving.length - desired)) this.unload(model.id, worker, reason);
  }

  private planGrowth(
    model: CatalogModel,
    demand: TotalDemand,
    holders: readonly WorkerView[],
    allotment: number,
  ): void {
    if (holders.length >= allotment) {
      this.blocked.set(model.id, this.state.recovered ? 'limit' : 'recovering');
      return;
    }
    this.neededLoads.push({ model, demand });
  }

  private planLoad(model: CatalogModel, demand: TotalDemand): void {
    const candidates = this.state.workers.filter(
      (worker) => worker.isAccepting && !worker.hasUnknownOutcome && !worker.mayHold(model.id),
    );
    if (candidates.length === 0) {
      this.blocked.set(model.id, 'no_worker');
      return;
    }
    const fitting = candidates.filter((worker) => this.freeGib(worker) >= model.parameters.memoryGib);
    const best = this.fastestLoad(model, fitting);
    if (best !== undefined) {
      this.loads.push(best);
      this.commitMemory(best.worker, model.parameters.memoryGib);
      return;
    }
    this.blocked.set(model.id, 'memory');
    if (demand.waiting > 0) this.planEviction(model, candidates);
  }

  private fastestLoad(model: CatalogModel, workers: readonly WorkerView[]): LoadAction | undefined {
    const actions = workers.map((worker) => ({
      model,
      worker,
      estimate: estimateLoad(model, worker, this.copies()),
    }));
    actions.sort(
      (left, right) =>
        left.estimate.seconds - right.estimate.seconds ||
        loadingCount(left.worker) - loadingCount(right.worker) ||
        this.freeGib(right.worker) - this.freeGib(left.worker) ||
        (left.worker.id < right.worker.id ? -1 : 1),
    );
    return actions[0];
  }

  /** Plans the cheapest eviction that frees enough memory, unless unloads in progress already do. */
  private planEviction(model: CatalogModel, candidates: readonly WorkerView[]): void {
    const neededGib = model.parameters.memoryGib;
    if (candidates.some((worker) => this.freeGibAfterUnloads(worker) >= neededGib)) return;
    const eviction = cheapestEviction(candidates, neededGib, {
      freeGibAfterUnloads: (worker) => this.freeGibAfterUnloads(worker),
      isEvictable: (worker, candidate) => this.isEvictable(worker, candidate),
      costOf: (candidate) => this.evictionCost(candidate),
    });
    if (eviction === undefined) return;
    for (const victim of eviction.victims) this.unload(victim, eviction.worker, 'evicted');
  }

  private isEvictable(worker: WorkerView, modelId: string): boolean {
    const model = this.state.models.get(modelId);
    const entry = worker.loaded(modelId);
    if (model === undefined || entry?.state !== 'ready' || entry.running > 0) return false;
    if (worker.retiring.has(modelId) || this.minimumReplicas(model) > 0) return false;
    const demand = totalDemand(this.state.demandsOf(modelId));
    return demand.waiting === 0 && demand.running === 0;
  }

  /** Expected cost of an eviction in seconds: the load time, weighted down by the idle time. */
  private evictionCost(modelId: string): number {
    const model = this.state.models.get(modelId);
    const activity = this.state.activityOf(modelId);
    const idleSeconds = (this.state.nowMs - activity.lastUsedAt) / 1000;
    return (model?.parameters.loadSeconds.host ?? 1) / (1 + idleSeconds);
  }

  private planAdapters(model: CatalogModel, demand: TotalDemand, serving: readonly WorkerView[]): void {
    for (const name of demand.adapters) {
      const adapter = model.parameters.adapters.find((candidate) => candidate.name === name);
      const ready = serving.filter((worker) => worker.loaded(model.id)?.state === 'ready');
      if (adapter === undefined || ready.some((worker) => worker.loaded(model.id)?.adapters.includes(name)))
        continue;
      const worker = ready.find((candidate) => this.freeGib(candidate) >= adapter.memoryGib);
      if (worker === undefined) continue;
      this.adapters.push({ model, worker, adapter: name, memoryGib: adapter.memoryGib });
      this.commitMemory(worker, adapter.memoryGib);
    }
  }

  private unload(model: string, worker: WorkerView, reason: UnloadAction['reason']): void {
    if (this.unloads.some((action) => action.model === model && action.worker === worker)) return;
    this.unloads.push({ model, worker, reason });
  }

  private commitMemory(worker: WorkerView, memoryGib: number): void {
    this.plannedGib.set(worker.id, (this.plannedGib.get(worker.id) ?? 0) + memoryGib);
  }

  private freeGib(worker: WorkerView): number {
    return worker.freeGib - (this.plannedGib.get(worker.id) ?? 0);
  }

  /** Memory of a worker that is free or will be after the planned and pending unloads, in GiB. */
  private freeGibAfterUnloads(worker: WorkerView): number {
    const unloadingModels = (worker.inventory?.models ?? []).filter(
      (entry) =>
        entry.state === 'unloading' ||
        worker.retiring.has(entry.model) ||
        this.unloads.some((action) => action.worker === worker && action.model === entry.model),
    );
    return this.freeGib(worker) + unloadingModels.reduce((total, entry) => total + entry.memoryGib, 0);
  }
}

/** Returns the maximum number of replicas of a model in a zone. */
export function allotmentOf(model: CatalogModel, zone: string): number {
  return model.allotments.find((allotment) => allotment.zone === zone)?.replicas ?? 0;
}

function loadingCount(worker: WorkerView): number {
  return (
    (worker.inventory?.models ?? []).filter((entry) => entry.state === 'loading').length + worker.intents.size
  );
}
