/**
 * Orders to one worker, one at a time. Every order names the number of orders the worker has taken, so that one
 * whose answer was lost becomes void as soon as another has been taken in its place.
 */
import type { BackEnd, BackendDirectory, EngineDefinition, LoadBook, ModelTarget } from '@woodbarrow/backends';
import { targetKey } from '@woodbarrow/backends';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { OrderClient, OrderOutcome, WorkerReport } from './order-client.js';
import { ResidentSet } from './resident-set.js';

/** Right to give orders at this moment. */
export interface OrderAuthority {
  readonly holder: string;
  /** The fence to order under. @throws WoodbarrowError `lease_lost` when no order may be given now. */
  currentFence(): number;
}

/** Options of {@link WorkerOrders}. */
export interface WorkerOrdersOptions {
  readonly backEndId: string;
  readonly directory: BackendDirectory;
  readonly loads: LoadBook;
  readonly orders: OrderClient;
  readonly authority: OrderAuthority;
  readonly engine: () => EngineDefinition | undefined;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly signal: AbortSignal;
  /** Tells all daemons. */
  readonly announce: (target: ModelTarget, resident: boolean) => void;
}

const SENDS_PER_ORDER = 8;
const CONFLICT_PAUSE_MS = 120;
const UNKNOWN_PAUSE_MS = 30;
/** Pause between two reports while an order is carried out, in milliseconds. */
const MODEL_POLL_MS = 60;
const ADAPTER_POLL_MS = 40;
const ADAPTER_FIRST_POLL_MS = 25;
/** Time that adapters take at most, in milliseconds. */
const ADAPTER_LIMIT_MS = 2000;
/** Time that an unload takes at most: runs must end first, in milliseconds. */
const UNLOAD_LIMIT_MS = 12_000;
/** A load that takes this many times its expected time is given up, in addition to a fixed time. */
const LOAD_LIMIT_FACTOR = 4;
const LOAD_LIMIT_MS = 3000;
/** Reports are older than they look by up to this, in milliseconds. */
const REPORT_LAG_MS = 350;

/** Orders to one incarnation of a worker. */
export class WorkerOrders {
  readonly residents = new ResidentSet();
  private sequence: number | undefined;
  private lastOrderAt = -Infinity;
  private sending: Promise<unknown> = Promise.resolve();
  private swapping: Promise<unknown> = Promise.resolve();
  private queuedSwaps = 0;
  private busyUntil = 0;

  constructor(private readonly options: WorkerOrdersOptions) {
    const backEnd = options.directory.get(options.backEndId);
    const engine = options.engine();
    if (backEnd !== undefined && engine !== undefined) {
      this.residents.replace(backEnd.models, engine.models, -Infinity);
    }
  }

  /** Milliseconds until all loads and unloads decided so far are expected to be done. */
  get busyMs(): number {
    return Math.max(0, this.busyUntil - this.options.clock.monotonic());
  }

  /** Loads and unloads that are decided and not done. */
  get pendingSwaps(): number {
    return this.queuedSwaps;
  }

  /** Unloads `victims` and loads `model`. Resolves with whether it is resident. */
  swap(model: string, victims: readonly string[], expectedMs: number): Promise<boolean> {
    const { clock } = this.options;
    this.busyUntil = Math.max(this.busyUntil, clock.monotonic()) + expectedMs;
    this.reserve(model, victims);
    this.queuedSwaps += 1;
    const result = this.swapping.then(() => this.carryOutSwap(model, victims, expectedMs));
    this.swapping = result.catch(() => undefined).finally(() => (this.queuedSwaps -= 1));
    return result;
  }

  /** Loads an adapter of a resident model. Resolves with whether it is resident. */
  async loadAdapter(model: string, adapter: string): Promise<boolean> {
    const held = this.residents.models.get(model);
    const engine = this.options.engine();
    if (held?.state !== 'resident' || engine === undefined) return false;
    const state = held.adapters.get(adapter);
    if (state === 'resident') return true;
    if (state === undefined) {
      held.adapters.set(adapter, 'loading');
      if (this.residents.adapterCount > engine.adapterSlots && !(await this.evictAdapter())) {
        held.adapters.delete(adapter);
        return false;
      }
      const outcome = await this.send('load', { model, adapter });
      if (outcome !== 'accepted' && outcome !== 'done') {
        held.adapters.delete(adapter);
        return false;
      }
      if (outcome === 'done') held.adapters.set(adapter, 'resident');
    }
    return this.awaitAdapter(model, adapter);
  }

