/** What the coordinator knows of one worker: what it holds, and what it may hold. */
import type { Inventory, LoadedModel } from '@woodbarrow/engine';

/** A model that a worker holds or may hold. */
export interface Holding {
  readonly model: string;
  readonly memoryGib: number;
}

/** The replicated record of one worker: everything it may hold by order of this zone's coordinators. */
export interface WorkerRecord {
  readonly origin: string;
  readonly memoryGib: number;
  readonly holdings: readonly Holding[];
}

/** Key of a worker's record among the lease's records. */
export function workerRecordKey(workerId: string): string {
  return `worker/${workerId}`;
}

/** After this many calls without an answer a worker takes no new work until it answers. */
export const MAX_UNANSWERED_CALLS = 2;

const MIB_PER_GIB = 1024;

/** State of a machine by the platform's list; `absent` once the list no longer has it. */
export type MachineState = 'live' | 'leaving' | 'absent';

/** One worker. */
export class WorkerView {
  machineState: MachineState = 'live';
  /** Last inventory obtained under the present lease; undefined while the worker has not been reached. */
  inventory: Inventory | undefined;
  /** Monotonic time of that inventory. */
  inventoryAt = 0;
  /** Models that may appear on the worker besides its inventory: orders without a known outcome. */
  readonly intents = new Map<string, Holding>();
  /** True when an order's outcome is not known: nothing counts as absent until the fence was raised again. */
  hasUnknownOutcome = false;
  /** Models that are to be unloaded as soon as possible; they take no new work. */
  readonly retiring = new Set<string>();
  /** Calls in a row that the worker did not answer. */
  unansweredCalls = 0;

  /** @param origin Origin of the engine. @param hasUnknownHoldings True while nothing is known of the worker. */
  constructor(
    readonly id: string,
    public origin: string,
    public hasUnknownHoldings: boolean,
  ) {}

  /** Whether the worker was reached under the present lease. */
  get isReached(): boolean {
    return this.inventory !== undefined;
  }

  /** Whether the worker is about to go, by the machine list or by its own word. */
  get isLeaving(): boolean {
    return this.machineState !== 'live' || this.inventory?.draining === true;
  }

  /** Whether new work may go to the worker. */
  get isAccepting(): boolean {
    return this.isReached && !this.isLeaving && this.unansweredCalls < MAX_UNANSWERED_CALLS;
  }

  /** The model's entry in the inventory. */
  loaded(model: string): LoadedModel | undefined {
    return this.inventory?.models.find((entry) => entry.model === model);
  }

  /** Whether the worker holds or may hold the model. */
  mayHold(model: string): boolean {
    return this.hasUnknownHoldings || this.intents.has(model) || this.loaded(model) !== undefined;
  }

  /** Everything the worker holds or may hold. */
  holdings(): Holding[] {
    const holdings = new Map<string, Holding>(this.intents);
    for (const entry of this.inventory?.models ?? []) {
      const intendedGib = this.intents.get(entry.model)?.memoryGib ?? 0;
      holdings.set(entry.model, { model: entry.model, memoryGib: Math.max(intendedGib, entry.memoryGib) });
    }
    return [...holdings.values()];
  }

  /** Accelerator memory committed, in GiB. */
  get committedGib(): number {
    const total = this.holdings().reduce((sum, holding) => sum + holding.memoryGib, 0);
    // In whole MiB, so that sums of fractions stay exact.
    return Math.round(total * MIB_PER_GIB) / MIB_PER_GIB;
  }

  /** Accelerator memory not committed, in GiB; none while the worker is unknown. */
  get freeGib(): number {
    if (this.inventory === undefined || this.hasUnknownHoldings) return 0;
    return this.inventory.memoryGib - this.committedGib;
  }

  /** Takes in an inventory that was obtained after every order had been answered. */
  applyInventory(inventory: Inventory, now: number): void {
    this.inventory = inventory;
    this.inventoryAt = now;
    this.unansweredCalls = 0;
    if (this.hasUnknownOutcome) return;
    this.hasUnknownHoldings = false;
    this.intents.clear();
    for (const model of this.retiring) {
      if (this.loaded(model) === undefined) this.retiring.delete(model);
    }
  }

  /** The record to replicate. */
  toRecord(): WorkerRecord {
    return { origin: this.origin, memoryGib: this.inventory?.memoryGib ?? 0, holdings: this.holdings() };
  }
}
