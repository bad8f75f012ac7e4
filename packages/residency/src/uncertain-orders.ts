/**
 * Orders of one worker whose outcome is unknown. Each may have been executed, may still be executed, or may never have
 * reached the worker. It is settled by a later fact: the worker's sequence is past the one that the order names, so that
 * it was executed or is void; or the worker has given a final answer to the same order sent again.
 */
import { targetKey, type ModelTarget } from '@woodbarrow/backends';
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';

/** An order whose outcome is unknown. */
export interface UncertainOrder {
  readonly operation: 'load' | 'unload';
  readonly target: ModelTarget;
  /** Sequence that the order names: the worker executes it only while it has accepted exactly this many orders. */
  readonly sequence: number;
  /** Monotonic time at which the outcome became unknown. */
  readonly since: number;
}

/** How an order whose outcome was unknown was settled. */
export type OrderSettlement =
  /** The worker has accepted this or another order since, so that a late copy is void. */
  | 'sequence'
  /** The worker has answered the same order sent again. */
  | 'repeat';

/** Counts orders whose outcome was unknown, over all workers of a daemon. */
export class UncertainOrderTotals {
  private readonly counts = new Map<'uncertain' | OrderSettlement, number>();

  add(state: 'uncertain' | OrderSettlement): void {
    this.counts.set(state, (this.counts.get(state) ?? 0) + 1);
  }

  /** Orders that became uncertain, and those of them that were settled, by how. */
  get totals(): ReadonlyMap<string, number> {
    return this.counts;
  }
}

/** Options of {@link UncertainOrders}. */
export interface UncertainOrdersOptions {
  readonly backEndId: string;
  readonly totals: UncertainOrderTotals;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Uncertain orders of one worker. */
export class UncertainOrders {
  private readonly orders = new Map<string, UncertainOrder>();

  constructor(private readonly options: UncertainOrdersOptions) {}

  get isEmpty(): boolean {
    return this.orders.size === 0;
  }

  get all(): readonly UncertainOrder[] {
    return [...this.orders.values()];
  }

  /** Adds an order, or raises the sequence of one that is uncertain already. */
  add(operation: UncertainOrder['operation'], target: ModelTarget, sequence: number): void {
    const { totals, clock, log, backEndId } = this.options;
    const key = orderKey({ operation, target });
    const known = this.orders.get(key);
    const since = known?.since ?? clock.monotonic();
    const highest = Math.max(sequence, known?.sequence ?? sequence);
    this.orders.set(key, { operation, target, sequence: highest, since });
    if (known !== undefined) return;
    totals.add('uncertain');
    log.warned('order_uncertain', { backEnd: backEndId, operation, target: targetKey(target), sequence });
  }

  /** Settles an order after a final answer to it. */
  settle(operation: UncertainOrder['operation'], target: ModelTarget): void {
    const order = this.orders.get(orderKey({ operation, target }));
    if (order !== undefined) this.remove(order, 'repeat');
  }

  /** Settles the orders that the worker can no longer accept. */
  settleBelow(sequence: number): void {
    for (const order of this.all) {
      if (order.sequence < sequence) this.remove(order, 'sequence');
    }
  }

  private remove(order: UncertainOrder, by: OrderSettlement): void {
    const { totals, clock, log, backEndId } = this.options;
    this.orders.delete(orderKey(order));
    totals.add(by);
    log.changed('order_settled', {
      backEnd: backEndId,
      operation: order.operation,
      target: targetKey(order.target),
      by,
      afterMs: Math.round(clock.monotonic() - order.since),
    });
  }
}

function orderKey({ operation, target }: Pick<UncertainOrder, 'operation' | 'target'>): string {
  return `${operation} ${targetKey(target)}`;
}
