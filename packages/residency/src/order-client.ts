/** Port: orders to workers and their reports. */
import type { BackEnd, HeldModel, ModelTarget, NearbyCopies } from '@woodbarrow/backends';

/** Load or unload a model, or an adapter of a model that is there. */
export interface WorkerOrder {
  readonly operation: 'load' | 'unload';
  readonly target: ModelTarget;
  /** Name of the machine that gives the order. */
  readonly holder: string;
  readonly fence: number;
  /** The order is void unless the worker has taken just this many. */
  readonly expectedSequence: number;
}

/** What came of an order. */
export type OrderOutcome =
  /** Being carried out. */
  | 'accepted'
  /** Nothing is left to do. */
  | 'done'
  /** Another order is under way, or the sequence differs. */
  | 'conflict'
  /** A higher fence has been seen. */
  | 'fenced'
  /** Another incarnation answers at the address: this one has ended. */
  | 'gone'
  /** Malformed. */
  | 'rejected'
  /** No answer: it may be carried out, perhaps later. */
  | 'unknown'
  /** Nobody listens at the worker's address: it was not taken. */
  | 'unreachable';

/** State of a worker, as it was some time before. */
export interface WorkerReport {
  readonly models: readonly HeldModel[];
  /** Adapters on their way. */
  readonly incoming: readonly ModelTarget[];
  /** A model is being loaded or unloaded. */
  readonly busy: boolean;
  /** Orders taken since its start. */
  readonly sequence: number;
  readonly nearby: NearbyCopies;
}

/** Talks to workers. */
export interface OrderClient {
  /** Never rejects. */
  send(backEnd: BackEnd, order: WorkerOrder): Promise<OrderOutcome>;
  /** Undefined when no report came; `ended` when another incarnation answers. */
  report(backEnd: BackEnd): Promise<WorkerReport | 'ended' | undefined>;
}
