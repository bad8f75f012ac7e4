/** Simulated network: latency, packet loss, blocked paths, and ordered pipes between processes. */
import type { Random } from './random.js';
import type { SimulatedProcess, SimulatedWorld } from './simulated-clock.js';

/** Returns the one-way latency between two processes in milliseconds. */
export type LatencyFunction = (from: SimulatedProcess, to: SimulatedProcess) => number;

/** Returns whether traffic from one process to another is blocked. */
export type CutPredicate = (from: SimulatedProcess, to: SimulatedProcess) => boolean;

/** Options of {@link SimulatedNetwork}. */
export interface SimulatedNetworkOptions {
  readonly latency: LatencyFunction;
  /** Share of frames that are lost and retransmitted, which delays them. @default 0 */
  readonly lossRate?: number;
  /** Maximum random increase of each latency, as a share of it. @default 0.2 */
  readonly jitter?: number;
}

const DEFAULT_JITTER = 0.2;
const RETRANSMIT_DELAY_MS = 200;
const BLOCKED_PATH_RETRY_MS = 100;
/** Time after which a pipe with undeliverable data is reset. */
const BLOCKED_PIPE_RESET_MS = 15_000;

/** Models latency, loss and blocked paths between processes. */
export class SimulatedNetwork {
  private readonly cuts = new Set<CutPredicate>();

  constructor(
    readonly world: SimulatedWorld,
    readonly random: Random,
    private readonly options: SimulatedNetworkOptions,
  ) {}

  /** Blocks traffic that matches `predicate`; returns a function that unblocks it. */
  cut(predicate: CutPredicate): () => void {
    this.cuts.add(predicate);
    return () => {
      this.cuts.delete(predicate);
    };
  }

  /** Whether the path between two processes is blocked now. */
  isCut(from: SimulatedProcess, to: SimulatedProcess): boolean {
    for (const predicate of this.cuts) {
      if (predicate(from, to)) return true;
    }
    return false;
  }

  /** Returns a random delay in milliseconds for one message. */
  delay(from: SimulatedProcess, to: SimulatedProcess): number {
    const jitter = this.options.jitter ?? DEFAULT_JITTER;
    const base = this.options.latency(from, to) * (1 + jitter * this.random.next());
    const lost = this.random.next() < (this.options.lossRate ?? 0);
    return lost ? base + RETRANSMIT_DELAY_MS : base;
  }
}

/** Callbacks of the receiving end of a pipe. */
export interface PipeReceiver<T> {
  readonly onItem: (item: T) => void;
  /** Called when the pipe ends; `broken` is true after a reset and false after {@link SimulatedPipe.close}. */
  readonly onEnd: (broken: boolean) => void;
}

/** One direction of a connection. Delivers items in order, delays them while the path is blocked, and resets after a timeout. */
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

  /** Sends an item; ignored after the pipe has ended or the sender was killed. */
  send(item: T): void {
    if (this.from.alive) this.enqueue(item);
  }

  /** Ends the pipe after the items already sent have been delivered. */
  close(): void {
    this.enqueue(undefined);
  }

  /** Resets the pipe: undelivered items are lost and the receiver is notified. */
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
