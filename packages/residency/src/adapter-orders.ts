/**
 * Manages the adapters of one worker: loads requested adapters and evicts the least recently used ones within
 * the worker's slots.
 */
import {
  keysServedBy,
  servesTarget,
  targetKey,
  targetOfCopy,
  type AdapterCopy,
  type AdapterTarget,
  type BackendDirectory,
  type LoadTracker,
  type ModelTarget,
} from '@woodbarrow/backends';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { WorkerReport } from './order-client.js';
import { REPORT_LAG_MS, type FinalOutcome, type OrderSender } from './order-sender.js';
import type { ResidentSet } from './resident-set.js';

/** Options of {@link AdapterOrders}. */
export interface AdapterOrdersOptions {
  readonly backEndId: string;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly sender: OrderSender;
  readonly residents: ResidentSet;
  /** Maximum number of adapters that the worker holds. */
  readonly slots: () => number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly announce: (target: ModelTarget, resident: boolean) => void;
  /** Called when an order failed or its outcome is unknown: the worker's state must be read again. */
  readonly onUnknownOutcome: () => void;
}

/** Delay before the first poll after an order, and between later polls, in milliseconds. */
const FIRST_POLL_MS = 25;
const POLL_MS = 40;
/**
 * Expected time of an adapter load, and expected wait for a slot while all adapters are in use, in
 * milliseconds.
 */
const EXPECTED_ADAPTER_LOAD_MS = 40;
const EXPECTED_SLOT_WAIT_MS = 400;
/** Maximum time to wait for an adapter load, in milliseconds. */
const ADAPTER_LOAD_TIMEOUT_MS = 2000;
/** Maximum time to wait for the runs that use an adapter before its unload, in milliseconds. */
const ADAPTER_UNLOAD_TIMEOUT_MS = 12_000;

