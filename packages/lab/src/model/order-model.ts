/**
 * Specification of orders to one worker: orders may be lost, executed without a response or executed late, and the
 * coordinator may be replaced by one without state. Orders never load more models than the worker has capacity for.
 */
import type { Step, TransitionSystem } from './transition-system.js';

/** Guards that can be removed; the exploration must find a counterexample without any of them. */
export const ORDER_DEFECTS = [
  'no-sequence',
  'forget-uncertain',
  'adopt-while-ordering',
  'start-from-nothing',
] as const;

export type OrderDefect = (typeof ORDER_DEFECTS)[number];

/** Bounds of the exhaustive checks. */
export const ORDER_BOUNDS = { capacity: 2, orders: 4, late: 2, replacements: 1 } as const;

interface OrderState {
  readonly operation: 'load' | 'unload';
  readonly expected: number;
}

/** Content of a worker report. */
interface ReportState {
  readonly models: number;
  readonly sequence: number;
}

/** A state of the specification. */
export interface OrderModelState {
  readonly worker: ReportState;
  /** Unanswered orders that may still be executed. */
  readonly late: readonly OrderState[];
  /** A report in flight, which may be stale. */
  readonly report: ReportState | null;
  /** Loaded models as cached by the coordinator; null until it accepts a report. */
  readonly counted: number | null;
  readonly sequence: number;
  /** Highest sequence number of an order whose result is unknown, or -1. */
  readonly uncertain: number;
  readonly ordersLeft: number;
  readonly replacementsLeft: number;
  readonly overcommitted: boolean;
}

/** Creates the specification without the guards listed in `defects`. */
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
    : // Conflict: the worker has executed an order that this coordinator has not observed.
      defects.has('forget-uncertain')
      ? { ...sent, sequence: state.worker.sequence }
      : { ...sent, counted: null };
  // Without a response the result is unknown until a report shows it.
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

/** Executes an order; returns the same state object if the worker rejects it. */
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

/** Requests a report, or processes the one in flight. */
function reportSteps(state: OrderModelState, defects: ReadonlySet<OrderDefect>): Step<OrderModelState>[] {
  if (state.report === null)
    return [{ label: 'a report is taken', next: { ...state, report: state.worker } }];
  const read = { ...state, report: null };
  // A report that may predate an order, or that does not cover every uncertain order, is discarded.
  const isSettled = state.report.sequence > state.uncertain;
  const isCurrent = state.counted === null && state.report.sequence >= state.sequence;
  if ((isSettled && isCurrent) || defects.has('adopt-while-ordering')) {
    const { models } = state.report;
    const sequence = Math.max(state.sequence, state.report.sequence);
    return [{ label: 'the report is believed', next: { ...read, counted: models, sequence } }];
  }
  return [{ label: 'the report is not believed', next: read }];
}

/** Replaces the coordinator; orders of its predecessor may still be in flight. */
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