  /** Takes over what the worker reports. */
  async refresh(): Promise<WorkerReport | undefined> {
    const backEnd = this.backEnd();
    const report = await this.options.orders.report(backEnd);
    if (report === undefined) return undefined;
    const { clock, engine } = this.options;
    const isCurrent = clock.monotonic() - this.lastOrderAt > REPORT_LAG_MS;
    this.sequence = isCurrent ? report.sequence : Math.max(this.sequence ?? 0, report.sequence);
    if (isCurrent && !report.busy && this.queuedSwaps === 0 && report.incoming.length === 0) {
      const definitions = engine()?.models;
      if (definitions !== undefined) this.residents.replace(report.models, definitions, clock.monotonic());
    }
    return report;
  }

  private reserve(model: string, victims: readonly string[]): void {
    const { clock, engine, announce } = this.options;
    const now = clock.monotonic();
    const definition = engine()?.models.get(model);
    for (const victim of victims) {
      const held = this.residents.models.get(victim);
      if (held === undefined) continue;
      held.state = 'unloading';
      held.since = now;
      announce({ model: victim }, false);
    }
    if (definition !== undefined) this.residents.setModel(definition, 'loading', now);
  }

  private async carryOutSwap(model: string, victims: readonly string[], expectedMs: number): Promise<boolean> {
    try {
      for (const victim of victims) await this.unload(victim);
      await this.load(model, expectedMs);
      return true;
    } catch (error) {
      this.options.log.warned('load_failed', {
        backEnd: this.options.backEndId,
        model,
        cause: error instanceof Error ? error.message : String(error),
      });
      this.undo(model, victims);
      return false;
    }
  }

  /** After a failed swap only a report can tell what is there; until then nothing is offered. */
  private undo(model: string, victims: readonly string[]): void {
    for (const name of [model, ...victims]) {
      const held = this.residents.models.get(name);
      if (held !== undefined && held.state !== 'resident') held.state = 'unloading';
    }
    void this.recover();
  }

  private async recover(): Promise<void> {
    const { signal, clock, directory, engine, announce, backEndId } = this.options;
    while (!signal.aborted && directory.get(backEndId) !== undefined) {
      await sleep(clock, REPORT_LAG_MS * 2, signal);
      if (this.queuedSwaps > 0) return;
      const report = await this.refreshQuietly();
      const definitions = engine()?.models;
      if (report === undefined || report.busy || definitions === undefined) continue;
      this.residents.replace(report.models, definitions, clock.monotonic());
      for (const held of report.models) announce({ model: held.name }, true);
      return;
    }
  }

  private async refreshQuietly(): Promise<WorkerReport | undefined> {
    try {
      return await this.refresh();
    } catch {
      return undefined;
    }
  }

  private async unload(victim: string): Promise<void> {
    if (!this.residents.models.has(victim)) return;
    const outcome = await this.send('unload', { model: victim });
    if (outcome === 'accepted') await this.awaitModel(victim, false, 0, UNLOAD_LIMIT_MS);
    else if (outcome !== 'done') throw new WoodbarrowError('engine_refused', `unload of ${victim}: ${outcome}`);
    this.residents.models.delete(victim);
  }

  private async load(model: string, expectedMs: number): Promise<void> {
    const outcome = await this.send('load', { model });
    const limitMs = expectedMs * LOAD_LIMIT_FACTOR + LOAD_LIMIT_MS;
    if (outcome === 'accepted') await this.awaitModel(model, true, expectedMs, limitMs);
    else if (outcome !== 'done') throw new WoodbarrowError('engine_refused', `load of ${model}: ${outcome}`);
    const held = this.residents.models.get(model);
    if (held === undefined) return;
    held.state = 'resident';
    held.since = this.options.clock.monotonic();
    this.options.announce({ model }, true);
  }

  private async awaitModel(model: string, present: boolean, expectedMs: number, limitMs: number): Promise<void> {
    const { clock, signal } = this.options;
    const startedAt = clock.monotonic();
    await sleep(clock, Math.max(expectedMs * 0.9, MODEL_POLL_MS), signal);
    while (!signal.aborted && clock.monotonic() - startedAt < limitMs) {
      const report = await this.options.orders.report(this.backEnd());
      if (report !== undefined && report.sequence >= (this.sequence ?? 0)) {
        const listed = report.models.some((held) => held.name === model);
        if (listed === present && !report.busy) return;
      }
      await sleep(clock, MODEL_POLL_MS, signal);
    }
    throw new WoodbarrowError('engine_refused', `${model} not ${present ? 'loaded' : 'unloaded'} in time`);
  }

