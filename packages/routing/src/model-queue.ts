/** The waiting requests of one model at its queue owner, and its active grants. */
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EnqueueRequest, ModelDemand, ReplicaInfo } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';

/** A request in the queue. */
interface Waiter {
  readonly request: EnqueueRequest;
  readonly arrivedAt: number;
  /** Monotonic time at which the maximum wait ends. */
  readonly deadline: number;
  /** Monotonic time at which the router last polled for the request. */
  lastPolledAt: number;
  /** Resolves the router's pending poll; undefined between two polls. */
  resolvePoll: ((grant: QueueGrant | undefined) => void) | undefined;
  readonly avoid: Set<string>;
}

/** Permission to send one request to one replica. */
export interface QueueGrant {
  readonly replica: ReplicaInfo;
}

interface ActiveGrant {
  readonly requestId: string;
  readonly workerId: string;
  readonly routerId: string;
  readonly grantedAt: number;
  readonly grant: QueueGrant;
}

/** Waiting time that raises a request by one priority step, so that no class starves. */
const PRIORITY_AGEING_STEP_MS = 2000;
/** Time without a poll after which a waiter counts as abandoned by its router. */
const ABANDONED_WAITER_TIMEOUT_MS = 2500;
/** Time without grants for a replica that refused a request. */
const REFUSAL_COOLDOWN_MS = 100;
/** Time without grants for a replica that failed. */
const FAILURE_COOLDOWN_MS = 2000;
/** Age at which a grant expires if its end was never reported. */
const GRANT_EXPIRY_MS = 600_000;
/** Number of waiting requests, as a multiple of the replicas' concurrency, above which a queue is saturated. */
const SATURATION_FACTOR = 2;
const MAX_AFFINITIES = 256;

/** Orders the waiting requests of one model by aged priority, then deadline, and grants them replicas. */
export class ModelQueue {
  private readonly waiters = new Map<string, Waiter>();
  private readonly grants = new Map<string, ActiveGrant>();
  private readonly cooldownUntil = new Map<string, number>();
  /** Worker that last served each prompt prefix, by the hash of the prefix. */
  private readonly affinities = new Map<number, string>();
  private replicas: readonly ReplicaInfo[] = [];
  private arrivals = 0;
  /** Workers that refused or failed since the last report. */
  private readonly suspects = new Set<string>();
  /** Monotonic time of the last request. */
  lastUsedAt: number;

