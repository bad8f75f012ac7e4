/** Port for orders to workers and reports from them. */
import type { BackEnd, HeldModel, ModelTarget, NearbyCopies } from '@woodbarrow/backends';

/** An order to load or unload a model, or an adapter of a resident model. */
export interface WorkerOrder {
  readonly operation: 'load' | 'unload';
  readonly target: ModelTarget;
  /** Name of the daemon that gives the order. */
  readonly holder: string;
  readonly fence: number;
  /** The worker rejects the order unless it has accepted exactly this many. */
  readonly expectedSequence: number;
}

/** Outcome of an order. */
export type OrderOutcome =
  /** The worker is executing it. */
  | 'accepted'
  /** The target is already in the requested state. */
  | 'done'
  /** Another order is in progress, or the sequence differs. */
  | 'conflict'
  /** The worker has seen a higher fence. */
  | 'fenced'
  /** Another incarnation answers at the address: this one has exited. */
  | 'gone'
  /** The order is malformed. */
  | 'rejected'
  /** No answer: it may be executed, possibly later. */
  | 'unknown'
  /** No process listens at the worker's address: it was not accepted. */
  | 'unreachable';

/** State of a worker; it may be stale. */
export interface WorkerReport {
  readonly models: readonly HeldModel[];
  /** Adapters that are being loaded. */
  readonly incoming: readonly ModelTarget[];
  /** Whether a model is being loaded or unloaded. */
  readonly busy: boolean;
  /** Number of orders accepted since the start of the worker. */
  readonly sequence: number;
  readonly nearby: NearbyCopies;
}

/** Sends orders to workers and requests reports. */
export interface OrderClient {
  /** Sends an order. Never rejects. */
  send(backEnd: BackEnd, order: WorkerOrder): Promise<OrderOutcome>;
  /**
   * Requests a report. Resolves with undefined when none arrives, and with `ended` when another incarnation
   * answers.
   */
  report(backEnd: BackEnd): Promise<WorkerReport | 'ended' | undefined>;
}
