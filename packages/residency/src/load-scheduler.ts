/**
 * Executes the loads of one zone: queues demands, replans on every change, starts the loads whose worker is
 * free, and settles the demands that a load has served.
 */
import { remainingMs } from '@woodbarrow/backends';
import type { EventLog } from '@woodbarrow/observability';
import type { LoadUnderWay, StoreWishKind } from '@woodbarrow/protocol';
import type { LoadAdmission } from './load-admission.js';
import { victimsToRetire, type PlannedLoad } from './load-plan.js';
import { PlanCache } from './plan-cache.js';
import { LoadPlanner, type LoadPlannerOptions, type PlanSnapshot } from './load-planner.js';
import {
  DemandQueue,
  groupKey,
  type DemandGroup,
  type DemandLimits,
  type DemandTimes,
  type NoPlaceCause,
  type PendingDemand,
  type Placement,
  type RefusedDemandReason,
  type RefusedPlacement,
  type WantedModel,
} from './pending-demand.js';
import type { PlacementChoice } from './placement-choice.js';
import { ScheduledLoads, type ScheduledReport } from './scheduled-loads.js';
import { RetryReservations } from './retry-reservations.js';
import { UnservedModels } from './unserved-models.js';

/** Options of {@link LoadScheduler}. */
export interface LoadSchedulerOptions extends LoadPlannerOptions {
  readonly zone: string;
  /** Whether the lease allows orders now. */
  readonly mayAct: () => boolean;
  /**
   * Returns the milliseconds until a model that another zone is loading should be resident there; Infinity
   * when none is loading it.
   */
  readonly expectedElsewhereInMs: (model: string) => number;
  /** Called when the zone's wishes or loads from the weight store have changed. */
  readonly onStoreChange: () => void;
  readonly admission: LoadAdmission;
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/** Estimate of a load. */
export interface LoadQuote {
  /** Milliseconds until the model would be resident; Infinity when no worker has capacity. */
  readonly readyMs: number;
  /** Milliseconds for which a worker would be occupied. */
  readonly occupiesMs: number;
  /** Set when no worker has capacity. */
  readonly cause?: NoPlaceCause;
}

/** A load in progress, with the demands that it will serve. */
interface ActiveLoad {
  readonly model: string;
  readonly beganAt: number;
  /** Expected milliseconds until the model is resident, as estimated at the start. */
  readonly expectedMs: number;
  readonly backEndId: string;
  readonly demands: PendingDemand[];
  readonly service: string;
  /** Set for a load from the weight store that the schedule has granted. */
  readonly scheduledKind?: StoreWishKind;
}

/** Interval between plans while demands wait and no other event triggers one, in milliseconds. */
const PLAN_INTERVAL_MS = 100;
/**
 * Demands that arrive within this time are planned together, in milliseconds; short relative to the 440 ms of
 * the shortest load.
 */
const PLAN_BATCH_MS = 20;
/**
 * A load in another zone is waited for only if it should finish within this time, in milliseconds. A load
 * from a disk takes about a second.
 */
const MAX_WAIT_ELSEWHERE_MS = 1200;
/** Retry delay when no worker has capacity, in milliseconds. */
const NO_PLACE_RETRY_MS = 500;
/** Minimum recent demand for a model that justifies a load which is too late for the current request. */
const MIN_DEMAND_FOR_LATE_LOAD = 1.8;
/** Retries with a longer delay than this are not expected to arrive, in milliseconds. */
const MAX_EXPECTED_RETRY_MS = 8000;
/** Added to the retry delay, in milliseconds. */
const RETRY_MARGIN_MS = 50;
/** Time for which a load is still wanted after the expected retry, in milliseconds. */
const RETRY_SLACK_MS = 500;

/** Schedules the loads of one zone. */
export class LoadScheduler {
  private readonly queue: DemandQueue;
  private readonly loading = new Map<string, ActiveLoad>();
  private readonly reservations: RetryReservations;
  private readonly planner: LoadPlanner;
  private readonly plans: PlanCache;
  /** Models that no worker could load when requested. */
  readonly unserved: UnservedModels;
  private readonly refusals = new Map<RefusedDemandReason, number>();
  /** Services on whose workers models may be retired. */
  private readonly servicesWithRetirements = new Set<string>();
  private isTicking = false;
  /** Monotonic time of the last {@link schedule}; the flag below marks that the next one is pending. */
  private lastScheduledAt = -Infinity;
  private isBatchPending = false;
  private readonly scheduledLoads: ScheduledLoads;