/** Adapter orders for one incarnation of a worker. */
export class AdapterOrders {
  private readonly loading = new Map<string, Promise<boolean>>();
  private slotQueue: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: AdapterOrdersOptions) {}

  /**
   * Loads an adapter of a resident model and resolves with whether it is resident.
   *
   * @param deadline Monotonic time until which it waits for a slot.
   */
  load(target: AdapterTarget, deadline: number): Promise<boolean> {
    const key = targetKey(target);
    const existing = this.loading.get(key);
    if (existing !== undefined) return existing;
    const loading = this.loadIntoSlot(target, deadline).finally(() => this.loading.delete(key));
    this.loading.set(key, loading);
    return loading;
  }

  /**
   * Returns the expected wait for an adapter requested now, in milliseconds: loads queued before it, and a
   * free slot.
   */
  waitMs(): number {
    const { residents, slots } = this.options;
    const isFull = residents.adapterCount >= slots() && this.leastRecentlyUsed() === undefined;
    return (this.loading.size + 1) * EXPECTED_ADAPTER_LOAD_MS + (isFull ? EXPECTED_SLOT_WAIT_MS : 0);
  }

  private async loadIntoSlot(target: AdapterTarget, deadline: number): Promise<boolean> {
    const { residents, sender } = this.options;
    if (residents.isResident(target)) return true;
    if (!(await this.acquireSlot(target, deadline))) return residents.isResident(target);
    let isLoaded = false;
    try {
      isLoaded = await this.orderLoad(target);
    } finally {
      sender.recordLoadResult(target, isLoaded);
    }
    return isLoaded;
  }

  private async orderLoad(target: AdapterTarget): Promise<boolean> {
    const { residents } = this.options;
    const outcome = await this.sendOrder('load', target);
    if (outcome === 'done') return this.markResident(target);
    if (outcome === 'accepted') return this.awaitLoaded(target);
    // Only a refusal proves that nothing was loaded. After any other outcome the adapter may be there or
    // still arrive, so it keeps its slot.
    if (outcome === 'refused') residents.dropAdapter(target);
    else this.options.onUnknownOutcome();
    return false;
  }

  /**
   * Sends an order. An order that may not be given leaves the adapter in the state of a change in progress, so the worker's
   * state is read again.
   */
  private async sendOrder(operation: 'load' | 'unload', target: AdapterTarget): Promise<FinalOutcome> {
    try {
      return await this.options.sender.send(operation, target);
    } catch (error) {
      this.options.onUnknownOutcome();
      throw error;
    }
  }

  /** Acquires a slot for an adapter, in order of request. */
  private acquireSlot(target: AdapterTarget, deadline: number): Promise<boolean> {
    const taken = this.slotQueue.then(() => this.waitForSlot(target, deadline));
    this.slotQueue = taken.catch(() => false);
    return taken;
  }

  private async waitForSlot(target: AdapterTarget, deadline: number): Promise<boolean> {
    const { clock, signal, residents, slots } = this.options;
    while (!signal.aborted) {
      const isModelResident = residents.models.get(target.model)?.state === 'resident';
      if (!isModelResident || residents.isResident(target)) return false;
      const canAddAdapter = residents.adapterCount < slots() && residents.adapterOf(target) === undefined;
      if (canAddAdapter) {
        residents.setAdapter(target, 'loading');
        return true;
      }
      if (clock.monotonic() >= deadline) return false;
      if (!(await this.freeSlot())) await sleep(clock, POLL_MS, signal);
    }
    return false;
  }

  private async awaitLoaded(target: AdapterTarget): Promise<boolean> {
    const { clock, signal, sender } = this.options;
    const startedAt = clock.monotonic();
    let pauseMs = FIRST_POLL_MS;
    while (!signal.aborted && clock.monotonic() - startedAt < ADAPTER_LOAD_TIMEOUT_MS) {
      await sleep(clock, pauseMs, signal);
      pauseMs = POLL_MS;
      const report = await sender.report();
      const held = report?.models.find((model) => model.name === target.model);
      if (held?.adapters.some((copy) => servesTarget(copy, target)) === true)
        return this.markResident(target);
    }
    this.options.onUnknownOutcome();
    return false;
  }

  private markResident(target: AdapterTarget): boolean {
    const { residents, announce } = this.options;
    if (residents.models.get(target.model)?.state !== 'resident') return false;
    residents.setAdapter(target, 'resident');
    announce(target, true);
    return true;
  }

  /** Unloads the least recently used adapter; returns false when no slot was freed. */
  private async freeSlot(): Promise<boolean> {
    const victim = this.leastRecentlyUsed();
    return victim !== undefined && this.unload(victim);
  }

  private async unload(victim: AdapterTarget): Promise<boolean> {
    const { residents, announce, onUnknownOutcome } = this.options;
    residents.setAdapter(victim, 'unloading');
    announce(victim, false);
    const outcome = await this.sendOrder('unload', victim);
    if (outcome === 'done') {
      residents.dropAdapter(victim);
      return true;
    }
    // A run still uses the adapter: it occupies its slot until a report no longer lists it.
    if (outcome === 'accepted') void this.awaitUnloaded(victim);
    else onUnknownOutcome();
    return false;
  }

  private async awaitUnloaded(victim: AdapterTarget): Promise<void> {
    const { clock, signal, sender, residents, onUnknownOutcome } = this.options;
    const startedAt = clock.monotonic();
    while (!signal.aborted && clock.monotonic() - startedAt < ADAPTER_UNLOAD_TIMEOUT_MS) {
      await sleep(clock, REPORT_LAG_MS, signal);
      if (residents.adapterOf(victim)?.state !== 'unloading') return;
      const report = await this.tryReport(sender);
      const held = report?.models.find((model) => model.name === victim.model);
      if (report !== undefined && held?.adapters.some((copy) => servesTarget(copy, victim)) !== true) {
        residents.dropAdapter(victim);
        return;
      }
    }
    onUnknownOutcome();
  }

  private async tryReport(sender: OrderSender): Promise<WorkerReport | undefined> {
    try {
      return await sender.report();
    } catch {
      // The worker is no longer in the directory.
      return undefined;
    }
  }

  private leastRecentlyUsed(): AdapterTarget | undefined {
    const { residents } = this.options;
    let victim: AdapterTarget | undefined;
    let longestIdleMs = -1;
    for (const [model, held] of residents.models) {
      for (const { copy, state } of held.adapters.values()) {
        const idleMs = state === 'resident' ? this.idleMs(model, copy) : -1;
        if (idleMs <= longestIdleMs) continue;
        victim = targetOfCopy(model, copy);
        longestIdleMs = idleMs;
      }
    }
    return victim;
  }

  /**
   * Returns the time since a copy was last used, by requests for its version or for any; negative while it is
   * in use.
   */
  private idleMs(model: string, copy: AdapterCopy): number {
    const { loads, backEndId } = this.options;
    const keys = keysServedBy(model, copy);
    if (keys.some((key) => loads.requestsFor(backEndId, key) > 0)) return -1;
    return Math.min(...keys.map((key) => loads.idleMs(backEndId, key)));
  }
}
