/** States of the placement specification and their canonical text for symmetry reduction. */

/** Bounds of the exploration. */
export interface PlacementBounds {
  readonly workers: number;
  readonly terms: number;
  readonly epochs: number;
  readonly ordersUnderWay: number;
  /** Maximum number of orders to one worker under one lease. */
  readonly ordersPerLease: number;
  readonly voterLosses: number;
  readonly workerCrashes: number;
}

/** Bounds of the exhaustive checks: the first covers changes of holder within an epoch, the second changes of epoch. */
export const PLACEMENT_BOUNDS: readonly PlacementBounds[] = [
  { workers: 2, terms: 2, epochs: 1, ordersUnderWay: 1, ordersPerLease: 3, voterLosses: 1, workerCrashes: 1 },
  { workers: 2, terms: 1, epochs: 2, ordersUnderWay: 1, ordersPerLease: 2, voterLosses: 2, workerCrashes: 0 },
];

/** Number of voters in one epoch. */
export const VOTERS = 3;
/** Number of voters that form a quorum. */
export const MAJORITY = 2;
/** Number of daemons that compete for the lease. */
export const COORDINATORS = 2;
/** Weights that order fences by epoch, then term, then order number. */
const TERM_WEIGHT = 10;
const EPOCH_WEIGHT = 100;

/** State of one voter in one epoch. */
export interface SeatState {
  /** False once the voter has restarted and lost its memory; it never votes in this epoch again. */
  readonly seated: boolean;
  readonly sealed: boolean;
  readonly term: number;
  /** Coordinator whose lease this voter counts as valid, or -1. */
  readonly holder: number;
  /** Term of the newest record, or 0 without a record. */
  readonly recordTerm: number;
  /** Workers that may hold the model according to that record. */
  readonly record: readonly boolean[];
  /** Whether the records include everything recorded in earlier epochs. */
  readonly complete: boolean;
}

export interface CoordinatorState {
  /** Whether its lease is valid by its own clock. */
  readonly valid: boolean;
  readonly epoch: number;
  readonly term: number;
  /** Workers that may hold the model, as cached by this coordinator. */
  readonly mayHold: readonly boolean[];
  /** Workers whose fence was raised under this lease. */
  readonly reached: readonly boolean[];
  /** Whether the records cover every model that an unreached worker may hold. */
  readonly complete: boolean;
  /** Worker whose order is recorded but not yet sent, or -1. */
  readonly recorded: number;
  /** Number of the last order sent to each worker. */
  readonly orders: readonly number[];
  /** Workers with an order that has not been answered. */
  readonly unknown: readonly boolean[];
}

export interface WorkerState {
  readonly fence: number;
  readonly loaded: boolean;
}

/** A load order in flight. */
export interface OrderState {
  readonly worker: number;
  readonly fence: number;
}

/** A state of the specification. */
export interface PlacementState {
  /** Current epoch according to the platform. */
  readonly epoch: number;
  /** Voter states by epoch, then voter. */
  readonly seats: readonly (readonly SeatState[])[];
  readonly coordinators: readonly CoordinatorState[];
  readonly workers: readonly WorkerState[];
  readonly orders: readonly OrderState[];
  readonly voterLosses: number;
  readonly workerCrashes: number;
}

/** Every minimal quorum, as indexes of voters. */
export const QUORUMS: readonly (readonly number[])[] = [
  [0, 1],
  [0, 2],
  [1, 2],
];

/** Returns the fencing token of an order; a worker rejects orders with a token below its own. */
export function fenceOf(holder: CoordinatorState, order: number): number {
  return holder.epoch * EPOCH_WEIGHT + holder.term * TERM_WEIGHT + order;
}

/** Returns the voter state with the newest record. */
export function newestOf(seats: readonly SeatState[]): SeatState {
  return seats.reduce((newest, seat) => (seat.recordTerm > newest.recordTerm ? seat : newest));
}

/** Returns a copy of `list` with one item replaced. */
export function replace<T>(list: readonly T[], index: number, value: T): readonly T[] {
  return list.map((item, position) => (position === index ? value : item));
}

/** Returns one text for all states that differ only in the numbering of voters or coordinators. */
export function canonicalText(state: PlacementState): string {
  const swapped: PlacementState = {
    ...state,
    coordinators: [...state.coordinators].reverse(),
    seats: state.seats.map((seats) =>
      seats.map((seat) => (seat.holder < 0 ? seat : { ...seat, holder: COORDINATORS - 1 - seat.holder })),
    ),
  };
  const own = textOf(state);
  const other = textOf(swapped);
  return own < other ? own : other;
}

function textOf(state: PlacementState): string {
  const seats = state.seats.map((epoch) => epoch.map((seat) => JSON.stringify(Object.values(seat))).sort());
  const orders = state.orders.map((order) => order.worker * 1_000_000 + order.fence).sort();
  const coordinators = state.coordinators.map((coordinator): unknown[] => Object.values(coordinator));
  const workers = state.workers.map((worker): unknown[] => Object.values(worker));
  return JSON.stringify([
    state.epoch,
    seats,
    coordinators,
    workers,
    orders,
    state.voterLosses,
    state.workerCrashes,
  ]);
}