  constructor(private readonly options: LoadSchedulerOptions) {
    this.queue = new DemandQueue(options.clock);
    this.reservations = new RetryReservations(options.clock);
    this.unserved = new UnservedModels(options.zone, options.clock, options.log);
    this.planner = new LoadPlanner(options, this.reservations, this.unserved);
    const groupsOf = (service: string): DemandGroup[] =>
      this.queue.all().filter((group) => group.service === service && this.mayBegin(group));
    this.plans = new PlanCache(this.planner, groupsOf, options.clock);
    this.scheduledLoads = new ScheduledLoads({
      ...options,
      planner: this.planner,
      groupsOf: (service) => this.queue.all().filter((group) => group.service === service),
      mayBegin: (group) => this.mayBeginScheduled(group),
      loading: () =>
        [...this.loading.values()].map((load) => ({ ...load, readyInMs: this.remainingLoadMs(load) })),
    });
  }

  /** Loads ahead of demand that have been started here. */
  get loadsAhead(): number {
    return this.scheduledLoads.loadsAhead;
  }

  /** Returns the wishes for, and loads from, the weight store of services with slow loads. */
  storeReport(): ScheduledReport {
    return this.scheduledLoads.report();
  }

  /**
   * Returns when a model requested now would be resident.
   *
   * @param targetMs Milliseconds within which an answer is in time.
   */
  quote(wanted: WantedModel, targetMs: number, { without, mayUseStore }: DemandLimits): LoadQuote {
    const now = this.options.clock.monotonic();
    const key = groupKey(wanted);
    const loading = this.loading.get(key);
    if (loading !== undefined) return { readyMs: this.remainingLoadMs(loading), occupiesMs: 0 };
    const snapshot = this.plans.get(wanted.service);
    if (snapshot === undefined) return { readyMs: Infinity, occupiesMs: 0, cause: 'no_worker' };
    const planned = snapshot.plan.loads.find(({ group }) => group.key === key)?.choice;
    if (planned !== undefined && isAllowed(planned, { without, mayUseStore })) {
      const readyMs = Math.max(0, planned.readyMs - (now - snapshot.madeAt));
      return { readyMs, occupiesMs: planned.loadMs };
    }
    const demand = {
      arrivedAt: now,
      targetAt: now + targetMs,
      deadline: Infinity,
      without,
      mayUseStore,
      isWaiting: () => false,
      settle: () => undefined,
    };
    const asked = { ...wanted, key, demands: [...this.queue.demandsOf(key), demand] };
    const choice = snapshot.place(asked);
    if (choice === undefined) return this.noPlaceQuote(asked, snapshot);
    return { readyMs: choice.readyMs, occupiesMs: choice.loadMs };
  }

  private noPlaceQuote(asked: DemandGroup, snapshot: PlanSnapshot): LoadQuote {
    const elsewhereInMs = this.options.expectedElsewhereInMs(asked.model);
    if (this.planner.isScheduled(asked.service) && Number.isFinite(elsewhereInMs))
      return { readyMs: Math.max(0, elsewhereInMs), occupiesMs: 0 };
    const cause = snapshot.noPlaceCause(asked);
    if (!asked.isAdditionalReplica) this.unserved.recordRefusal(asked, cause);
    return { readyMs: Infinity, occupiesMs: 0, cause };
  }

  /** Demands refused since the start, by reason. */
  get refusalsByReason(): ReadonlyMap<RefusedDemandReason, number> {
    return this.refusals;
  }

  /** Waits for a model. Resolves when it is resident or cannot be in time. */
  wait(wanted: WantedModel, times: DemandTimes, limits: DemandLimits): Promise<Placement> {
    const arrivedAt = this.options.clock.monotonic();
    return new Promise((resolve) => {
      let settled = false;
      const settle = (placement: Placement): void => {
        settled = true;
        resolve(placement);
      };
      const demand = {
        arrivedAt,
        targetAt: arrivedAt + times.targetMs,
        deadline: arrivedAt + times.withinMs,
        ...limits,
        isWaiting: () => !settled,
        settle,
      };
      this.admit(wanted, demand, times);
    });
  }

  /** Returns the loads in progress with the expected remaining time of each. */
  loadsUnderWay(): LoadUnderWay[] {
    return [...this.loading.values()].map((loading) => ({
      model: loading.model,
      readyInMs: Math.round(this.remainingLoadMs(loading)),
      backEndId: loading.backEndId,
      ...(loading.scheduledKind === undefined ? {} : { fromStore: true }),
    }));
  }

