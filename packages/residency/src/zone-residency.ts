/** Coordinates one zone: answers demands for models on its workers while it holds the zone's lease. */
import {
  hasAdapter,
  hasSlowLoads,
  targetKey,
  UNIFORM_PACE,
  type AdapterTarget,
  type BackEnd,
  type BackendDirectory,
  type LoadTracker,
  type ModelTarget,
  type PaceView,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import { rankByRendezvous, type StoreLease } from '@woodbarrow/coordination';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { LoadQuarantine, Verdict } from '@woodbarrow/quarantine';
import type {
  LoadUnderWay,
  ResidencyChange,
  ResidencyDemandAnswer,
  ResidencyDemandMessage,
  StoreWishesAnswer,
  StoreWishesMessage,
} from '@woodbarrow/protocol';
import { leastBy, settleWithin, sleep, type Clock, type Random } from '@woodbarrow/runtime';
import { LoadAdmission } from './load-admission.js';
import type { StoreWindowOptions } from './load-planner.js';
import { LoadTimes } from './load-times.js';
import { LoadScheduler } from './load-scheduler.js';
import type { OrderClient } from './order-client.js';
import type { PaceProbes } from './pace-probes.js';
import type { Placement, RefusedDemandReason } from './pending-demand.js';
import { ReplicaSpreader, type OtherZones, type ReplicaCounts } from './replica-spreader.js';
import { StoreAccess } from './store-access.js';
import { StoreLink } from './store-link.js';
import { INITIAL_SCHEDULED_LOADS } from './store-schedule.js';
import type { UncertainOrderTotals } from './uncertain-orders.js';
import { WorkerOrders } from './worker-orders.js';

/** Options of {@link ZoneResidency}. */
export interface ZoneResidencyOptions {
  readonly zone: string;
  readonly holder: string;
  readonly lease: StoreLease;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly orders: OrderClient;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly signal: AbortSignal;
  /** Returns the zones with workers that run models; they share the weight store. */
  readonly zones: () => readonly string[];
  readonly storeWindow: StoreWindowOptions;
  /** Returns the number of weight store loads in progress in other zones. */
  readonly storeLoadsInOtherZones: () => number;
  /**
   * Returns the milliseconds until a model that another zone is loading should be resident there; Infinity
   * when none is loading it.
   */
  readonly expectedElsewhereInMs: (model: string) => number;
  /** Called when the zone's wishes or loads from the weight store have changed. */
  readonly onStoreChange?: () => void;
  readonly quarantine: LoadQuarantine;
  /** Pace of the workers; used for services with slow loads. Default: all workers are equally fast. */
  readonly paces?: PaceView;
  /** What is known of the other zones. Default: no other zone has a coordinator. */
  readonly otherZones?: OtherZones;
  /** Reads the pace of workers before there is traffic. @default it is not read */
  readonly paceProbes?: PaceProbes;
  readonly uncertainOrders: UncertainOrderTotals;
  /** Notifies all daemons of a change of residency. */
  readonly announce: (change: ResidencyChange) => void;
}

/** What a zone's coordinator could not serve. */
export interface UnservedDemands {
  /** Number of models that are currently unserved. */
  readonly models: number;
  /** Longest wait of an unserved model, in milliseconds. */
  readonly longestMs: number;
  /** Refusals and quotes for lack of capacity since the start. */
  readonly noPlaceByCause: ReadonlyMap<string, number>;
  /** Demands refused since the start. */
  readonly refusalsByReason: ReadonlyMap<string, number>;
}

const RETRY_AFTER_BUSY_MS = 500;
/**
 * Increase of the measured capacity by a scheduled load at full speed. A load too many delays all others by its share for more
 * than 10 s, so the limit is probed only after several loads.
 */
const SCHEDULED_LINK_GROWTH = { untilSlow: 0.5, afterSlow: 0.25 };
/** Reason of an answer that is only a quote. */
export const QUOTE_REASON = 'quote';

const LOAD_QUARANTINED: RefusedDemandReason = 'load_quarantined';

/** A zone that is alone. */
const NO_OTHER_ZONES: OtherZones = { hasCoordinator: () => false, loadsUnderWay: () => [] };

/** Coordinator of one zone. */
export class ZoneResidency {
  private readonly workers = new Map<string, WorkerOrders>();
  private readonly scheduler: LoadScheduler;
  private readonly times = new LoadTimes();
  private readonly link: StoreLink;
  private readonly spreader: ReplicaSpreader;
  /** The link as observed by the loads of services with slow loads. */
  private readonly scheduledLink: StoreLink;
  /** The zone's access to the weight store for services with slow loads. */
  readonly access: StoreAccess;
  /** Fence under which this coordinator gives orders. */
  private readonly fence: number;

  constructor(private readonly options: ZoneResidencyOptions) {
    const { clock, random, zone, zones } = options;
    this.fence = options.lease.fence;
    const shared = { clock, random, zoneCount: () => zones().length };
    this.link = new StoreLink({
      ...shared,
      loadsInOtherZones: () => options.storeLoadsInOtherZones() + this.scheduledLink.ownLoads,
    });
    this.scheduledLink = new StoreLink({
      ...shared,
      loadsInOtherZones: () => options.storeLoadsInOtherZones() + this.link.ownLoads,
      initialLimit: INITIAL_SCHEDULED_LOADS,
      growth: SCHEDULED_LINK_GROWTH,
    });
    this.access = new StoreAccess({ zone, zones, clock });
    this.scheduler = new LoadScheduler({
      ...options,
      times: this.times,
      link: this.link,
      scheduledLink: this.scheduledLink,
      access: this.access,
      onStoreChange: options.onStoreChange ?? (() => undefined),
      admission: new LoadAdmission(options),
      workersOf: (service) => this.availableWorkers(service).map((backEnd) => this.workerOf(backEnd.id)),
      mayAct: () => options.lease.mayAct(),
    });
    this.spreader = new ReplicaSpreader({
      ...options,
      paces: options.paces ?? UNIFORM_PACE,
      otherZones: options.otherZones ?? NO_OTHER_ZONES,
      scheduler: this.scheduler,
      workersOf: (service) => this.availableWorkers(service).map((backEnd) => this.workerOf(backEnd.id)),
    });
  }

  /** Number of weight store loads in progress. */
  get storeLoads(): number {
    return this.link.ownLoads + this.scheduledLink.ownLoads;
  }

  /** Loads in progress, as advertised to other zones. */
  get loadsUnderWay(): readonly LoadUnderWay[] {
    return this.scheduler.loadsUnderWay();
  }

  /** Measured capacity of the link to the weight store; undefined before the first measurement. */
  get linkCapacity(): number | undefined {
    return this.scheduledLink.measurement?.capacity;
  }

  /** Loads ahead of demand that have been started in the zone. */
  get loadsAhead(): number {
    return this.scheduler.loadsAhead;
  }

  /**
   * Returns what the zone wants from the weight store for services with slow loads, and the time of their slowest load in
   * milliseconds; undefined without such services, or while the lease does not allow orders.
   */
  storeReport(): { readonly message: StoreWishesMessage; readonly slowestLoadMs: number } | undefined {
    const { zone, lease } = this.options;
    const { hasServices, slowestLoadMs, wishes, loading } = this.scheduler.storeReport();
    if (!hasServices || !lease.mayAct()) return undefined;
    const link = this.scheduledLink.measurement;
    const message = { zone, fence: lease.fence, wishes, loading, ...(link === undefined ? {} : { link }) };
    return { message, slowestLoadMs };
  }

  /** Accepts an answer of the weight store's scheduler and starts the granted loads. */
  acceptSchedule(answer: StoreWishesAnswer): void {
    if (answer.link !== undefined) this.scheduledLink.adopt(answer.link);
    this.access.accept(answer);
    this.scheduler.schedule();
  }

  /** Decides on the zone's loads from the weight store without the scheduler, once that has not answered for too long. */
  scheduleAlone(): void {
    if (!this.access.isOnOwn) return;
    const report = this.storeReport();
    if (report === undefined) return;
    this.access.decideAlone(report.message, report.slowestLoadMs);
    this.scheduler.schedule();
  }

  /** What could not be served, for metrics. */
  get unserved(): UnservedDemands {
    const { unserved, refusalsByReason } = this.scheduler;
    const { count, longestMs, byCause } = unserved;
    return { models: count, longestMs, noPlaceByCause: byCause, refusalsByReason };
  }

  /** Answers a demand once the target is resident or cannot be in time; answers a quote at once. */
  async demand(message: ResidencyDemandMessage): Promise<ResidencyDemandAnswer> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + message.withinMs;
    const leftMs = (): number => deadline - clock.monotonic();
    if (this.options.serviceOf(message.service)?.engine === undefined)
      return refused('no_engine', RETRY_AFTER_BUSY_MS);
    if (!(await this.waitUntilActing(leftMs()))) return refused('not_acting', RETRY_AFTER_BUSY_MS);
    await this.synchronizeWorkers(message.service);
    const verdict = this.quarantineVerdict(message);
    if (verdict !== undefined) return refused(LOAD_QUARANTINED, verdict.retryAfterMs);
    if (message.quote === true) return this.quote(message);
    const placed = await this.placeModel(message, leftMs());
    if (placed.kind === 'refused') return refused(placed.reason, placed.retryAfterMs);
    return this.placeAdapter(placed.backEndId, message, leftMs());
  }

  /**
   * Returns the verdict that forbids a load which a demand needs; undefined when no load is needed or it is
   * allowed.
   */
  private quarantineVerdict(message: ResidencyDemandMessage): Verdict | undefined {
    const { quarantine } = this.options;
    const { service, model } = message;
    const target = targetOf(message);
    const holder = this.holderOf(message);
    const needsModel = message.another === true || holder === undefined;
    const needsAdapter = hasAdapter(target) && holder?.residents.isResident(target) !== true;
    return (
      (needsModel ? quarantine.verdictOf(service, { model }) : undefined) ??
      (needsAdapter ? quarantine.verdictOf(service, target) : undefined)
    );
  }

  /** Runs periodic maintenance: reads the state of new workers and starts loads that have become possible. */
  maintain(service: string): void {
    void this.synchronizeWorkers(service);
    this.scheduler.schedule();
    const definition = this.options.serviceOf(service);
    if (definition !== undefined)
      this.options.paceProbes?.readUnknown(definition, this.availableWorkers(service));
  }

  /** Adds replicas of a service with slow loads before the holders of its models are full. */
  spreadReplicas(service: ServiceDefinition): void {
    if (service.engine === undefined || !hasSlowLoads(service.engine)) return;
    if (this.options.lease.mayAct()) this.spreader.spread(service);
  }

  /** Additional replicas decided and loaded, for metrics. */
  get replicaCounts(): ReplicaCounts {
    return this.spreader.counts;
  }

  /** Reads the state of workers; waits for it only while no worker's state is known. */
  private async synchronizeWorkers(service: string): Promise<void> {
    const workers = this.availableWorkers(service).map((worker) => this.workerOf(worker.id));
    const prepared = Promise.all(workers.map((worker) => worker.synchronize()));
    if (!workers.some((worker) => worker.isSynchronized)) await prepared;
  }

  /**
   * Waits for the orders in progress. Resolves with the milliseconds for which one that got no answer may still reach its
   * worker.
   */
  async settleOrders(): Promise<number> {
    const delays = await Promise.all([...this.workers.values()].map((worker) => worker.settleCalls()));
    return Math.max(0, ...delays);
  }

  /** Removes a worker that is gone. */
  forget(backEndId: string): void {
    this.workers.delete(backEndId);
  }

  private async waitUntilActing(withinMs: number): Promise<boolean> {
    const waitMs = this.options.lease.actsInMs();
    if (waitMs > withinMs) return false;
    if (waitMs > 0) await sleep(this.options.clock, waitMs, this.options.signal);
    return this.options.lease.mayAct();
  }

  private quote(message: ResidencyDemandMessage): ResidencyDemandAnswer {
    const { service, model } = message;
    const holder = this.holderOf(message);
    if (holder !== undefined) return refused(QUOTE_REASON, readyMsOn(holder, message));
    const { readyMs, occupiesMs } = this.scheduler.quote(
      { service, model, isAdditionalReplica: false },
      message.targetMs ?? message.withinMs,
      message,
    );
    return { ...refused(QUOTE_REASON, readyMs), occupiesMs };
  }

  /** Returns the worker that holds the model, waiting for a load if needed. */
  private async placeModel(message: ResidencyDemandMessage, withinMs: number): Promise<Placement> {
    const { service, model, targetMs } = message;
    const isAdditionalReplica = message.another === true;
    const holder = isAdditionalReplica ? undefined : this.holderOf(message);
    if (holder !== undefined) {
      holder.cancelRetirement(model);
      return { kind: 'resident', backEndId: holder.backEndId };
    }
    return this.scheduler.wait(
      { service, model, isAdditionalReplica },
      { targetMs: targetMs ?? withinMs, withinMs },
      { without: message.without, mayUseStore: message.mayUseStore },
    );
  }

  private async placeAdapter(
    backEndId: string,
    message: ResidencyDemandMessage,
    withinMs: number,
  ): Promise<ResidencyDemandAnswer> {
    const target = targetOf(message);
    if (!hasAdapter(target)) return held(backEndId);
    const worker = this.workerOf(backEndId);
    const loaded = await this.resultWithin(
      this.loadAdapter(worker, message.service, target, withinMs),
      withinMs,
    );
    return loaded === true
      ? held(backEndId)
      : refused('adapter_not_loaded', Math.max(RETRY_AFTER_BUSY_MS, worker.busyMs));
  }

  /**
   * Loads an adapter and resolves with whether it is resident. One suspected of crashing workers is loaded on
   * one worker at a time.
   */
  private async loadAdapter(
    worker: WorkerOrders,
    service: string,
    target: AdapterTarget,
    withinMs: number,
  ): Promise<boolean> {
    const { clock, quarantine } = this.options;
    const deadline = clock.monotonic() + withinMs;
    const timeout = new AbortController();
    const cancelTimer = clock.schedule(withinMs, () => {
      timeout.abort();
    });
    const turn = await quarantine.acquireSlot(service, target, timeout.signal);
    try {
      const leftMs = deadline - clock.monotonic();
      if (leftMs <= 0 || quarantine.verdictOf(service, target) !== undefined) return false;
      return await worker.loadAdapter(target, leftMs);
    } finally {
      cancelTimer();
      turn.release();
    }
  }

  /** Returns the holder of the model that has the target ready first; ties are resolved in a stable order. */
  private holderOf(message: ResidencyDemandMessage): WorkerOrders | undefined {
    const holders = this.availableWorkers(message.service)
      .filter((backEnd) => !message.without.includes(backEnd.id))
      .filter((backEnd) => this.workerOf(backEnd.id).residents.isResident({ model: message.model }));
    const ranked = rankByRendezvous(targetKey(targetOf(message)), holders);
    return leastBy(
      ranked.map((backEnd) => this.workerOf(backEnd.id)),
      (worker) => readyMsOn(worker, message),
    );
  }

  private availableWorkers(service: string): BackEnd[] {
    return this.options.directory
      .ofService(service)
      .filter((backEnd) => backEnd.zone === this.options.zone && !backEnd.draining);
  }

  private workerOf(backEndId: string): WorkerOrders {
    const existing = this.workers.get(backEndId);
    if (existing !== undefined) return existing;
    const { directory, loads, orders, quarantine, clock, log, signal, holder } = this.options;
    const service = directory.get(backEndId)?.service ?? '';
    const worker = new WorkerOrders({
      backEndId,
      directory,
      loads,
      orders,
      authority: {
        holder,
        currentFence: () => this.currentFence(),
        isRevoked: () => this.isRevoked,
      },
      engine: () => this.options.serviceOf(service)?.engine,
      times: this.times,
      quarantine,
      uncertainTotals: this.options.uncertainOrders,
      clock,
      log,
      signal,
      announce: (target: ModelTarget, resident) => {
        this.options.announce({ backEndId, ...target, resident });
      },
    });
    this.workers.set(backEndId, worker);
    return worker;
  }

  /** Whether this daemon has lost or released the lease since, even if it has acquired it again. */
  private get isRevoked(): boolean {
    const { lease } = this.options;
    return !lease.isHeld || lease.fence !== this.fence;
  }

  private currentFence(): number {
    const { lease } = this.options;
    if (this.isRevoked || !lease.mayAct())
      throw new WoodbarrowError('lease_lost', `the lease on ${this.options.zone} does not allow orders now`);
    return this.fence;
  }

  private async resultWithin<T>(promise: Promise<T>, withinMs: number): Promise<T | undefined> {
    try {
      const settled = await settleWithin(this.options.clock, Math.max(0, withinMs), promise);
      return settled.timedOut ? undefined : settled.value;
    } catch {
      return undefined;
    }
  }
}

function targetOf({ model, adapter, adapterVersion }: ResidencyDemandMessage): ModelTarget {
  if (adapter === undefined) return { model };
  return adapterVersion === undefined ? { model, adapter } : { model, adapter, adapterVersion };
}

/** Returns the milliseconds until a worker that holds the model also has the requested adapter. */
function readyMsOn(worker: WorkerOrders, message: ResidencyDemandMessage): number {
  const target = targetOf(message);
  return hasAdapter(target) ? worker.adapterReadyMs(target) : 0;
}

function held(backEndId: string): ResidencyDemandAnswer {
  return { held: true, backEndId, retryAfterMs: 0, reason: 'resident' };
}

function refused(reason: string, retryAfterMs: number): ResidencyDemandAnswer {
  return { held: false, backEndId: '', retryAfterMs, reason };
}
