/** Sends orders to one worker during one lease, one at a time, each only after the outcome of the previous one. */
import type { Lease } from '@woodbarrow/coordination';
import type { CatalogModel } from '@woodbarrow/configuration';
import type { EngineClient, EngineOrder, Inventory } from '@woodbarrow/engine';
import { isKind } from '@woodbarrow/errors';
import { Wakeup, type Clock } from '@woodbarrow/runtime';
import { checkpointOf, type LoadEstimate } from './load-estimate.js';
import { MAX_UNANSWERED_CALLS, workerRecordKey, type Holding, type WorkerView } from './worker-view.js';

/** Options of {@link WorkerAgent}. */
export interface WorkerAgentOptions {
  readonly worker: WorkerView;
  readonly lease: Lease;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly counters: {
    loadsOrdered: number;
    unloadsOrdered: number;
    ordersRefused: number;
    ordersUnanswered: number;
  };
  /** Milliseconds between two inventory polls while no load or unload is in progress. */
  readonly idlePollMs: () => number;
  readonly busyPollMs: number;
  /** Called when the worker's inventory or its availability has changed. */
  readonly onChange: () => void;
}

interface QueuedOrder {
  readonly order: EngineOrder;
  /** Memory that the order commits; replicated before the order is sent. */
  readonly holding?: Holding;
}

const UNREACHABLE_RETRY_MS = 500;

/** Executes the queued orders of one worker and polls its inventory. */
export class WorkerAgent {
  private readonly queue: QueuedOrder[] = [];
  private readonly wakeup = new Wakeup();
  private stopped = false;

  constructor(private readonly options: WorkerAgentOptions) {}

  /** Queues a load. Its memory counts as committed immediately. */
  load(model: CatalogModel, estimate: LoadEstimate): void {
    const { worker } = this.options;
    const holding: Holding = { model: model.id, memoryGib: model.parameters.memoryGib };
    worker.intents.set(model.id, holding);
    this.enqueue({
      holding,
      order: {
        type: 'load',
        model: model.id,
        checkpoint: checkpointOf(model),
        version: model.parameters.version,
        memoryGib: model.parameters.memoryGib,
        concurrency: model.parameters.concurrency,
        ...(estimate.copyFrom === undefined ? {} : { copyFrom: estimate.copyFrom }),
      },
    });
  }

  /** Queues an unload; the engine completes running requests first. */
  unload(model: string): void {
    this.enqueue({ order: { type: 'unload', model } });
  }

  /** Queues the load of an adapter, unless it is already queued. */
  loadAdapter(model: string, adapter: string, memoryGib: number): void {
    const isQueued = this.queue.some(
      ({ order }) => order.type === 'load_adapter' && order.adapter === adapter,
    );
    if (isQueued) return;
    const base = this.options.worker.loaded(model)?.memoryGib ?? 0;
    this.enqueue({
      holding: { model, memoryGib: base + memoryGib },
      order: { type: 'load_adapter', model, adapter, memoryGib },
    });
  }

  /** Polls the inventory without delay, after a request was refused or failed on the worker. */
  pollSoon(): void {
    if (this.options.worker.unansweredCalls === 0) this.wakeup.wake();
  }

  /** Stops the task after the current step. */
  stop(): void {
    this.stopped = true;
    this.wakeup.wake();
  }

  /** Runs the task until it is stopped or aborted, or the lease ends. */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.options;
    while (!signal.aborted && !this.stopped && lease.isValid) {
      const next = this.queue[0];
      if (!this.options.worker.isReached || this.options.worker.hasUnknownOutcome) await this.raiseFence();
      else if (next !== undefined) await this.execute(next);
      else await this.poll();
      await this.pause(signal);
    }
  }

  private enqueue(order: QueuedOrder): void {
    this.queue.push(order);
    // An unresponsive worker is retried at its own interval.
    if (this.options.worker.unansweredCalls === 0) this.wakeup.wake();
  }

  private async pause(signal: AbortSignal): Promise<void> {
    const { worker, clock } = this.options;
    if (this.queue.length > 0 && worker.unansweredCalls === 0 && !worker.hasUnknownOutcome) return;
    await this.wakeup.wait(clock, this.pauseMs(), signal);
  }

  private pauseMs(): number {
    const { worker, idlePollMs, busyPollMs } = this.options;
    if (worker.unansweredCalls > 0 || worker.hasUnknownOutcome) return UNREACHABLE_RETRY_MS;
    const busy = worker.inventory?.models.some((entry) => entry.state !== 'ready') ?? false;
    return busy || worker.retiring.size > 0 ? busyPollMs : idlePollMs();
  }

  /** Raises the worker's fence, which voids all earlier orders, and applies the returned inventory. */
  private async raiseFence(): Promise<void> {
    const { worker, lease, engines } = this.options;
    if (!lease.isValid) return;
    try {
      const order: EngineOrder = { type: 'raise_fence' };
      const inventory = await engines.order(worker.origin, lease.nextOrderNumber(), order, worker.inventory);
      worker.hasUnknownOutcome = false;
      this.applyInventory(inventory);
    } catch (error) {
      this.handleFailure(error);
    }
  }

  private async execute(next: QueuedOrder): Promise<void> {
    const { worker, lease, engines, counters } = this.options;
    this.queue.shift();
    if (next.holding !== undefined) {
      worker.intents.set(next.holding.model, next.holding);
      if (!(await this.recordHoldings())) return;
    }
    // No await may come between this check and sending the order.
    if (!lease.isValid) return;
    if (next.order.type === 'load') counters.loadsOrdered += 1;
    if (next.order.type === 'unload') counters.unloadsOrdered += 1;
    try {
      this.applyInventory(
        await engines.order(worker.origin, lease.nextOrderNumber(), next.order, worker.inventory),
      );
    } catch (error) {
      worker.hasUnknownOutcome = true;
      if (next.order.type === 'unload') worker.retiring.delete(next.order.model);
      this.handleFailure(error);
    }
  }

  /** Replicates the worker's holdings; returns false on failure. The order is then not sent but planned again. */
  private async recordHoldings(): Promise<boolean> {
    const { worker, lease } = this.options;
    try {
      await lease.write(new Map([[workerRecordKey(worker.id), worker.toRecord()]]));
      return true;
    } catch {
      return false;
    }
  }

  private async poll(): Promise<void> {
    const { worker, engines } = this.options;
    try {
      this.applyInventory(await engines.inventory(worker.origin, worker.inventory));
    } catch (error) {
      this.handleFailure(error);
    }
  }

  private applyInventory(inventory: Inventory): void {
    const { worker, clock, onChange } = this.options;
    const previousGeneration = worker.inventory?.generation;
    const wasUncertain = worker.hasUnknownHoldings || worker.intents.size > 0 || worker.unansweredCalls > 0;
    worker.applyInventory(inventory, clock.monotonic());
    for (const { holding } of this.queue) {
      if (holding !== undefined) worker.intents.set(holding.model, holding);
    }
    if (wasUncertain || previousGeneration !== inventory.generation) onChange();
  }

  private handleFailure(error: unknown): void {
    const { worker, counters, lease, onChange } = this.options;
    if (isKind(error, 'fence_too_low')) {
      // Another coordinator has raised the fence: this lease has ended, even if its time has not expired.
      counters.ordersRefused += 1;
      lease.end();
      return;
    }
    if (isKind(error, 'engine_refused')) {
      counters.ordersRefused += 1;
      return;
    }
    counters.ordersUnanswered += 1;
    worker.unansweredCalls += 1;
    if (worker.unansweredCalls === MAX_UNANSWERED_CALLS) onChange();
  }
}