  /** Replans and starts loads after a change. */
  schedule(): void {
    if (!this.options.mayAct()) return;
    this.lastScheduledAt = this.options.clock.monotonic();
    this.reservations.removeExpired();
    this.unserved.removeServed((name, model) => this.options.directory.holdersOf(name, { model }).length > 0);
    for (const { wanted, demand } of this.queue.takeExpired()) this.settleExpired(wanted, demand);
    this.settleHeldElsewhere();
    this.settleQuarantined();
    const services = new Set(this.queue.all().map((group) => group.service));
    for (const service of services) this.startLoads(service);
    for (const { planned, kind } of this.scheduledLoads.startable()) this.start(planned, kind);
    for (const service of this.servicesWithRetirements) if (!services.has(service)) this.retire(service, []);
    this.tickWhileWaiting();
  }

  /** Schedules with a delay, so that demands in quick succession are planned together. */
  private scheduleBatched(): void {
    const { clock } = this.options;
    const pauseMs = PLAN_BATCH_MS - (clock.monotonic() - this.lastScheduledAt);
    if (pauseMs <= 0) this.schedule();
    if (pauseMs <= 0 || this.isBatchPending) return;
    this.isBatchPending = true;
    clock.schedule(pauseMs, () => {
      this.isBatchPending = false;
      this.schedule();
    });
  }

  private admit(wanted: WantedModel, demand: PendingDemand, times: DemandTimes): void {
    const loading = this.loading.get(groupKey(wanted));
    const quote = this.quote(wanted, times.targetMs, demand);
    const { readyMs } = quote;
    const reason = reasonToRefuse(readyMs, times);
    if (reason !== undefined) {
      this.refuse(wanted, demand, reason, quote);
    } else if (loading !== undefined) {
      this.attach(wanted, loading, demand);
    } else if (this.queue.add(wanted, demand)) {
      this.scheduleBatched();
      this.noteWish(wanted);
    } else {
      this.settleRefused(wanted, demand, { kind: 'refused', reason: 'queue_full', retryAfterMs: readyMs });
    }
  }

  /**
   * Refuses a demand with a retry delay. The load is still queued if the retry is expected or others request
   * the model.
   */
  private refuse(
    wanted: WantedModel,
    demand: PendingDemand,
    reason: RefusedDemandReason,
    { readyMs, cause }: LoadQuote,
  ): void {
    const retryAfterMs = reason === 'no_place' ? NO_PLACE_RETRY_MS : readyMs + RETRY_MARGIN_MS;
    this.settleRefused(wanted, demand, { kind: 'refused', reason, retryAfterMs }, cause);
    const hasRecentDemand = this.options.loads.demandFor(wanted.model) >= MIN_DEMAND_FOR_LATE_LOAD;
    if (
      reason === 'no_place' ||
      (reason === 'loading' && readyMs > MAX_EXPECTED_RETRY_MS && !hasRecentDemand)
    )
      return;
    const retryAt = demand.arrivedAt + retryAfterMs;
    const deadline = retryAt + RETRY_SLACK_MS;
    this.reservations.reserve(wanted.model, deadline);
    if (this.loading.has(groupKey(wanted)) || this.isLateRetryQueued(wanted, readyMs)) return;
    this.queue.add(wanted, {
      ...demand,
      targetAt: retryAt,
      deadline,
      isWaiting: () => false,
      settle: () => undefined,
    });
    this.scheduleBatched();
  }

  /**
   * Whether a retry that is not expected to arrive need not be queued, as a demand for the model is queued already. With
   * slow loads such retries are due after 10 s or more, and one for each request would fill the queue until then.
   */
  private isLateRetryQueued(wanted: WantedModel, readyMs: number): boolean {
    if (readyMs <= MAX_EXPECTED_RETRY_MS || !this.planner.isScheduled(wanted.service)) return false;
    return this.queue.demandsOf(groupKey(wanted)).length > 0;
  }

  /** Refuses a demand that expired while it waited; its group may still be loaded for others. */
  private settleExpired(wanted: WantedModel, demand: PendingDemand): void {
    if (!demand.isWaiting()) return;
    const { readyMs } = this.quote(wanted, 0, demand);
    const retryAfterMs = Number.isFinite(readyMs) ? readyMs : NO_PLACE_RETRY_MS;
    this.settleRefused(wanted, demand, { kind: 'refused', reason: 'not_in_time', retryAfterMs });
  }

