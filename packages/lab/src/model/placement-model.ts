/**
 * Specification of placement by a coordinator that holds a quorum lease: epochs, replicated records, fenced orders,
 * failover and voters that lose their memory, for one model with a limit of one replica.
 *
 * Time is abstract. A lease expires at its holder before it expires at any voter, because clock drift is bounded.
 * Orders may be delayed or lost, and a holder may stop between any two steps. An order in flight to a worker is lost
 * when that worker crashes, because its connection closes with the process.
 */
import {
  COORDINATORS,
  MAJORITY,
  QUORUMS,
  VOTERS,
  canonicalText,
  fenceOf,
  newestOf,
  replace,
  type CoordinatorState,
  type PlacementBounds,
  type PlacementState,
  type SeatState,
  type WorkerState,
} from './placement-model-state.js';
import type { Step, TransitionSystem } from './transition-system.js';

/** Guards that can be removed; the exploration must find a counterexample without any of them. */
export const PLACEMENT_DEFECTS = [
  'no-wait-for-old-lease',
  'no-inventory',
  'freed-on-timeout',
  'fence-ignored',
  'order-before-record',
  'amnesiac-voter',
  'no-seal',
  'no-raise-after-unknown',
] as const;

export type PlacementDefect = (typeof PLACEMENT_DEFECTS)[number];

/** Creates the specification without the guards listed in `defects`. */
export function placementModel(
  defects: ReadonlySet<PlacementDefect>,
  bounds: PlacementBounds,
): TransitionSystem<PlacementState> {
  const spec = new PlacementSpec(defects, bounds);
  return {
    name: 'placement',
    bounds: { ...bounds, voters: VOTERS, coordinators: COORDINATORS },
    initial: spec.initial(),
    steps: (state) => spec.steps(state),
    canonical: (state) => canonicalText(state),
    invariants: [
      {
        name: 'at most one replica is loaded',
        holds: (state) => state.workers.filter((worker) => worker.loaded).length <= 1,
      },
      {
        name: 'at most one coordinator holds a valid lease in an epoch',
        holds: (state) => {
          const epochs = state.coordinators
            .filter((coordinator) => coordinator.valid)
            .map(({ epoch }) => epoch);
          return new Set(epochs).size === epochs.length;
        },
      },
    ],
  };
}

class PlacementSpec {
  constructor(
    private readonly defects: ReadonlySet<PlacementDefect>,
    private readonly bounds: PlacementBounds,
  ) {}

  initial(): PlacementState {
    const none = new Array<boolean>(this.bounds.workers).fill(false);
    const seat: SeatState = {
      seated: true,
      sealed: false,
      term: 0,
      holder: -1,
      recordTerm: 0,
      record: none,
      complete: true,
    };
    return {
      epoch: 0,
      seats: [new Array<SeatState>(VOTERS).fill(seat)],
      coordinators: new Array<CoordinatorState>(COORDINATORS).fill(this.idleCoordinator()),
      workers: new Array<WorkerState>(this.bounds.workers).fill({ fence: 0, loaded: false }),
      orders: [],
      voterLosses: 0,
      workerCrashes: 0,
    };
  }

  steps(state: PlacementState): Step<PlacementState>[] {
    const steps: Step<PlacementState>[] = [];
    for (let coordinator = 0; coordinator < COORDINATORS; coordinator += 1) {
      this.acquisitions(state, coordinator, steps);
      this.actionsOfHolder(state, coordinator, steps);
    }
    this.deliveries(state, steps);
    this.voterEvents(state, steps);
    this.workerCrashes(state, steps);
    return steps;
  }

  private idleCoordinator(): CoordinatorState {
    const none = new Array<boolean>(this.bounds.workers).fill(false);
    return {
      valid: false,
      epoch: -1,
      term: 0,
      mayHold: none,
      reached: none,
      complete: false,
      recorded: -1,
      orders: new Array<number>(this.bounds.workers).fill(0),
      unknown: none,
    };
  }

