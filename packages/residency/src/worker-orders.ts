/** Loads and unloads models on one worker and tracks their outcome. */
import {
  remainingMs,
  type AdapterTarget,
  type BackendDirectory,
  type EngineDefinition,
  type LoadTracker,
  type ModelTarget,
} from '@woodbarrow/backends';
import { errorMessage, WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { LoadQuarantine } from '@woodbarrow/quarantine';
import { settleWithin, sleep, type Clock } from '@woodbarrow/runtime';
import { AdapterOrders } from './adapter-orders.js';
import type { LoadTimes, WeightSource } from './load-times.js';
import type { OrderClient, WorkerReport } from './order-client.js';
import { OrderSender, REPORT_LAG_MS, type FinalOutcome, type OrderAuthority } from './order-sender.js';
import { ResidentSet } from './resident-set.js';
import type { UncertainOrderTotals } from './uncertain-orders.js';

/** Options of {@link WorkerOrders}. */
export interface WorkerOrdersOptions {
  readonly backEndId: string;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly orders: OrderClient;
  readonly authority: OrderAuthority;
  readonly engine: () => EngineDefinition | undefined;
  /** Records the duration of loads and unloads. */
  readonly times: LoadTimes;
  readonly quarantine: LoadQuarantine;
  readonly uncertainTotals: UncertainOrderTotals;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly signal: AbortSignal;
  /** Notifies all daemons of a change of residency. */
  readonly announce: (target: ModelTarget, resident: boolean) => void;
}

/** A load with the models to evict first. Times are expected values in milliseconds. */
export interface SwapOrder {
  readonly model: string;
  readonly victims: readonly string[];
  readonly unloadMs: number;
  readonly loadMs: number;
  readonly source: WeightSource;
  /** Called when the worker has accepted the load: the victims are gone. */
  readonly onLoadTaken?: () => void;
}

/** A swap in progress. */
interface SwapUnderWay {
  readonly beganAt: number;
  readonly expectedMs: number;
}

/** Statistics on the evictions of a swap. */
interface UnloadStatistics {
  /** Predicted time until the last run of any victim ends, in milliseconds; 0 without runs. */
  readonly endsInMs: number;
  /** Longest time for which a victim had been retired before, in milliseconds. */
  readonly retiredMs: number;
}

/** Interval between reports while a model is unloaded, in milliseconds. */
const UNLOAD_POLL_MS = 60;
/** Maximum time of an unload, in milliseconds; includes the end of its runs. */
const UNLOAD_TIMEOUT_MS = 12_000;
/** A load times out after this multiple of its expected time plus a fixed extra. */
const LOAD_TIMEOUT_FACTOR = 4;
const LOAD_TIMEOUT_EXTRA_MS = 3000;
/** Time reserved for adapters after a load that they waited for, in milliseconds. */
const ADAPTER_WINDOW_MS = 60;
/** Interval between attempts to read a worker's state, in milliseconds. */
const RESYNC_INTERVAL_MS = 400;

/** Orders to one incarnation of a worker. */
export class WorkerOrders {
  readonly residents = new ResidentSet();
  private readonly sender: OrderSender;
  private readonly adapters: AdapterOrders;
  private synchronized = false;
  private resynchronizing: Promise<void> | undefined;
  private synchronizing: Promise<void> | undefined;
  private swapping: Promise<unknown> = Promise.resolve();
  private queuedSwaps = 0;
  /** Monotonic time until which adapters take precedence over loads of models. */
  private adapterWindowUntil = 0;
  private currentSwap: SwapUnderWay | undefined;
  /** Number of adapter loads that wait for the end of a swap. */
  private adaptersWaiting = 0;

  constructor(private readonly options: WorkerOrdersOptions) {
    this.sender = new OrderSender(options);
    this.adapters = new AdapterOrders({
      ...options,
      sender: this.sender,
      residents: this.residents,
      slots: () => options.engine()?.adapterSlots ?? 0,
      onUnknownOutcome: () => void this.resynchronize(),
    });
  }

  get backEndId(): string {
    return this.options.backEndId;
  }

  /** Whether its state is known well enough for new orders. */
  get isSynchronized(): boolean {
    return this.synchronized;
  }

  /** Whether it has answered recently. */
  get isResponsive(): boolean {
    return this.sender.isResponsive;
  }

  /** Expected milliseconds until all swaps decided so far are done. */
  get busyMs(): number {
    const now = this.options.clock.monotonic();
    if (this.currentSwap !== undefined)
      return remainingMs(this.currentSwap.expectedMs, now - this.currentSwap.beganAt);
    return Math.max(0, this.adapterWindowUntil - now);
  }

  /** See {@link OrderSender.settleCalls}. */
  settleCalls(): Promise<number> {
    return this.sender.settleCalls();
  }

  /** Returns the expected milliseconds until an adapter of a resident model is resident. */
  adapterReadyMs(target: AdapterTarget): number {
    return this.residents.isResident(target) ? 0 : this.busyMs + this.adapters.waitMs();
  }

  /** Number of swaps decided but not done. */
  get pendingSwaps(): number {
    return this.queuedSwaps;
  }

  /** Reads the worker's state if it is unknown. Resolves after one attempt. */
  synchronize(): Promise<void> {
    if (this.synchronized || this.resynchronizing !== undefined) return Promise.resolve();
    this.synchronizing ??= this.synchronizeOnce().finally(() => {
      this.synchronizing = undefined;
    });
    return this.synchronizing;
  }

  /** Evicts the victims and loads the model. Resolves with whether it is resident. */
  swap(order: SwapOrder): Promise<boolean> {
    const { clock, loads, backEndId } = this.options;
    const now = clock.monotonic();
    this.currentSwap ??= { beganAt: now, expectedMs: order.unloadMs + order.loadMs };
    const unloads = {
      endsInMs: Math.max(0, ...order.victims.map((victim) => loads.endsInMs(backEndId, victim))),
      retiredMs: Math.max(0, ...order.victims.map((victim) => this.retiredMs(victim))),
    };
    this.markSwapStarted(order.model, order.victims);
    this.queuedSwaps += 1;
    const result = this.swapping.then(() => this.carryOutSwap(order, unloads));
    this.swapping = result
      .catch(() => undefined)
      .finally(() => {
        this.queuedSwaps -= 1;
        this.openAdapterWindow();
      });
    return result;
  }

  /**
   * Stops new requests for exactly these models and accepts requests for all others again. Their runs can
   * then end while the current load is still in progress.
   */
  retire(models: readonly string[]): void {
    const now = this.options.clock.monotonic();
    for (const [name, held] of this.residents.models) {
      if (held.state !== 'resident') continue;
      const shouldRetire = models.includes(name);
      if ((held.retiredAt !== undefined) === shouldRetire) continue;
      held.retiredAt = shouldRetire ? now : undefined;
      this.options.announce({ model: name }, !shouldRetire);
    }
  }

  /** Returns the milliseconds for which a model has been retired. */
  private retiredMs(model: string): number {
    const retiredAt = this.residents.models.get(model)?.retiredAt;
    return retiredAt === undefined ? 0 : this.options.clock.monotonic() - retiredAt;
  }

  /** Accepts requests again for a retired model that is still requested. */
  cancelRetirement(model: string): void {
    const held = this.residents.models.get(model);
    if (held?.state !== 'resident' || held.retiredAt === undefined) return;
    held.retiredAt = undefined;
    this.options.announce({ model }, true);
  }

  /**
   * Loads an adapter of a resident model and resolves with whether it is resident. Waits for the end of
   * swaps, as the worker accepts no adapter meanwhile.
   */
  async loadAdapter(target: AdapterTarget, withinMs: number): Promise<boolean> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + withinMs;
    if (!this.synchronized) await this.synchronize();
    if (this.residents.isResident(target)) return true;
    this.adaptersWaiting += 1;
    try {
      while (this.queuedSwaps > 0 && clock.monotonic() < deadline) {
        await settleWithin(clock, deadline - clock.monotonic(), this.swapping);
      }
    } finally {
      this.adaptersWaiting -= 1;
    }
    if (!this.synchronized || this.queuedSwaps > 0) return this.residents.isResident(target);
    return this.adapters.load(target, deadline);
  }

  /** Lets adapters that waited for a swap go before the next one. */
  private openAdapterWindow(): void {
    if (this.queuedSwaps > 0) return;
    this.currentSwap = undefined;
    if (this.adaptersWaiting > 0)
      this.adapterWindowUntil = this.options.clock.monotonic() + ADAPTER_WINDOW_MS;
  }

  /** A single report suffices for a worker without outstanding orders. */
  private async synchronizeOnce(): Promise<void> {
    const report = await this.tryReport();
    if (report === undefined) return;
    if (this.sender.isSettled(report)) this.adoptReport(report);
    else void this.resynchronize();
  }

  private markSwapStarted(model: string, victims: readonly string[]): void {
    const { clock, engine, announce } = this.options;
    const now = clock.monotonic();
    const definition = engine()?.models.get(model);
    for (const victim of victims) {
      const held = this.residents.models.get(victim);
      if (held === undefined) continue;
      held.state = 'unloading';
      held.since = now;
      if (held.retiredAt === undefined) announce({ model: victim }, false);
    }
    if (definition !== undefined) this.residents.setModel(definition, 'loading', now);
  }

  private async carryOutSwap(order: SwapOrder, unloads: UnloadStatistics): Promise<boolean> {
    const { clock, log, backEndId, times, engine } = this.options;
    const { model, victims, source } = order;
    const startedAt = clock.monotonic();
    try {
      for (const [index, victim] of victims.entries()) {
        await this.unload(victim, index === victims.length - 1);
      }
      const orderedAt = await this.load(order);
      this.sender.recordLoadResult({ model }, true);
      const unloadMs = orderedAt - startedAt;
      const loadMs = clock.monotonic() - orderedAt;
      if (victims.length > 0) times.recordUnload(unloads.endsInMs, unloadMs);
      const definition = engine()?.models.get(model);
      if (definition !== undefined) times.recordLoad(definition, source, loadMs);
      log.changed('load_finished', {
        backEnd: backEndId,
        model,
        source,
        unloadMs: Math.round(unloadMs),
        expectedUnloadMs: Math.round(order.unloadMs),
        retiredMs: Math.round(unloads.retiredMs),
        loadMs: Math.round(loadMs),
        expectedLoadMs: Math.round(order.loadMs),
        tookMs: Math.round(clock.monotonic() - startedAt),
      });
      return true;
    } catch (error) {
      log.warned('load_failed', { backEnd: backEndId, model, cause: errorMessage(error) });
      this.sender.recordLoadResult({ model }, false);
      void this.resynchronize();
      return false;
    }
  }

  /**
   * Unloads a model. The last unload before a load is not awaited: the worker accepts the load as soon as it
   * is done.
   */
  private async unload(victim: string, isLast: boolean): Promise<void> {
    if (!this.residents.models.has(victim)) return;
    const outcome = await this.sender.send('unload', { model: victim });
    if (outcome !== 'accepted' && outcome !== 'done') throw failedOrder(`unload of ${victim}`, outcome);
    if (outcome === 'accepted' && isLast) return;
    if (outcome === 'accepted') await this.awaitUnload(victim);
    this.residents.models.delete(victim);
  }

  /** @returns Monotonic time at which the worker had accepted the order; the victims are gone by then. */
  private async load(order: SwapOrder): Promise<number> {
    const { clock } = this.options;
    const { model, victims } = order;
    const outcome = await this.sender.send('load', { model }, victims.length > 0 ? UNLOAD_TIMEOUT_MS : 0);
    if (outcome !== 'accepted' && outcome !== 'done') throw failedOrder(`load of ${model}`, outcome);
    const orderedAt = clock.monotonic();
    order.onLoadTaken?.();
    for (const victim of victims) this.residents.models.delete(victim);
    if (outcome === 'accepted') await this.awaitLoad(order);
    const held = this.residents.models.get(model);
    if (held === undefined) return orderedAt;
    held.state = 'resident';
    held.since = clock.monotonic();
    this.options.announce({ model }, true);
    return orderedAt;
  }

  /**
   * Waits for the end of a load. Polling starts at the minimum load time rather than the expected one:
   * otherwise no load could be measured as faster than expected.
   */
  private async awaitLoad({ model, source, loadMs }: SwapOrder): Promise<void> {
    const { clock, signal, times, engine } = this.options;
    const definition = engine()?.models.get(model);
    const shortestMs = definition === undefined ? 0 : times.shortestLoadMs(definition, source);
    await sleep(clock, shortestMs, signal);
    const limitMs = Math.max(shortestMs, loadMs) * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_EXTRA_MS;
    const outcome = await this.sender.awaitLoaded({ model }, limitMs);
    if (outcome !== 'done') throw failedOrder(`end of the load of ${model}`, outcome);
  }

  /** Waits until reports no longer list a model. */
  private async awaitUnload(model: string): Promise<void> {
    const { clock, signal } = this.options;
    const startedAt = clock.monotonic();
    while (!signal.aborted && clock.monotonic() - startedAt < UNLOAD_TIMEOUT_MS) {
      await sleep(clock, UNLOAD_POLL_MS, signal);
      const report = await this.sender.report();
      if (report === undefined || report.sequence < (this.sender.expectedSequence ?? 0)) continue;
      const isListed = report.models.some((held) => held.name === model);
      if (!isListed && !report.busy) return;
    }
    throw new WoodbarrowError('engine_refused', `unload of ${model} timed out`);
  }

  /**
   * Reads the worker's state from a report that reflects every order sent. Until then nothing is ordered, and
   * everything that may be resident stays counted.
   */
  private resynchronize(): Promise<void> {
    this.synchronized = false;
    this.resynchronizing ??= this.resynchronizeUntilSettled().finally(() => {
      this.resynchronizing = undefined;
    });
    return this.resynchronizing;
  }

  private async resynchronizeUntilSettled(): Promise<void> {
    const { signal, clock, directory, backEndId, authority } = this.options;
    await sleep(clock, REPORT_LAG_MS, signal);
    while (!signal.aborted && directory.get(backEndId) !== undefined && !authority.isRevoked()) {
      const report = this.queuedSwaps > 0 ? undefined : await this.tryReport();
      if (report !== undefined && this.sender.isSettled(report)) {
        this.adoptReport(report);
        return;
      }
      if (report !== undefined) await this.tryRepeatUncertain(report);
      await sleep(clock, RESYNC_INTERVAL_MS, signal);
    }
  }

  private async tryRepeatUncertain(report: WorkerReport): Promise<void> {
    try {
      await this.sender.repeatUncertain(report);
    } catch (error) {
      this.options.log.warned('order_not_repeated', {
        backEnd: this.backEndId,
        cause: errorMessage(error),
      });
    }
  }

  private adoptReport(report: WorkerReport): void {
    const { clock, engine, announce, log, backEndId } = this.options;
    const definitions = engine()?.models;
    if (definitions === undefined) return;
    const before = [...this.residents.models.keys()];
    this.sender.adopt(report);
    this.residents.replace(report.models, definitions, clock.monotonic());
    this.synchronized = true;
    const names = report.models.map((held) => held.name);
    for (const gone of before.filter((name) => !names.includes(name))) announce({ model: gone }, false);
    for (const held of report.models) announce({ model: held.name }, true);
    log.changed('worker_learnt', { backEnd: backEndId, sequence: report.sequence, models: names.join(',') });
  }

  private async tryReport(): Promise<WorkerReport | undefined> {
    try {
      return await this.sender.report();
    } catch {
      return undefined;
    }
  }
}

function failedOrder(order: string, outcome: FinalOutcome): WoodbarrowError {
  return new WoodbarrowError('engine_refused', `${order}: ${outcome}`);
}