  /** Releases demands whose model has become resident in another zone. */
  private settleHeldElsewhere(): void {
    const { directory } = this.options;
    for (const group of this.queue.all()) {
      if (group.isAdditionalReplica) continue;
      const holders = directory.holdersOf(group.service, { model: group.model });
      const isServed = ({ without }: PendingDemand): boolean =>
        holders.some(({ id }) => !without.includes(id));
      if (!group.demands.some(isServed)) continue;
      for (const demand of this.queue.take(group.key)) {
        if (!isServed(demand)) this.queue.add(group, demand);
        else
          this.settleRefused(group, demand, { kind: 'refused', reason: 'held_elsewhere', retryAfterMs: 0 });
      }
    }
  }

  /** Refuses waiting demands whose load has been quarantined. */
  private settleQuarantined(): void {
    for (const group of this.queue.all()) {
      const verdict = this.options.admission.verdictOf(group);
      if (verdict === undefined) continue;
      const { retryAfterMs } = verdict;
      for (const demand of this.queue.take(group.key))
        this.settleRefused(group, demand, { kind: 'refused', reason: 'load_quarantined', retryAfterMs });
    }
  }

  /** Whether a load of a group may start here, given other loads of the same model. */
  private mayBegin(group: DemandGroup): boolean {
    const isLoadingHere = this.loading.has(
      groupKey({ ...group, isAdditionalReplica: !group.isAdditionalReplica }),
    );
    return !this.isExpectedElsewhere(group) && this.options.admission.mayBegin(group, isLoadingHere);
  }

  /** Whether another zone will have a group's model before it could be loaded here. */
  private isExpectedElsewhere(group: DemandGroup): boolean {
    return (
      !group.isAdditionalReplica && this.options.expectedElsewhereInMs(group.model) <= MAX_WAIT_ELSEWHERE_MS
    );
  }

  private settleRefused(
    wanted: WantedModel,
    demand: PendingDemand,
    refusal: RefusedPlacement,
    cause?: NoPlaceCause,
  ): void {
    if (!demand.isWaiting()) return;
    demand.settle(refusal);
    this.refusals.set(refusal.reason, (this.refusals.get(refusal.reason) ?? 0) + 1);
    const { log, zone, clock } = this.options;
    log.changed('demand_refused', {
      zone,
      model: wanted.model,
      another: wanted.isAdditionalReplica,
      reason: refusal.reason,
      cause,
      leftMs: Math.round(demand.deadline - clock.monotonic()),
      readyMs: refusal.reason === 'no_place' ? undefined : Math.round(refusal.retryAfterMs),
      queued: this.queue.length,
    });
  }

  /** Attaches a demand to a load in progress; it expires at its own deadline. */
  private attach(wanted: WantedModel, loading: ActiveLoad, demand: PendingDemand): void {
    const { clock } = this.options;
    loading.demands.push(demand);
    const leftMs = demand.deadline - clock.monotonic();
    if (!Number.isFinite(leftMs)) return;
    clock.schedule(leftMs, () => {
      this.settleExpired(wanted, demand);
    });
  }

  /** Returns the expected remaining time of a load, in milliseconds. */
  private remainingLoadMs({ beganAt, expectedMs }: ActiveLoad): number {
    return remainingMs(expectedMs, this.options.clock.monotonic() - beganAt);
  }

  private startLoads(service: string): void {
    // While all workers are occupied nothing can start, so the plan need not follow each change.
    if (!this.planner.hasFreeWorker(service) && this.plans.lastPlanAgeMs(service) < PLAN_INTERVAL_MS) return;
    const loads = this.plans.rebuild(service)?.plan.loads ?? [];
    // Starts at most one load per worker. A load that waits for the weight store does not occupy its worker
    // in the plan, so the plan may use the same memory for two loads; if the store gets capacity meanwhile,
    // both would start and exceed the worker's memory.
    const startedOn = new Set<string>();
    for (const planned of loads) {
      const { id } = planned.choice.candidate.backEnd;
      if (!planned.startsNow || startedOn.has(id) || !this.planner.canUseStore(planned)) continue;
      this.start(planned);
      startedOn.add(id);
    }
    this.retire(service, loads);
  }

  /**
   * Retires the models to be evicted next, so that their runs end while the current load is still in
   * progress.
   */
  private retire(service: string, plan: readonly PlannedLoad[]): void {
    const victims = victimsToRetire(plan);
    for (const worker of this.options.workersOf(service)) worker.retire(victims.get(worker.backEndId) ?? []);
    if (plan.length > 0) this.servicesWithRetirements.add(service);
    else this.servicesWithRetirements.delete(service);
  }

