/** The network of a simulation: latencies, cuts, and ordered pipes between processes. */
import type { Random } from './random.js';
import type { SimulatedProcess, SimulatedWorld } from './simulated-clock.js';

/** Milliseconds one way between two processes. */
export type LatencyFunction = (from: SimulatedProcess, to: SimulatedProcess) => number;

/** Whether traffic from one process to another is cut. */
export type CutPredicate = (from: SimulatedProcess, to: SimulatedProcess) => boolean;

/** Options of {@link SimulatedNetwork}. */
export interface SimulatedNetworkOptions {
  readonly latency: LatencyFunction;
  /** Share of frames that are lost and sent again by the transport, which delays them. @default 0 */
  readonly lossRate?: number;
  /** Relative spread of each latency. @default 0.2 */
  readonly jitter?: number;
}

const DEFAULT_JITTER = 0.2;
const RETRANSMIT_DELAY_MS = 200;
const BLOCKED_PATH_RETRY_MS = 100;
/** A connection with undelivered data breaks after this long. */
const BLOCKED_PIPE_RESET_MS = 15_000;

/** Latencies, loss and cuts. */
export class SimulatedNetwork {
  private readonly cuts = new Set<CutPredicate>();

  constructor(
    readonly world: SimulatedWorld,
    readonly random: Random,
    private readonly options: SimulatedNetworkOptions,
  ) {}

  /** Cuts traffic for which `predicate` holds; returns the function that heals it. */
  cut(predicate: CutPredicate): () => void {
    this.cuts.add(predicate);
    return () => {
      this.cuts.delete(predicate);
    };
  }

  /** Whether a message sent now would not arrive. */
  isCut(from: SimulatedProcess, to: SimulatedProcess): boolean {
    for (const predicate of this.cuts) {
      if (predicate(from, to)) return true;
    }
    return false;
  }

  /** Delay of one message, drawn anew each time. */
  delay(from: SimulatedProcess, to: SimulatedProcess): number {
    const jitter = this.options.jitter ?? DEFAULT_JITTER;
    const base = this.options.latency(from, to) * (1 + jitter * this.random.next());
    const lost = this.random.next() < (this.options.lossRate ?? 0);
    return lost ? base + RETRANSMIT_DELAY_MS : base;
  }
}

/** What the receiving end of a pipe is told. */
export interface PipeReceiver<T> {
  readonly onItem: (item: T) => void;
  /** The pipe ended; `broken` when not by the sender's own close. */
  readonly onEnd: (broken: boolean) => void;
}

/** One direction of a connection: items arrive in order, late while the path is cut, until it breaks. */
export class SimulatedPipe<T> {
  private lastArrival = 0;
  private readonly queue: { readonly item: T | undefined; readonly readyAt: number }[] = [];
  private isDeliveryScheduled = false;
  private blockedSince: number | undefined;
  private ended = false;

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly from: SimulatedProcess,
    private readonly to: SimulatedProcess,
    private readonly receiver: PipeReceiver<T>,
  ) {}

  /** Sends an item; nothing happens once the pipe has ended or the sender is dead. */
  send(item: T): void {
    if (this.from.alive) this.enqueue(item);
  }

  /** Ends the pipe after the items already sent. */
  close(): void {
    this.enqueue(undefined);
  }

  /** Breaks the pipe: items under way are lost, the receiver is told. */
  reset(): void {
    if (this.ended) return;
    this.ended = true;
    this.to.deliver(() => {
      this.receiver.onEnd(true);
    });
  }

  private enqueue(item: T | undefined): void {
    if (this.ended) return;
    const arrival = this.network.world.now + this.network.delay(this.from, this.to);
    this.lastArrival = Math.max(this.lastArrival, arrival);
    this.queue.push({ item, readyAt: this.lastArrival });
    if (!this.isDeliveryScheduled) this.scheduleDelivery();
  }

  private scheduleDelivery(): void {
    const head = this.queue[0];
    this.isDeliveryScheduled = head !== undefined && !this.ended;
    if (head === undefined || this.ended) return;
    this.network.world.schedule(head.readyAt - this.network.world.now, () => {
      this.deliverNext();
    });
  }

  private deliverNext(): void {
    if (this.ended) return;
    if (this.network.isCut(this.from, this.to)) {
      this.retryBlockedPath();
      return;
    }
    this.blockedSince = undefined;
    const head = this.queue.shift();
    if (head === undefined) return;
    if (head.item === undefined) {
      this.ended = true;
      this.to.deliver(() => {
        this.receiver.onEnd(false);
      });
      return;
    }
    const item = head.item;
    this.to.deliver(() => {
      this.receiver.onItem(item);
    });
    this.scheduleDelivery();
  }

  private retryBlockedPath(): void {
    const now = this.network.world.now;
    this.blockedSince ??= now;
    if (now - this.blockedSince >= BLOCKED_PIPE_RESET_MS) {
      this.reset();
      return;
    }
    this.network.world.schedule(BLOCKED_PATH_RETRY_MS, () => {
      this.deliverNext();
    });
  }
}
