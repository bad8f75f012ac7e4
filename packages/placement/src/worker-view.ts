/** The coordinator's view of one worker: the models that it holds or may hold. */
import type { Inventory, LoadedModel } from '@woodbarrow/engine';

/** A model that a worker holds or may hold, with the accelerator memory reserved for it. */
export interface Holding {
  readonly model: string;
  readonly memoryGib: number;
}

/** The replicated record of one worker: all models that the zone's coordinators may have loaded on it. */
export interface WorkerRecord {
  readonly origin: string;
  readonly memoryGib: number;
  readonly holdings: readonly Holding[];
}

/** Returns the key of a worker's record among the lease's records. */
export function workerRecordKey(workerId: string): string {
  return `worker/${workerId}`;
}

/** Number of consecutive calls without response after which a worker receives no new work until it responds. */
export const MAX_UNANSWERED_CALLS = 2;

const MIB_PER_GIB = 1024;

/** State of a machine in the platform's list; `absent` when it is not listed. */
export type MachineState = 'live' | 'leaving' | 'absent';

/** Tracks the inventory and the pending orders of one worker. */
export class WorkerView {
  machineState: MachineState = 'live';
  /** Last inventory received under the current lease; undefined until the worker has responded. */
  inventory: Inventory | undefined;
  /** Monotonic time at which the inventory was received. */
  inventoryAt = 0;
  /** Models that the worker may hold besides its inventory, since orders are pending or had an unknown outcome. */
  readonly intents = new Map<string, Holding>();
  /** Whether an order had an unknown outcome. Until the fence is raised again, no model counts as absent. */
  hasUnknownOutcome = false;
  /** Models with a pending unload; they receive no new work. */
  readonly retiring = new Set<string>();
  /** Number of consecutive calls without response. */
  unansweredCalls = 0;

  /** @param origin Origin of the engine. @param hasUnknownHoldings Whether the worker may hold any model. */
  constructor(
    readonly id: string,
    public origin: string,
    public hasUnknownHoldings: boolean,
  ) {}

  /** Whether the worker has responded under the current lease. */
  get isReached(): boolean {
    return this.inventory !== undefined;
  }

  /** Whether the worker is leaving or gone, by the machine list or by its own inventory. */
  get isLeaving(): boolean {
    return this.machineState !== 'live' || this.inventory?.draining === true;
  }

  /** Whether the worker may receive new work. */
  get isAccepting(): boolean {
    return this.isReached && !this.isLeaving && this.unansweredCalls < MAX_UNANSWERED_CALLS;
  }

  /** Returns the model's entry in the inventory; undefined when it has none. */
  loaded(model: string): LoadedModel | undefined {
    return this.inventory?.models.find((entry) => entry.model === model);
  }

  /** Whether the worker holds or may hold the model. */
  mayHold(model: string): boolean {
    return this.hasUnknownHoldings || this.intents.has(model) || this.loaded(model) !== undefined;
  }

  /** Returns all models that the worker holds or may hold. */
  holdings(): Holding[] {
    const holdings = new Map<string, Holding>(this.intents);
    for (const entry of this.inventory?.models ?? []) {
      const intendedGib = this.intents.get(entry.model)?.memoryGib ?? 0;
      holdings.set(entry.model, { model: entry.model, memoryGib: Math.max(intendedGib, entry.memoryGib) });
    }
    return [...holdings.values()];
  }

  /** Accelerator memory of all holdings, in GiB. */
  get committedGib(): number {
    const total = this.holdings().reduce((sum, holding) => sum + holding.memoryGib, 0);
    // Rounded to whole MiB, since sums of fractions of GiB are inexact.
    return Math.round(total * MIB_PER_GIB) / MIB_PER_GIB;
  }

  /** Accelerator memory not committed, in GiB; 0 while the worker's holdings are unknown. */
  get freeGib(): number {
    if (this.inventory === undefined || this.hasUnknownHoldings) return 0;
    return this.inventory.memoryGib - this.committedGib;
  }

  /**
   * Applies an inventory received after the response to the last order. Unless an order's outcome is unknown, models
   * that it does not list count as absent.
   */
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

  /** Returns the record to replicate. */
  toRecord(): WorkerRecord {
    return { origin: this.origin, memoryGib: this.inventory?.memoryGib ?? 0, holdings: this.holdings() };
  }
}
