/** Cache of the replicas that a router may send requests to directly, as last reported by the queue owner. */
import type { ReplicaInfo } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';
import type { CircuitBreakers } from './circuit-breaker.js';

/** Time for which a queue owner's response is cached. */
const ENTRY_TTL_MS = 2000;
/** Share of a replica's concurrency that a router may use without a grant. */
const DIRECT_CONCURRENCY_SHARE = 0.5;

interface DirectoryEntry {
  readonly replicas: readonly ReplicaInfo[];
  readonly scarce: boolean;
  readonly expiresAt: number;
  directArrivals: number;
}

/** Caches the replicas of each model for one router, and counts its requests in flight by worker. */
export class ReplicaDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();
  private readonly inFlight = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly breakers: CircuitBreakers,
  ) {}

  /** Stores the replicas from a queue owner's response. */
  update(model: string, replicas: readonly ReplicaInfo[], scarce: boolean): void {
    this.entries.set(model, {
      replicas,
      scarce,
      expiresAt: this.clock.monotonic() + ENTRY_TTL_MS,
      directArrivals: 0,
    });
  }

  /** Removes a model's replicas after one of them did not accept a request. */
  invalidate(model: string): void {
    this.entries.delete(model);
  }

  /** Returns the number of requests sent directly since the queue owner was last polled, and resets it. */
  takeDirectArrivals(model: string): number {
    const entry = this.entries.get(model);
    const arrivals = entry?.directArrivals ?? 0;
    if (entry !== undefined) entry.directArrivals = 0;
    return arrivals;
  }

  /** Chooses a replica that needs no grant; undefined when the queue owner must grant one. */
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

  /** Counts a request in flight to a worker; returns an idempotent function that ends it. */
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

  /** Requests on a replica: the larger of this router's own in flight and the last reported number. */
  private loadOf(replica: ReplicaInfo): number {
    return Math.max(this.inFlight.get(replica.workerId) ?? 0, replica.running);
  }
}
