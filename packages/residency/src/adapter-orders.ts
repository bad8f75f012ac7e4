/** Adapters of one worker: loads those wanted, unloads those unused longest, never more than there are slots. */
import {
  keysServedBy,
  servesTarget,
  targetKey,
  targetOfCopy,
  type AdapterCopy,
  type AdapterTarget,
  type BackendDirectory,
  type LoadBook,
  type ModelTarget,
} from '@woodbarrow/backends';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { WorkerReport } from './order-client.js';
import { REPORT_LAG_MS, type OrderSender } from './order-sender.js';
import type { ResidentSet } from './resident-set.js';

/** Options of {@link AdapterOrders}. */
export interface AdapterOrdersOptions {
  readonly backEndId: string;
  readonly directory: BackendDirectory;
  readonly loads: LoadBook;
  readonly sender: OrderSender;
  readonly residents: ResidentSet;
  /** Adapters that the worker holds at most. */
  readonly slots: () => number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly announce: (target: ModelTarget, resident: boolean) => void;
  /** Something did not go as expected: what the worker holds must be learnt anew. */
  readonly onUnknownOutcome: () => void;
}

/** First look after an order and the pause between looks, in milliseconds. */
const FIRST_POLL_MS = 25;
const POLL_MS = 40;
/** Time that an adapter usually takes, and until one in use makes way, in milliseconds. */
const EXPECTED_ADAPTER_LOAD_MS = 40;
const EXPECTED_SLOT_WAIT_MS = 400;
/** Time that an adapter takes at most, in milliseconds. */
const ADAPTER_LOAD_TIMEOUT_MS = 2000;
/** Time that the runs which use an adapter take at most, in milliseconds. */
const ADAPTER_UNLOAD_TIMEOUT_MS = 12_000;

/** Adapters of one incarnation of a worker. */
export class AdapterOrders {
  private readonly loading = new Map<string, Promise<boolean>>();
  private slotQueue: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: AdapterOrdersOptions) {}

  /**
   * Loads an adapter of a resident model. Resolves with whether it is resident.
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

  /** Expected wait for an adapter that is asked for now, in milliseconds: those before it, and a slot. */
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
    const { residents, sender } = this.options;
    const outcome = await sender.send('load', target);
    if (outcome === 'done') return this.markResident(target);
    if (outcome === 'accepted') return this.awaitLoaded(target);
    // After a refusal nothing is there; after anything else it may be, or may come: it stays counted.
    if (outcome === 'refused') residents.dropAdapter(target);
    else this.options.onUnknownOutcome();
    return false;
  }

  /** Takes a slot for an adapter, in the order in which they were asked for. */
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

  /** Unloads the adapter unused longest; false when those in use leave no room. */
  private async freeSlot(): Promise<boolean> {
    const victim = this.leastRecentlyUsed();
    return victim !== undefined && this.unload(victim);
  }

  private async unload(victim: AdapterTarget): Promise<boolean> {
    const { residents, sender, announce, onUnknownOutcome } = this.options;
    residents.setAdapter(victim, 'unloading');
    announce(victim, false);
    const outcome = await sender.send('unload', victim);
    if (outcome === 'done') {
      residents.dropAdapter(victim);
      return true;
    }
    // Taken, but a run still uses it: it holds its slot until a report shows it gone.
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
      // The worker is gone.
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

  /** Time since a copy was last used, by requests for its version or for any; below 0 while it is in use. */
  private idleMs(model: string, copy: AdapterCopy): number {
    const { loads, backEndId } = this.options;
    const keys = keysServedBy(model, copy);
    if (keys.some((key) => loads.requestsFor(backEndId, key) > 0)) return -1;
    return Math.min(...keys.map((key) => loads.idleMs(backEndId, key)));
  }
}
