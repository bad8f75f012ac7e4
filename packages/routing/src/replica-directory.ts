/** Replicas that a router may send to directly, as last told by the queue owner. */
import type { ReplicaInfo } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';
import type { CircuitBreakers } from './circuit-breaker.js';

/** What a router was told stays good for this long. */
const ENTRY_TTL_MS = 2000;
/** Share of a replica's concurrency that routers may use without asking. */
const DIRECT_CONCURRENCY_SHARE = 0.5;

interface DirectoryEntry {
  readonly replicas: readonly ReplicaInfo[];
  readonly scarce: boolean;
  readonly expiresAt: number;
  directArrivals: number;
}

/** One router's knowledge of replicas. */
export class ReplicaDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();
  private readonly inFlight = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly breakers: CircuitBreakers,
  ) {}

  /** Takes in a queue owner's word. */
  update(model: string, replicas: readonly ReplicaInfo[], scarce: boolean): void {
    this.entries.set(model, {
      replicas,
      scarce,
      expiresAt: this.clock.monotonic() + ENTRY_TTL_MS,
      directArrivals: 0,
    });
  }

  /** Forgets a model's replicas, after one of them turned out not to take work. */
  invalidate(model: string): void {
    this.entries.delete(model);
  }

  /** Requests sent directly since the owner was last asked; resets the count. */
  takeDirectArrivals(model: string): number {
    const entry = this.entries.get(model);
    const arrivals = entry?.directArrivals ?? 0;
    if (entry !== undefined) entry.directArrivals = 0;
    return arrivals;
  }

  /** A replica to send to without asking, or undefined when the owner must be asked. */
  chooseDirect(model: string, adapter: string): ReplicaInfo | undefined {
    const entry = this.entries.get(model);
    if (entry === undefined || entry.scarce || entry.expiresAt < this.clock.monotonic()) return undefined;
    const eligible = entry.replicas.filter(
      (replica) =>
        replica.accepting &&
        (adapter === '' || replica.adapters.includes(adapter)) &&
        this.breakers.canTry(replica.workerId) &&
        this.loadOf(replica) < replica.concurrency * DIRECT_CONCURRENCY_SHARE,
    );
    const first = this.random.pick(eligible);
    const second = this.random.pick(eligible);
    if (first === undefined || second === undefined) return undefined;
    entry.directArrivals += 1;
    return this.loadOf(first) <= this.loadOf(second) ? first : second;
  }

  /** Counts a request sent to a worker; returns the function that ends it. */
  beginRequest(workerId: string): () => void {
    this.inFlight.set(workerId, (this.inFlight.get(workerId) ?? 0) + 1);
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      const remaining = (this.inFlight.get(workerId) ?? 1) - 1;
      if (remaining === 0) this.inFlight.delete(workerId);
      else this.inFlight.set(workerId, remaining);
    };
  }

  /** Own requests under way, and what others were last reported to run. */
  private loadOf(replica: ReplicaInfo): number {
    return Math.max(this.inFlight.get(replica.workerId) ?? 0, replica.running);
  }
}