  /** Grants a lease from each available quorum of the current epoch. */
  private acquisitions(state: PlacementState, index: number, steps: Step<PlacementState>[]): void {
    if (state.coordinators[index]?.valid === true) return;
    const seats = state.seats[state.epoch] as readonly SeatState[];
    for (const quorum of QUORUMS) {
      const members = quorum.map((voter) => seats[voter] as SeatState);
      const ready = members.every((seat) => seat.seated && !seat.sealed && this.canGrant(seat));
      const term = Math.max(...members.map((seat) => seat.term)) + 1;
      if (!ready || term > this.bounds.terms) continue;
      steps.push({
        label: `coordinator ${String(index)} acquires epoch ${String(state.epoch)} term ${String(term)} from voters ${quorum.join(',')}`,
        next: this.acquire(state, index, quorum, term),
      });
    }
  }

  private canGrant(seat: SeatState): boolean {
    return seat.holder < 0 || this.defects.has('no-wait-for-old-lease');
  }

  private acquire(
    state: PlacementState,
    index: number,
    quorum: readonly number[],
    term: number,
  ): PlacementState {
    const seats = state.seats[state.epoch] as readonly SeatState[];
    const newest = newestOf(quorum.map((voter) => seats[voter] as SeatState));
    const granted = seats.map((seat, voter) =>
      quorum.includes(voter) ? { ...seat, term, holder: index } : seat,
    );
    const blank = this.idleCoordinator();
    const skipsInventory = this.defects.has('no-inventory');
    const holder: CoordinatorState = {
      ...blank,
      valid: true,
      epoch: state.epoch,
      term,
      complete: skipsInventory || newest.complete,
      mayHold: skipsInventory ? blank.mayHold : newest.record,
    };
    let next: PlacementState = {
      ...state,
      seats: replace(state.seats, state.epoch, granted),
      coordinators: replace(state.coordinators, index, holder),
    };
    if (!holder.complete && state.epoch > 0) next = this.carryOver(next, index);
    return next;
  }

  /** Seals a majority of the previous epoch and copies its records; without a majority the records stay incomplete. */
  private carryOver(state: PlacementState, index: number): PlacementState {
    const previous = state.seats[state.epoch - 1] as readonly SeatState[];
    const reachable = previous.filter((seat) => seat.seated);
    if (reachable.length < MAJORITY) {
      return this.defects.has('no-seal') ? this.withHolder(state, index, { complete: true }) : state;
    }
    const newest = newestOf(reachable);
    const sealed = this.defects.has('no-seal')
      ? previous
      : previous.map((seat) => (seat.seated ? { ...seat, sealed: true } : seat));
    const holder = state.coordinators[index] as CoordinatorState;
    const written = (state.seats[state.epoch] as readonly SeatState[]).map((seat) =>
      seat.term === holder.term && seat.holder === index
        ? { ...seat, recordTerm: holder.term, record: newest.record, complete: newest.complete }
        : seat,
    );
    const seats = replace(replace(state.seats, state.epoch, written), state.epoch - 1, sealed);
    return this.withHolder({ ...state, seats }, index, { complete: newest.complete, mayHold: newest.record });
  }

  private actionsOfHolder(state: PlacementState, index: number, steps: Step<PlacementState>[]): void {
    const holder = state.coordinators[index] as CoordinatorState;
    if (!holder.valid) return;
    steps.push({
      label: `lease of coordinator ${String(index)} ends on its own side`,
      next: this.withHolder(state, index, { valid: false, recorded: -1 }),
    });
    for (let worker = 0; worker < this.bounds.workers; worker += 1) {
      this.raiseFence(state, index, worker, steps);
      this.recordIntent(state, index, worker, steps);
      this.sendOrder(state, index, worker, steps);
      this.unload(state, index, worker, steps);
      if (this.defects.has('freed-on-timeout') && holder.unknown[worker] === true) {
        steps.push({
          label: `coordinator ${String(index)} frees worker ${String(worker)} after a time-out`,
          next: this.withHolder(state, index, {
            mayHold: replace(holder.mayHold, worker, false),
            unknown: replace(holder.unknown, worker, false),
          }),
        });
      }
    }
  }

