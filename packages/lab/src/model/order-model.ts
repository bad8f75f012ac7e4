/**
 * Specification of orders to one worker (`residency/src/order-sender.ts`, `worker-orders.ts`): orders may be lost,
 * carried out without an answer, or carried out late; the coordinator may be replaced by one that knows nothing.
 * The worker is never ordered to load more than it holds.
 */
import type { Step, TransitionSystem } from './transition-system.js';

/** Guards that can be taken out; each must lead to a counterexample. */
export const ORDER_DEFECTS = [
  'no-sequence',
  'forget-uncertain',
  'adopt-while-ordering',
  'start-from-nothing',
] as const;

export type OrderDefect = (typeof ORDER_DEFECTS)[number];

/** Bounds that the checks use. */
export const ORDER_BOUNDS = { capacity: 2, orders: 4, late: 2, replacements: 1 } as const;

interface OrderState {
  readonly operation: 'load' | 'unload';
  readonly expected: number;
}

/** What a report shows. */
interface ReportState {
  readonly models: number;
  readonly sequence: number;
}

/** A state of the specification. */
export interface OrderModelState {
  readonly worker: ReportState;
  /** Orders whose answer is lost and that may still be carried out. */
  readonly late: readonly OrderState[];
  /** A report taken some time ago and not yet read. */
  readonly report: ReportState | null;
  /** Models that the coordinator counts as there; null while it knows nothing. */
  readonly counted: number | null;
  readonly sequence: number;
  /** Largest sequence under which an order was sent whose fate is unknown. */
  readonly uncertain: number;
  readonly ordersLeft: number;
  readonly replacementsLeft: number;
  readonly overcommitted: boolean;
}

/** Makes the specification, with some guards taken out. */
export function orderModel(defects: ReadonlySet<OrderDefect> = new Set()): TransitionSystem<OrderModelState> {
  return {
    name: 'orders',
    bounds: ORDER_BOUNDS,
    initial: {
      worker: { models: 1, sequence: 0 },
      late: [],
      report: null,
      counted: null,
      sequence: 0,
      uncertain: -1,
      ordersLeft: ORDER_BOUNDS.orders,
      replacementsLeft: ORDER_BOUNDS.replacements,
      overcommitted: false,
    },
    steps: (state) => [
      ...orderSteps(state, 'load', defects),
      ...orderSteps(state, 'unload', defects),
      ...state.late.map((_, index) => lateStep(state, index, defects)),
      ...reportSteps(state, defects),
      ...replacementSteps(state),
    ],
    canonical: (state) =>
      JSON.stringify({ ...state, late: state.late.map((order) => JSON.stringify(order)).sort() }),
    invariants: [{ name: 'never more than the worker holds', holds: (state) => !state.overcommitted }],
  };
}

function orderSteps(
  state: OrderModelState,
  operation: OrderState['operation'],
  defects: ReadonlySet<OrderDefect>,
): Step<OrderModelState>[] {
  const counted = state.counted ?? (defects.has('start-from-nothing') ? 0 : null);
  if (counted === null || state.ordersLeft === 0) return [];
  if (operation === 'load' ? counted >= ORDER_BOUNDS.capacity : counted === 0) return [];
  const order = { operation, expected: state.sequence };
  const sent = { ...state, counted, ordersLeft: state.ordersLeft - 1 };
  const executed = carryOut(sent, order, defects);
  const isExecuted = executed !== sent;
  const answered = isExecuted
    ? { ...executed, sequence: state.sequence + 1, counted: counted + (operation === 'load' ? 1 : -1) }
    : // A conflict: the worker has taken an order that is not known here.
      defects.has('forget-uncertain')
      ? { ...sent, sequence: state.worker.sequence }
      : { ...sent, counted: null };
  // Without an answer a load is counted and an unload is not; a report must tell.
  const unknown = {
    uncertain: state.sequence,
    counted: defects.has('forget-uncertain') ? counted : null,
  };
  const steps = [
    { label: `${operation} is answered`, next: answered },
    { label: `${operation} is carried out unanswered`, next: { ...executed, ...unknown } },
  ];
  if (state.late.length < ORDER_BOUNDS.late) {
    steps.push({
      label: `${operation} is held up`,
      next: { ...sent, ...unknown, late: [...state.late, order] },
    });
  }
  return steps;
}

function lateStep(
  state: OrderModelState,
  index: number,
  defects: ReadonlySet<OrderDefect>,
): Step<OrderModelState> {
  const order = state.late[index] as OrderState;
  const remaining = { ...state, late: state.late.filter((_, other) => other !== index) };
  return { label: `${order.operation} is carried out late`, next: carryOut(remaining, order, defects) };
}

/** Returns the same state when the worker does not take the order. */
function carryOut(
  state: OrderModelState,
  order: OrderState,
  defects: ReadonlySet<OrderDefect>,
): OrderModelState {
  const { worker } = state;
  if (order.expected !== worker.sequence && !defects.has('no-sequence')) return state;
  const models = worker.models + (order.operation === 'load' ? 1 : -1);
  if (models < 0) return state;
  return {
    ...state,
    worker: { models, sequence: worker.sequence + 1 },
    overcommitted: state.overcommitted || models > ORDER_BOUNDS.capacity,
  };
}

/** Reports are asked for and arrive later. */
function reportSteps(state: OrderModelState, defects: ReadonlySet<OrderDefect>): Step<OrderModelState>[] {
  if (state.report === null)
    return [{ label: 'a report is taken', next: { ...state, report: state.worker } }];
  const read = { ...state, report: null };
  // A report that may be older than an order, or that does not show the fate of every order, is not believed.
  const isSettled = state.report.sequence > state.uncertain;
  const isCurrent = state.counted === null && state.report.sequence >= state.sequence;
  if ((isSettled && isCurrent) || defects.has('adopt-while-ordering')) {
    const { models } = state.report;
    const sequence = Math.max(state.sequence, state.report.sequence);
    return [{ label: 'the report is believed', next: { ...read, counted: models, sequence } }];
  }
  return [{ label: 'the report is not believed', next: read }];
}

/** Another coordinator takes over; orders of the one before may still be under way. */
function replacementSteps(state: OrderModelState): Step<OrderModelState>[] {
  if (state.replacementsLeft === 0) return [];
  const next = {
    ...state,
    counted: null,
    report: null,
    uncertain: -1,
    sequence: 0,
    replacementsLeft: state.replacementsLeft - 1,
  };
  return [{ label: 'the coordinator is replaced', next }];
}