  private async awaitAdapter(model: string, adapter: string): Promise<boolean> {
    const { clock, signal, announce } = this.options;
    const startedAt = clock.monotonic();
    let pauseMs = ADAPTER_FIRST_POLL_MS;
    while (!signal.aborted && clock.monotonic() - startedAt < ADAPTER_LIMIT_MS) {
      const adapters = this.residents.models.get(model)?.adapters;
      if (adapters === undefined || !adapters.has(adapter)) return false;
      if (adapters.get(adapter) === 'resident') {
        announce({ model, adapter }, true);
        return true;
      }
      await sleep(clock, pauseMs, signal);
      pauseMs = ADAPTER_POLL_MS;
      const report = await this.options.orders.report(this.backEnd());
      const listed = report?.models.find((held) => held.name === model)?.adapters.includes(adapter) ?? false;
      if (listed && adapters.has(adapter)) adapters.set(adapter, 'resident');
    }
    this.residents.models.get(model)?.adapters.delete(adapter);
    return false;
  }

  /** Unloads the adapter that has gone unused longest; false when all are in use. */
  private async evictAdapter(): Promise<boolean> {
    const { loads, backEndId, announce } = this.options;
    let victim: { readonly model: string; readonly adapter: string } | undefined;
    let longestIdleMs = -1;
    for (const [model, held] of this.residents.models) {
      for (const [adapter, state] of held.adapters) {
        const key = targetKey({ model, adapter });
        if (state !== 'resident' || loads.requestsFor(backEndId, key) > 0) continue;
        const idleMs = loads.idleMs(backEndId, key);
        if (idleMs > longestIdleMs) {
          victim = { model, adapter };
          longestIdleMs = idleMs;
        }
      }
    }
    if (victim === undefined) return false;
    this.residents.models.get(victim.model)?.adapters.set(victim.adapter, 'unloading');
    announce(victim, false);
    const outcome = await this.send('unload', victim);
    const isGone = outcome === 'done' || outcome === 'accepted';
    if (isGone) this.residents.models.get(victim.model)?.adapters.delete(victim.adapter);
    else this.residents.models.get(victim.model)?.adapters.set(victim.adapter, 'resident');
    return isGone;
  }

  /** Sends one order after all before it have been answered. */
  private send(operation: 'load' | 'unload', target: ModelTarget): Promise<OrderOutcome> {
    const result = this.sending.then(() => this.sendUntilKnown(operation, target));
    this.sending = result.catch(() => undefined);
    return result;
  }

  private async sendUntilKnown(operation: 'load' | 'unload', target: ModelTarget): Promise<OrderOutcome> {
    const { authority, clock, orders, log, signal, backEndId } = this.options;
    let outcome: OrderOutcome = 'unknown';
    for (let attempt = 0; attempt < SENDS_PER_ORDER && !signal.aborted; attempt += 1) {
      if (this.sequence === undefined) await this.refresh();
      if (this.sequence === undefined) {
        await sleep(clock, CONFLICT_PAUSE_MS, signal);
        continue;
      }
      const fence = authority.currentFence();
      this.lastOrderAt = clock.monotonic();
      outcome = await orders.send(this.backEnd(), {
        operation,
        target,
        holder: authority.holder,
        fence,
        expectedSequence: this.sequence,
      });
      log.changed('order_answered', {
        backEnd: backEndId,
        operation,
        target: targetKey(target),
        fence,
        sequence: this.sequence,
        outcome,
      });
      if (outcome === 'accepted' || (outcome === 'done' && operation === 'unload')) this.sequence += 1;
      if (outcome !== 'conflict' && outcome !== 'unknown') return outcome;
      await sleep(clock, outcome === 'conflict' ? CONFLICT_PAUSE_MS : UNKNOWN_PAUSE_MS, signal);
      if (outcome === 'conflict') await this.resynchronise(attempt);
    }
    return outcome;
  }

  /** The worker has taken another number of orders than believed, or is still at one. */
  private async resynchronise(attempt: number): Promise<void> {
    const report = await this.refresh();
    if (report !== undefined && attempt > 1) this.sequence = report.sequence;
  }

  private backEnd(): BackEnd {
    const backEnd = this.options.directory.get(this.options.backEndId);
    if (backEnd === undefined) throw new WoodbarrowError('engine_refused', 'the worker is gone');
    return backEnd;
  }
}