  /** Reports a new wish at once; further demands for the same model wait for the next report. */
  private noteWish(wanted: WantedModel): void {
    if (this.planner.isScheduled(wanted.service) && this.queue.demandsOf(groupKey(wanted)).length === 1)
      this.options.onStoreChange();
  }

  private mayBeginScheduled(group: DemandGroup): boolean {
    const isLoading = [true, false].some((isAdditionalReplica) =>
      this.loading.has(groupKey({ ...group, isAdditionalReplica })),
    );
    const { admission, expectedElsewhereInMs } = this.options;
    if (isLoading || expectedElsewhereInMs(group.model) !== Infinity) return false;
    return admission.verdictOf(group) === undefined && admission.mayBegin(group, false);
  }

  private start(planned: PlannedLoad, kind?: StoreWishKind): void {
    const { group, choice } = planned;
    const { clock, workersOf } = this.options;
    const { id } = choice.candidate.backEnd;
    const worker = workersOf(group.service).find((candidate) => candidate.backEndId === id);
    if (worker === undefined) return;
    this.logDecision(group, choice);
    const storeLoad = this.planner.recordStart(planned);
    const expectedMs = choice.unloadMs + choice.loadMs;
    const { model } = group;
    const { service, isAdditionalReplica } = group;
    const isScheduled = storeLoad !== undefined && this.planner.isScheduled(service);
    const scheduledKind = kind ?? (isAdditionalReplica ? 'replica' : 'first');
    const loading: ActiveLoad = {
      model,
      beganAt: clock.monotonic(),
      expectedMs,
      backEndId: id,
      demands: [],
      service,
      ...(isScheduled ? { scheduledKind } : {}),
    };
    this.loading.set(group.key, loading);
    this.plans.invalidate();
    for (const demand of this.queue.take(group.key)) this.attach(group, loading, demand);
    if (isScheduled) this.options.onStoreChange();
    const finish = (loaded: boolean): void => {
      storeLoad?.noteEnded(loaded);
      this.finish(group, loading, loaded);
    };
    const { victims, unloadMs, loadMs, source } = choice;
    const onLoadTaken = storeLoad?.noteAccepted;
    const swap = { model: group.model, victims, unloadMs, loadMs, source };
    worker.swap(onLoadTaken === undefined ? swap : { ...swap, onLoadTaken }).then(finish, () => {
      finish(false);
    });
  }

  /** Settles the demands of a load, or queues them again if it failed. */
  private finish(group: DemandGroup, loading: ActiveLoad, isLoaded: boolean): void {
    this.loading.delete(group.key);
    this.plans.invalidate();
    for (const demand of loading.demands) {
      if (isLoaded) demand.settle({ kind: 'resident', backEndId: loading.backEndId });
      else this.queue.add(group, demand);
    }
    this.schedule();
    if (loading.scheduledKind !== undefined) this.options.onStoreChange();
  }

  /**
   * Replans periodically while demands wait: time alone can make a load possible, as when a worker responds
   * again or the weight store has capacity.
   */
  private tickWhileWaiting(): void {
    if (this.isTicking || this.queue.length === 0 || this.options.signal.aborted) return;
    this.isTicking = true;
    this.options.clock.schedule(PLAN_INTERVAL_MS, () => {
      this.isTicking = false;
      this.schedule();
      this.tickWhileWaiting();
    });
  }

  private logDecision(group: DemandGroup, choice: PlacementChoice): void {
    const { log, zone, loads, clock } = this.options;
    const oldest = Math.min(...group.demands.map((demand) => demand.arrivedAt));
    log.changed('load_decided', {
      zone,
      model: group.model,
      another: group.isAdditionalReplica,
      waiting: group.demands.length,
      waitedMs: Math.round(clock.monotonic() - oldest),
      queued: this.queue.length,
      demand: Math.round(loads.demandFor(group.model)),
      backEnd: choice.candidate.backEnd.id,
      victims: choice.victims.join(','),
      readyMs: Math.round(choice.readyMs),
      source: choice.source,
    });
  }
}

/**
 * Returns why a demand is refused whose model would be resident after `readyMs`; undefined when it may wait.
 */
function reasonToRefuse(readyMs: number, times: DemandTimes): RefusedDemandReason | undefined {
  if (readyMs === Infinity) return 'no_place';
  return readyMs > times.withinMs ? 'loading' : undefined;
}

/** Whether a planned load satisfies the limits of a demand. */
function isAllowed({ candidate, source }: PlacementChoice, { without, mayUseStore }: DemandLimits): boolean {
  return (mayUseStore || source !== 'store') && !without.includes(candidate.backEnd.id);
}
