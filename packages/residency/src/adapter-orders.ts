/** Adapters of one worker: loads those wanted, unloads those unused longest, never more than there are slots. */
import { targetKey, type BackendDirectory, type LoadBook, type ModelTarget } from '@woodbarrow/backends';
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
  readonly onDoubt: () => void;
}

interface AdapterTarget extends ModelTarget {
  readonly adapter: string;
}

/** First look after an order and the pause between looks, in milliseconds. */
const FIRST_POLL_MS = 25;
const POLL_MS = 40;
/** Time that an adapter usually takes, and until one in use makes way, in milliseconds. */
const EXPECTED_MS = 40;
const SLOT_WAIT_MS = 400;
/** Time that an adapter takes at most, in milliseconds. */
const LIMIT_MS = 2000;
/** Time that the runs which use an adapter take at most, in milliseconds. */
const UNLOAD_LIMIT_MS = 12_000;

/** Adapters of one incarnation of a worker. */
export class AdapterOrders {
  private readonly loading = new Map<string, Promise<boolean>>();
  private lastTurn: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: AdapterOrdersOptions) {}

  /**
   * Loads an adapter of a resident model. Resolves with whether it is resident.
   *
   * @param deadline Monotonic time until which it waits for a slot.
   */
  load(target: AdapterTarget, deadline: number): Promise<boolean> {
    const key = targetKey(target);
    const known = this.loading.get(key);
    if (known !== undefined) return known;
    const loading = this.carryOut(target, deadline).finally(() => this.loading.delete(key));
    this.loading.set(key, loading);
    return loading;
  }

  /** Expected wait for an adapter that is asked for now, in milliseconds: those before it, and a slot. */
  waitMs(): number {
    const { residents, slots } = this.options;
    const isFull = residents.adapterCount >= slots() && this.longestUnused() === undefined;
    return (this.loading.size + 1) * EXPECTED_MS + (isFull ? SLOT_WAIT_MS : 0);
  }

  private async carryOut(target: AdapterTarget, deadline: number): Promise<boolean> {
    const { residents, sender } = this.options;
    if (residents.isResident(target.model, target.adapter)) return true;
    if (!(await this.takeSlot(target, deadline))) return residents.isResident(target.model, target.adapter);
    const outcome = await sender.send('load', target);
    if (outcome === 'done') return this.finish(target);
    if (outcome === 'accepted') return this.awaitLoaded(target);
    // After a refusal nothing is there; after anything else it may be, or may come: it stays counted.
    if (outcome === 'refused') residents.models.get(target.model)?.adapters.delete(target.adapter);
    else this.options.onDoubt();
    return false;
  }

  /** Takes a slot for an adapter, in the order in which they were asked for. */
  private takeSlot(target: AdapterTarget, deadline: number): Promise<boolean> {
    const taken = this.lastTurn.then(() => this.takeSlotInTurn(target, deadline));
    this.lastTurn = taken.catch(() => false);
    return taken;
  }

  private async takeSlotInTurn({ model, adapter }: AdapterTarget, deadline: number): Promise<boolean> {
    const { clock, signal, residents, slots } = this.options;
    while (!signal.aborted) {
      const held = residents.models.get(model);
      if (held?.state !== 'resident' || held.adapters.get(adapter) === 'resident') return false;
      const hasRoom = residents.adapterCount < slots() && !held.adapters.has(adapter);
      if (hasRoom) {
        held.adapters.set(adapter, 'loading');
        return true;
      }
      if (clock.monotonic() >= deadline) return false;
      if (!(await this.makeRoom())) await sleep(clock, POLL_MS, signal);
    }
    return false;
  }

  private async awaitLoaded(target: AdapterTarget): Promise<boolean> {
    const { clock, signal, sender } = this.options;
    const startedAt = clock.monotonic();
    let pauseMs = FIRST_POLL_MS;
    while (!signal.aborted && clock.monotonic() - startedAt < LIMIT_MS) {
      await sleep(clock, pauseMs, signal);
      pauseMs = POLL_MS;
      const report = await sender.report();
      const held = report?.models.find((model) => model.name === target.model);
      if (held?.adapters.includes(target.adapter) === true) return this.finish(target);
    }
    this.options.onDoubt();
    return false;
  }

  private finish(target: AdapterTarget): boolean {
    const { residents, announce } = this.options;
    const held = residents.models.get(target.model);
    if (held?.state !== 'resident') return false;
    held.adapters.set(target.adapter, 'resident');
    announce(target, true);
    return true;
  }

  /** Unloads the adapter unused longest; false when those in use leave no room. */
  private async makeRoom(): Promise<boolean> {
    const victim = this.longestUnused();
    return victim !== undefined && this.unload(victim);
  }

  private async unload(victim: AdapterTarget): Promise<boolean> {
    const { residents, sender, announce, onDoubt } = this.options;
    const adapters = residents.models.get(victim.model)?.adapters;
    adapters?.set(victim.adapter, 'unloading');
    announce(victim, false);
    const outcome = await sender.send('unload', victim);
    if (outcome === 'done') {
      adapters?.delete(victim.adapter);
      return true;
    }
    // Taken, but a run still uses it: it holds its slot until a report shows it gone.
    if (outcome === 'accepted') void this.awaitUnloaded(victim);
    else onDoubt();
    return false;
  }

  private async awaitUnloaded(victim: AdapterTarget): Promise<void> {
    const { clock, signal, sender, residents, onDoubt } = this.options;
    const startedAt = clock.monotonic();
    while (!signal.aborted && clock.monotonic() - startedAt < UNLOAD_LIMIT_MS) {
      await sleep(clock, REPORT_LAG_MS, signal);
      const adapters = residents.models.get(victim.model)?.adapters;
      if (adapters?.get(victim.adapter) !== 'unloading') return;
      const report = await this.tryReport(sender);
      const held = report?.models.find((model) => model.name === victim.model);
      if (report !== undefined && held?.adapters.includes(victim.adapter) !== true) {
        adapters.delete(victim.adapter);
        return;
      }
    }
    onDoubt();
  }

  private async tryReport(sender: OrderSender): Promise<WorkerReport | undefined> {
    try {
      return await sender.report();
    } catch {
      // The worker is gone.
      return undefined;
    }
  }

  private longestUnused(): AdapterTarget | undefined {
    const { loads, backEndId, residents } = this.options;
    let victim: AdapterTarget | undefined;
    let longestIdleMs = -1;
    for (const [model, held] of residents.models) {
      for (const [adapter, state] of held.adapters) {
        const key = targetKey({ model, adapter });
        if (state !== 'resident' || loads.requestsFor(backEndId, key) > 0) continue;
        const idleMs = loads.idleMs(backEndId, key);
        if (idleMs <= longestIdleMs) continue;
        victim = { model, adapter };
        longestIdleMs = idleMs;
      }
    }
    return victim;
  }
}
