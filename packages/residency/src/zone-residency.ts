/** The coordinator of one zone: decides loads and unloads on its workers while it holds the zone's lease. */
import {
  type BackEnd,
  type BackendDirectory,
  type EngineDefinition,
  type LoadBook,
  type ModelTarget,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import type { StoreLease } from '@woodbarrow/coordination';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { ResidencyChange, ResidencyDemandAnswer, ResidencyDemandMessage } from '@woodbarrow/protocol';
import { settleWithin, sleep, type Clock } from '@woodbarrow/runtime';
import { LoadWindow } from './load-window.js';
import type { OrderClient } from './order-client.js';
import { choosePlacement, type PlacementCandidate, type PlacementChoice } from './placement-choice.js';
import { WorkerOrders } from './worker-orders.js';

/** Options of {@link ZoneResidency}. */
export interface ZoneResidencyOptions {
  readonly zone: string;
  readonly holder: string;
  readonly lease: StoreLease;
  readonly directory: BackendDirectory;
  readonly loads: LoadBook;
  readonly orders: OrderClient;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly signal: AbortSignal;
  /** Number of zones that share the weight store. */
  readonly zoneCount: () => number;
  readonly storeWindow: StoreWindowOptions;
  /** Tells all daemons. */
  readonly announce: (change: ResidencyChange) => void;
}

/** What the weight store bears. */
export interface StoreWindowOptions {
  readonly windowMs: number;
  /** Allowed excess over the rate, for example 1.1. */
  readonly overshoot: number;
}

/** Loads allowed in a window beside the rate. */
const WINDOW_EXTRA_LOADS = 3;
/** Part of the allowed loads that is used; what other zones do at a change of hands is not known. */
const WINDOW_SAFETY = 0.85;
/** Another replica takes the place only of models that are asked for clearly less, by this factor. */
const ANOTHER_REPLICA_SHARE = 0.5;
/** Loads and unloads that may wait for one worker. */
const MAXIMUM_PENDING_SWAPS = 2;
const RETRY_AFTER_BUSY_MS = 500;
/** Recent requests for a model that make a load worth it which is too late for the one that asks. */
const DEMAND_WORTH_A_LATE_LOAD = 1.8;
/** Models that are asked for less than this make way for any request. */
const LEAST_VICTIM_VALUE = 3;
/** Reason of a refusal while the model is being loaded: no other zone needs to be asked. */
export const LOADING_REASON = 'loading';

/** A load under way. */
interface Loading {
  /** The worker, or undefined when the load failed. */
  readonly result: Promise<string | undefined>;
  /** Monotonic time at which the model is expected to be resident. */
  readonly readyAt: number;
}

type Placement =
  | { readonly kind: 'resident'; readonly backEndId: string }
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** One zone's coordinator. */
export class ZoneResidency {
  private readonly workers = new Map<string, WorkerOrders>();
  private readonly loading = new Map<string, Loading>();
  private readonly window: LoadWindow;
  private storeLimit = 1;

  constructor(private readonly options: ZoneResidencyOptions) {
    const { storeWindow, clock, zoneCount } = options;
    this.window = new LoadWindow(
      { windowMs: storeWindow.windowMs, limit: () => this.storeLimit, sharers: zoneCount },
      clock,
    );
  }

  /** Answers a demand once the target is resident, or when it will not be in time. */
  async demand(message: ResidencyDemandMessage): Promise<ResidencyDemandAnswer> {
    const startedAt = this.options.clock.monotonic();
    const leftMs = (): number => message.withinMs - (this.options.clock.monotonic() - startedAt);
    const service = this.options.serviceOf(message.service);
    if (service?.engine === undefined) return refused('no_engine', RETRY_AFTER_BUSY_MS);
    if (!(await this.waitUntilActing(leftMs()))) return refused('not_acting', RETRY_AFTER_BUSY_MS);
    await Promise.all(this.openWorkers(service.name).map((worker) => this.workerOf(worker.id).prepare()));
    const placed = await this.placeModel(service.name, service.engine, message, leftMs());
    if (placed.kind === 'refused') return refused(placed.reason, placed.retryAfterMs);
    const { backEndId } = placed;
    if (message.adapter === undefined) return { held: true, backEndId, retryAfterMs: 0, reason: 'resident' };
    const loaded = await this.settle(
      this.workerOf(backEndId).loadAdapter(message.model, message.adapter),
      leftMs(),
    );
    return loaded === true
      ? { held: true, backEndId, retryAfterMs: 0, reason: 'resident' }
      : refused('adapter_not_loaded', RETRY_AFTER_BUSY_MS);
  }

  /** Drops the workers that are gone. */
  forget(backEndId: string): void {
    this.workers.delete(backEndId);
  }

  private async waitUntilActing(withinMs: number): Promise<boolean> {
    const waitMs = this.options.lease.actsInMs();
    if (waitMs > withinMs) return false;
    if (waitMs > 0) await sleep(this.options.clock, waitMs, this.options.signal);
    return this.options.lease.mayAct();
  }

  /** The worker that holds the model, now or after a load. */
  private async placeModel(
    service: string,
    engine: EngineDefinition,
    message: ResidencyDemandMessage,
    withinMs: number,
  ): Promise<Placement> {
    const { model, backEndId } = message;
    if (backEndId !== undefined) return this.placeOn(backEndId, model);
    if (message.another !== true) {
      const holder = this.openWorkers(service)
        .filter((worker) => !message.without.includes(worker.id))
        .find((worker) => this.workerOf(worker.id).residents.isResident(model));
      if (holder !== undefined) return { kind: 'resident', backEndId: holder.id };
    }
    const key = `${service} ${model}`;
    const loading = this.loading.get(key) ?? this.startLoading(key, service, engine, message, withinMs);
    if (loading === undefined)
      return { kind: 'refused', reason: 'no_place', retryAfterMs: RETRY_AFTER_BUSY_MS };
    const readyMs = loading.readyAt - this.options.clock.monotonic();
    if (readyMs > withinMs) return { kind: 'refused', reason: LOADING_REASON, retryAfterMs: readyMs };
    const loaded = await this.settle(loading.result, withinMs);
    return loaded === undefined
      ? { kind: 'refused', reason: 'not_loaded', retryAfterMs: RETRY_AFTER_BUSY_MS }
      : { kind: 'resident', backEndId: loaded };
  }

  private placeOn(backEndId: string, model: string): Placement {
    const isThere = this.options.directory.get(backEndId) !== undefined;
    if (isThere && this.workerOf(backEndId).residents.isResident(model))
      return { kind: 'resident', backEndId };
    return { kind: 'refused', reason: 'model_not_there', retryAfterMs: RETRY_AFTER_BUSY_MS };
  }

  /**
   * Decides on a load and starts it. One that comes too late for the request that asks is worth it when more ask
   * for the model.
   */
  private startLoading(
    key: string,
    service: string,
    engine: EngineDefinition,
    message: ResidencyDemandMessage,
    withinMs: number,
  ): Loading | undefined {
    const { clock, loads } = this.options;
    const choice = this.choose(service, engine, message);
    const demand = loads.demandFor(message.model);
    const isWorthIt =
      choice !== undefined && (choice.readyMs <= withinMs || demand >= DEMAND_WORTH_A_LATE_LOAD);
    this.logDecision(message, withinMs, demand, choice, isWorthIt);
    if (!isWorthIt) return undefined;
    if (choice.source === 'store') this.window.record();
    const { id } = choice.candidate.backEnd;
    const expectedMs = choice.readyMs - choice.candidate.busyMs;
    const swap = this.workerOf(id).swap(message.model, choice.victims, expectedMs, choice.loadMs);
    const result = swap.then((loaded) => (loaded ? id : undefined));
    const loading = { result, readyAt: clock.monotonic() + choice.readyMs };
    this.loading.set(key, loading);
    const forget = (): void => {
      this.loading.delete(key);
    };
    result.then(forget, forget);
    return loading;
  }

  private logDecision(
    message: ResidencyDemandMessage,
    withinMs: number,
    demand: number,
    choice: PlacementChoice | undefined,
    started: boolean,
  ): void {
    this.options.log.changed('load_decided', {
      zone: this.options.zone,
      model: message.model,
      started,
      withinMs: Math.round(withinMs),
      another: message.another === true,
      demand: Math.round(demand),
      backEnd: choice?.candidate.backEnd.id,
      victims: choice?.victims.join(','),
      readyMs: choice === undefined ? undefined : Math.round(choice.readyMs),
      source: choice?.source,
    });
  }

  private choose(
    service: string,
    engine: EngineDefinition,
    message: ResidencyDemandMessage,
  ): PlacementChoice | undefined {
    const { directory, loads, clock, storeWindow } = this.options;
    const model = engine.models.get(message.model);
    if (model === undefined) return undefined;
    const allowed = (engine.storeLoadsPerSecond * storeWindow.windowMs * storeWindow.overshoot) / 1000;
    this.storeLimit = Math.floor((allowed + WINDOW_EXTRA_LOADS) * WINDOW_SAFETY);
    const candidates = this.candidatesFor(service, message.model).filter(
      ({ backEnd }) => !message.without.includes(backEnd.id),
    );
    const replicasOf = countOnce((name) => directory.holdersOf(service, { model: name }).length);
    const share = (loads.demandFor(message.model) + 1) / (replicasOf(message.model) + 1);
    return choosePlacement({
      model,
      engine,
      candidates,
      loads,
      now: clock.monotonic(),
      storeWaitMs: this.window.waitMs(),
      replicasOf,
      maximumVictimValue:
        message.another === true ? share * ANOTHER_REPLICA_SHARE : Math.max(LEAST_VICTIM_VALUE, share),
    });
  }

  /** Workers that could load a model. */
  private candidatesFor(service: string, model: string): PlacementCandidate[] {
    return this.openWorkers(service)
      .filter((backEnd) => this.canTakeSwap(this.workerOf(backEnd.id)))
      .map((backEnd) => this.candidateOf(backEnd))
      .filter((candidate) => !candidate.residents.models.has(model));
  }

  private canTakeSwap(worker: WorkerOrders): boolean {
    return worker.isKnown && worker.isResponsive && worker.pendingSwaps < MAXIMUM_PENDING_SWAPS;
  }

  private candidateOf(backEnd: BackEnd): PlacementCandidate {
    const worker = this.workerOf(backEnd.id);
    return { backEnd, residents: worker.residents, busyMs: worker.busyMs };
  }

  private openWorkers(service: string): BackEnd[] {
    return this.options.directory
      .ofService(service)
      .filter((backEnd) => backEnd.zone === this.options.zone && !backEnd.draining);
  }

  private workerOf(backEndId: string): WorkerOrders {
    const known = this.workers.get(backEndId);
    if (known !== undefined) return known;
    const { directory, loads, orders, clock, log, signal, holder } = this.options;
    const service = directory.get(backEndId)?.service ?? '';
    const worker = new WorkerOrders({
      backEndId,
      directory,
      loads,
      orders,
      authority: { holder, currentFence: () => this.currentFence() },
      engine: () => this.options.serviceOf(service)?.engine,
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

  private currentFence(): number {
    const { lease } = this.options;
    if (!lease.mayAct())
      throw new WoodbarrowError('lease_lost', `the lease on ${this.options.zone} may not be used now`);
    return lease.fence;
  }

  private async settle<T>(promise: Promise<T>, withinMs: number): Promise<T | undefined> {
    try {
      const settled = await settleWithin(this.options.clock, Math.max(0, withinMs), promise);
      return settled.timedOut ? undefined : settled.value;
    } catch {
      return undefined;
    }
  }
}

/** Remembers counts, for the time of one decision. */
function countOnce(count: (name: string) => number): (name: string) => number {
  const known = new Map<string, number>();
  return (name) => {
    const counted = known.get(name) ?? count(name);
    known.set(name, counted);
    return counted;
  };
}

function refused(reason: string, retryAfterMs: number): ResidencyDemandAnswer {
  return { held: false, backEndId: '', retryAfterMs, reason };
}