  /** Raises the worker's fence above all earlier orders and reads which models it holds. */
  private raiseFence(
    state: PlacementState,
    index: number,
    worker: number,
    steps: Step<PlacementState>[],
  ): void {
    const holder = state.coordinators[index] as CoordinatorState;
    const target = state.workers[worker] as WorkerState;
    if (holder.reached[worker] === true && holder.unknown[worker] !== true) return;
    const raises = !this.defects.has('no-raise-after-unknown') || holder.reached[worker] !== true;
    const order = (holder.orders[worker] ?? 0) + (raises ? 1 : 0);
    const fence = fenceOf(holder, order);
    if (target.fence > fence || order > this.bounds.ordersPerLease) return;
    const updated = this.withHolder(state, index, {
      reached: replace(holder.reached, worker, true),
      mayHold: replace(holder.mayHold, worker, target.loaded),
      unknown: replace(holder.unknown, worker, false),
      orders: replace(holder.orders, worker, order),
    });
    const workers = replace(state.workers, worker, raises ? { ...target, fence } : target);
    steps.push({
      label: `coordinator ${String(index)} fences worker ${String(worker)}`,
      next: { ...updated, workers },
    });
  }

  /** Records at a majority of voters that the worker may hold the model, before the load order is sent. */
  private recordIntent(
    state: PlacementState,
    index: number,
    worker: number,
    steps: Step<PlacementState>[],
  ): void {
    const holder = state.coordinators[index] as CoordinatorState;
    const allReached = holder.reached.every(Boolean);
    const canDecide = holder.complete || allReached;
    const mayBeLoaded = holder.mayHold.some(Boolean) || holder.unknown.some(Boolean);
    if (!canDecide || mayBeLoaded || holder.recorded >= 0 || holder.reached[worker] !== true) return;
    const mayHold = replace(holder.mayHold, worker, true);
    const decided = this.withHolder(state, index, { mayHold, recorded: worker });
    const label = `coordinator ${String(index)} records worker ${String(worker)}`;
    if (this.defects.has('order-before-record')) {
      steps.push({ label: `${label} only in its own memory`, next: decided });
      return;
    }
    for (const seats of this.writes(state, holder, index, mayHold))
      steps.push({ label, next: { ...decided, seats } });
  }

  /** Returns the outcome of writing the record to each quorum whose voters still accept this lease's term. */
  private writes(
    state: PlacementState,
    holder: CoordinatorState,
    index: number,
    record: readonly boolean[],
  ): (readonly (readonly SeatState[])[])[] {
    const seats = state.seats[holder.epoch] as readonly SeatState[];
    return QUORUMS.flatMap((quorum) => {
      const accepts = quorum.every((voter) => {
        const seat = seats[voter] as SeatState;
        return seat.seated && !seat.sealed && seat.term === holder.term && seat.holder === index;
      });
      if (!accepts) return [];
      const written = seats.map((seat, voter) =>
        quorum.includes(voter) ? { ...seat, recordTerm: holder.term, record, complete: true } : seat,
      );
      return [replace(state.seats, holder.epoch, written)];
    });
  }

  private sendOrder(
    state: PlacementState,
    index: number,
    worker: number,
    steps: Step<PlacementState>[],
  ): void {
    const holder = state.coordinators[index] as CoordinatorState;
    if (holder.recorded !== worker || state.orders.length >= this.bounds.ordersUnderWay) return;
    const order = (holder.orders[worker] ?? 0) + 1;
    if (order > this.bounds.ordersPerLease) return;
    const next = this.withHolder(state, index, {
      recorded: -1,
      orders: replace(holder.orders, worker, order),
      unknown: replace(holder.unknown, worker, true),
    });
    steps.push({
      label: `coordinator ${String(index)} orders worker ${String(worker)} to load`,
      next: { ...next, orders: [...state.orders, { worker, fence: fenceOf(holder, order) }] },
    });
  }

  /** Unloads the model from the worker, with a confirmed response. */
  private unload(state: PlacementState, index: number, worker: number, steps: Step<PlacementState>[]): void {
    const holder = state.coordinators[index] as CoordinatorState;
    const target = state.workers[worker] as WorkerState;
    if (holder.reached[worker] !== true || holder.unknown[worker] === true || !target.loaded) return;
    const order = (holder.orders[worker] ?? 0) + 1;
    const fence = fenceOf(holder, order);
    if (target.fence > fence || order > this.bounds.ordersPerLease) return;
    const next = this.withHolder(state, index, {
      mayHold: replace(holder.mayHold, worker, false),
      orders: replace(holder.orders, worker, order),
    });
    steps.push({
      label: `coordinator ${String(index)} unloads worker ${String(worker)}`,
      next: { ...next, workers: replace(state.workers, worker, { fence, loaded: false }) },
    });
  }