  constructor(
    readonly model: string,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.lastUsedAt = clock.monotonic();
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** Number of active grants. */
  get activeGrants(): number {
    return this.grants.size;
  }

  /** Replicas as last published by the coordinator. */
  get currentReplicas(): readonly ReplicaInfo[] {
    return this.replicas;
  }

  /** Whether routers must obtain a grant before each dispatch: requests wait or no slot is free. */
  get isScarce(): boolean {
    const slots = this.replicas.reduce((total, replica) => total + this.freeSlots(replica), 0);
    return this.waiters.size > 0 || slots <= 0;
  }

  /** Whether the number of waiting requests far exceeds the concurrency of the loaded replicas. */
  get isSaturated(): boolean {
    const capacity = this.replicas.reduce((total, replica) => total + replica.concurrency, 0);
    return capacity > 0 && this.waiters.size > capacity * SATURATION_FACTOR;
  }

  /** Whether the queue has neither waiting requests nor active grants. */
  get isIdle(): boolean {
    return this.waiters.size === 0 && this.grants.size === 0;
  }

  /**
   * Adds a request, or continues to wait for one already queued. Resolves with a grant, or with undefined after
   * the request's `holdMs`.
   *
   * @throws WoodbarrowError `queue_full`
   */
  enqueue(request: EnqueueRequest): Promise<QueueGrant | undefined> {
    const now = this.clock.monotonic();
    this.lastUsedAt = now;
    this.arrivals += request.directArrivals;
    const existing = this.grants.get(request.requestId);
    if (existing !== undefined) return Promise.resolve(existing.grant);
    const waiter = this.waiters.get(request.requestId) ?? this.addWaiter(request, now);
    waiter.lastPolledAt = now;
    waiter.resolvePoll?.(undefined);
    return new Promise((resolve) => {
      const cancelHold = this.clock.schedule(request.holdMs, () => {
        settle(undefined);
      });
      const settle = (grant: QueueGrant | undefined): void => {
        if (waiter.resolvePoll !== settle) return;
        waiter.resolvePoll = undefined;
        waiter.lastPolledAt = this.clock.monotonic();
        cancelHold();
        resolve(grant);
      };
      waiter.resolvePoll = settle;
      this.dispatch();
    });
  }

  /** Removes a request that its router withdrew, with a grant that may not have reached the router. */
  withdraw(requestId: string): void {
    const waiter = this.waiters.get(requestId);
    this.waiters.delete(requestId);
    waiter?.resolvePoll?.(undefined);
    if (this.grants.delete(requestId)) this.dispatch();
  }

  /** Ends a grant; a result other than `completed` excludes the worker for a cooldown and marks it as suspect. */
  endGrant(requestId: string, workerId: string, result: 'completed' | 'refused' | 'failed'): void {
    const grant = this.grants.get(requestId);
    if (grant?.workerId === workerId) this.grants.delete(requestId);
    const now = this.clock.monotonic();
    if (result !== 'completed') this.suspects.add(workerId);
    if (result === 'refused') this.cooldownUntil.set(workerId, now + REFUSAL_COOLDOWN_MS);
    if (result === 'failed') this.cooldownUntil.set(workerId, now + FAILURE_COOLDOWN_MS);
    this.dispatch();
  }

  /** Replaces the replicas with those published by the coordinator. */
  setReplicas(replicas: readonly ReplicaInfo[]): void {
    this.replicas = replicas;
    this.dispatch();
  }

  /** Removes the waiters and grants of a router that has left the membership. */
  removeRouter(routerId: string): void {
    for (const [id, waiter] of this.waiters) {
      if (waiter.request.routerId === routerId) this.withdraw(id);
    }
    for (const [id, grant] of this.grants) {
      if (grant.routerId === routerId) this.grants.delete(id);
    }
    this.dispatch();
  }

  /** Removes abandoned and expired waiters, and grants whose end was never reported. */
  sweep(): void {
    const now = this.clock.monotonic();
    for (const [id, waiter] of this.waiters) {
      const isAbandoned =
        waiter.resolvePoll === undefined && now - waiter.lastPolledAt > ABANDONED_WAITER_TIMEOUT_MS;
      if (isAbandoned || now > waiter.deadline) this.withdraw(id);
    }
    for (const [id, grant] of this.grants) {
      if (now - grant.grantedAt > GRANT_EXPIRY_MS) this.grants.delete(id);
    }
    this.dispatch();
  }

  /** Returns the demand to report to the coordinator, and resets the arrivals and the suspects. */
  takeDemand(): ModelDemand {
    const now = this.clock.monotonic();
    const byAdapter = new Map<string, number>();
    let topPriority = Infinity;
    let firstDeadline = Infinity;
    let deferrable = this.waiters.size > 0;
    for (const { request, deadline } of this.waiters.values()) {
      byAdapter.set(request.adapter, (byAdapter.get(request.adapter) ?? 0) + 1);
      topPriority = Math.min(topPriority, request.priority);
      firstDeadline = Math.min(firstDeadline, deadline);
      deferrable &&= request.deferrable;
    }
    const arrivals = this.arrivals;
    this.arrivals = 0;
    const suspects = [...this.suspects];
    this.suspects.clear();
    return {
      model: this.model,
      waiting: [...byAdapter].map(([adapter, count]) => ({ adapter, count })),
      topPriority: this.waiters.size === 0 ? 0 : topPriority,
      firstDeadlineMs: this.waiters.size === 0 ? 0 : Math.max(0, firstDeadline - now),
      deferrable,
      running: this.grants.size,
      arrivals,
      suspects,
    };
  }

  /** Adds a new waiter. The limit applies to new requests only: those already queued keep their place. */
  private addWaiter(request: EnqueueRequest, now: number): Waiter {
    if (this.waiters.size >= request.queueLimit) {
      throw new WoodbarrowError('queue_full', `${String(this.waiters.size)} requests wait for ${this.model}`);
    }
    this.arrivals += 1;
    const waiter: Waiter = {
      request,
      arrivedAt: now,
      deadline: now + request.remainingMs,
      lastPolledAt: now,
      resolvePoll: undefined,
      avoid: new Set(request.avoid),
    };
    this.waiters.set(request.requestId, waiter);
    return waiter;
  }

  /** Grants free slots to the waiting requests in order. */
  private dispatch(): void {
    if (this.waiters.size === 0 || this.replicas.length === 0) return;
    for (const waiter of this.orderedWaiters()) {
      if (waiter.resolvePoll === undefined) continue;
      const replica = this.chooseReplica(waiter);
      if (replica !== undefined) this.grant(waiter, replica);
    }
  }

  private orderedWaiters(): Waiter[] {
    const now = this.clock.monotonic();
    const rank = (waiter: Waiter): number =>
      waiter.request.priority - Math.floor((now - waiter.arrivedAt) / PRIORITY_AGEING_STEP_MS);
    return [...this.waiters.values()].sort(
      (left, right) =>
        rank(left) - rank(right) || left.deadline - right.deadline || left.arrivedAt - right.arrivedAt,
    );
  }

  private chooseReplica(waiter: Waiter): ReplicaInfo | undefined {
    const { adapter, affinity } = waiter.request;
    const eligible = this.replicas.filter(
      (replica) =>
        replica.accepting &&
        (adapter === '' || replica.adapters.includes(adapter)) &&
        this.freeSlots(replica) > 0,
    );
    const preferred = eligible.filter((replica) => !waiter.avoid.has(replica.workerId));
    const candidates = preferred.length > 0 ? preferred : eligible;
    const lastServed = affinity === 0 ? undefined : this.affinities.get(affinity);
    const affinityMatch = candidates.find((replica) => replica.workerId === lastServed);
    if (affinityMatch !== undefined) return affinityMatch;
    return this.lessLoadedOfTwo(candidates);
  }

  private lessLoadedOfTwo(candidates: readonly ReplicaInfo[]): ReplicaInfo | undefined {
    const first = this.random.pick(candidates);
    const second = this.random.pick(candidates);
    if (first === undefined || second === undefined) return first;
    return this.freeSlots(first) >= this.freeSlots(second) ? first : second;
  }

  private grant(waiter: Waiter, replica: ReplicaInfo): void {
    const { requestId, routerId, affinity } = waiter.request;
    const grant: QueueGrant = { replica };
    this.grants.set(requestId, {
      requestId,
      workerId: replica.workerId,
      routerId,
      grantedAt: this.clock.monotonic(),
      grant,
    });
    this.waiters.delete(requestId);
    if (affinity !== 0) this.recordAffinity(affinity, replica.workerId);
    waiter.resolvePoll?.(grant);
  }

  private recordAffinity(affinity: number, workerId: string): void {
    this.affinities.delete(affinity);
    this.affinities.set(affinity, workerId);
    const oldest = this.affinities.keys().next().value;
    if (this.affinities.size > MAX_AFFINITIES && oldest !== undefined) this.affinities.delete(oldest);
  }

  private freeSlots(replica: ReplicaInfo): number {
    if (!replica.accepting || (this.cooldownUntil.get(replica.workerId) ?? 0) > this.clock.monotonic())
      return 0;
    let used = 0;
    for (const grant of this.grants.values()) {
      if (grant.workerId === replica.workerId) used += 1;
    }
    return replica.concurrency - used;
  }
}
