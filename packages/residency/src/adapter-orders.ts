/** Adapters of one worker: loads those wanted, unloads those unused longest, never more than there are slots. */
import { targetKey, type BackendDirectory, type LoadBook, type ModelTarget } from '@woodbarrow/backends';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { OrderSender } from './order-sender.js';
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
/** Time that an adapter takes at most, in milliseconds. */
const LIMIT_MS = 2000;

/** Adapters of one incarnation of a worker. */
export class AdapterOrders {
  private readonly loading = new Map<string, Promise<boolean>>();

  constructor(private readonly options: AdapterOrdersOptions) {}

  /** Loads an adapter of a resident model. Resolves with whether it is resident. */
  load(target: AdapterTarget): Promise<boolean> {
    const key = targetKey(target);
    const known = this.loading.get(key);
    if (known !== undefined) return known;
    const loading = this.carryOut(target).finally(() => this.loading.delete(key));
    this.loading.set(key, loading);
    return loading;
  }

  private async carryOut(target: AdapterTarget): Promise<boolean> {
    const { residents, sender } = this.options;
    const held = residents.models.get(target.model);
    if (held?.state !== 'resident') return false;
    if (held.adapters.get(target.adapter) === 'resident') return true;
    if (held.adapters.has(target.adapter)) return false;
    held.adapters.set(target.adapter, 'loading');
    if (!(await this.makeRoom())) {
      held.adapters.delete(target.adapter);
      return false;
    }
    const outcome = await sender.send('load', target);
    if (outcome === 'done') return this.finish(target);
    if (outcome === 'accepted') return this.awaitLoaded(target);
    // After a refusal nothing is there; after anything else it may be, or may come: it stays counted.
    if (outcome === 'refused') held.adapters.delete(target.adapter);
    else this.options.onDoubt();
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

  /** Unloads adapters until the ones wanted fit; false when those in use leave no room. */
  private async makeRoom(): Promise<boolean> {
    const { residents, slots } = this.options;
    while (residents.adapterCount > slots()) {
      const victim = this.longestUnused();
      if (victim === undefined || !(await this.unload(victim))) return false;
    }
    return true;
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
    onDoubt();
    return false;
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