  private deliveries(state: PlacementState, steps: Step<PlacementState>[]): void {
    for (const [position, order] of state.orders.entries()) {
      const orders = state.orders.filter((_, other) => other !== position);
      steps.push({ label: `order to worker ${String(order.worker)} is lost`, next: { ...state, orders } });
      const target = state.workers[order.worker] as WorkerState;
      if (order.fence < target.fence && !this.defects.has('fence-ignored')) continue;
      const fence = Math.max(order.fence, target.fence);
      steps.push({
        label: `worker ${String(order.worker)} loads by an order with fence ${String(order.fence)}`,
        next: { ...state, orders, workers: replace(state.workers, order.worker, { fence, loaded: true }) },
      });
    }
  }

  private voterEvents(state: PlacementState, steps: Step<PlacementState>[]): void {
    for (const [epoch, seats] of state.seats.entries()) {
      this.expireLeases(state, epoch, steps);
      for (const voter of seats.keys()) this.loseVoter(state, epoch, voter, steps);
    }
    this.nextEpoch(state, steps);
  }

  /** Expires, at the voters of an epoch, the leases that have already ended at their holders. */
  private expireLeases(state: PlacementState, epoch: number, steps: Step<PlacementState>[]): void {
    const seats = state.seats[epoch] as readonly SeatState[];
    const hasEnded = (seat: SeatState): boolean => {
      const holder = state.coordinators[seat.holder];
      const stillHeld = holder?.valid === true && holder.epoch === epoch && holder.term === seat.term;
      return seat.holder >= 0 && !stillHeld;
    };
    if (!seats.some(hasEnded)) return;
    const expired = seats.map((seat) => (hasEnded(seat) ? { ...seat, holder: -1 } : seat));
    steps.push({
      label: `ended leases lapse at the voters of epoch ${String(epoch)}`,
      next: { ...state, seats: replace(state.seats, epoch, expired) },
    });
  }

  /** Restarts a voter, which loses its memory and may no longer vote in the epoch. */
  private loseVoter(
    state: PlacementState,
    epoch: number,
    voter: number,
    steps: Step<PlacementState>[],
  ): void {
    const seats = state.seats[epoch] as readonly SeatState[];
    const seat = seats[voter] as SeatState;
    if (!seat.seated || state.voterLosses >= this.bounds.voterLosses) return;
    const blank = this.initial().seats[0]?.[0] as SeatState;
    const lost = this.defects.has('amnesiac-voter') ? blank : { ...seat, seated: false };
    steps.push({
      label: `voter ${String(voter)} of epoch ${String(epoch)} restarts`,
      next: {
        ...state,
        voterLosses: state.voterLosses + 1,
        seats: replace(state.seats, epoch, replace(seats, voter, lost)),
      },
    });
  }

  /** Starts an epoch with new voters, whose records are incomplete until copied from the previous epoch. */
  private nextEpoch(state: PlacementState, steps: Step<PlacementState>[]): void {
    const seats = state.seats[state.epoch] as readonly SeatState[];
    const needed = seats.some((seat) => !seat.seated);
    if (!needed || state.epoch + 1 >= this.bounds.epochs) return;
    const blank = this.initial().seats[0]?.[0] as SeatState;
    const fresh = new Array<SeatState>(VOTERS).fill({ ...blank, complete: false });
    steps.push({
      label: `the platform names the voters of epoch ${String(state.epoch + 1)}`,
      next: { ...state, epoch: state.epoch + 1, seats: [...state.seats, fresh] },
    });
  }

  private workerCrashes(state: PlacementState, steps: Step<PlacementState>[]): void {
    if (state.workerCrashes >= this.bounds.workerCrashes) return;
    for (const [worker, target] of state.workers.entries()) {
      if (!target.loaded && target.fence === 0) continue;
      steps.push({
        label: `worker ${String(worker)} crashes and starts empty`,
        next: {
          ...state,
          workerCrashes: state.workerCrashes + 1,
          workers: replace(state.workers, worker, { fence: 0, loaded: false }),
          orders: state.orders.filter((order) => order.worker !== worker),
        },
      });
    }
  }

  private withHolder(
    state: PlacementState,
    index: number,
    change: Partial<CoordinatorState>,
  ): PlacementState {
    const holder = state.coordinators[index] as CoordinatorState;
    return { ...state, coordinators: replace(state.coordinators, index, { ...holder, ...change }) };
  }
}
