/** The waiting requests of one model at its queue owner, and the grants under way. */
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EnqueueRequest, ModelDemand, ReplicaInfo } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';

/** A waiting request. */
interface Waiter {
  readonly request: EnqueueRequest;
  readonly arrivedAt: number;
  /** Monotonic time at which the allowed wait ends. */
  readonly deadline: number;
  /** Monotonic time of the router's last sign of life for it. */
  lastPolledAt: number;
  /** Resolves the router's present question; undefined between two questions. */
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

/** A waiter rises by one priority step for each of these that it waits, so that no class starves. */
const PRIORITY_AGEING_STEP_MS = 2000;
/** A waiter not asked after for this long has lost its router. */
const ABANDONED_WAITER_TIMEOUT_MS = 2500;
/** A replica that refused gets no grants for this long. */
const REFUSAL_COOLDOWN_MS = 100;
/** A replica that failed gets no grants for this long. */
const FAILURE_COOLDOWN_MS = 2000;
/** Grants whose end was never reported stop counting after this long. */
const GRANT_EXPIRY_MS = 600_000;
/** A queue is saturated when this many times the replicas' concurrency waits. */
const SATURATION_FACTOR = 2;
const MAX_AFFINITIES = 256;

/** Orders the waiting requests of one model by class, then deadline, and grants them replicas. */
export class ModelQueue {
  private readonly waiters = new Map<string, Waiter>();
  private readonly grants = new Map<string, ActiveGrant>();
  private readonly cooldownUntil = new Map<string, number>();
  /** Worker that last served a prompt prefix. */
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

  /** Number of grants under way. */
  get granted(): number {
    return this.grants.size;
  }

  /** Replicas as last told by the coordinator. */
  get currentReplicas(): readonly ReplicaInfo[] {
    return this.replicas;
  }

  /** Whether routers must ask before each dispatch. */
  get isScarce(): boolean {
    const slots = this.replicas.reduce((total, replica) => total + this.freeSlots(replica), 0);
    return this.waiters.size > 0 || slots <= 0;
  }

  /** Whether far more waits than the loaded replicas run at once. */
  get isSaturated(): boolean {
    const capacity = this.replicas.reduce((total, replica) => total + replica.concurrency, 0);
    return capacity > 0 && this.waiters.size > capacity * SATURATION_FACTOR;
  }

  /** Whether nothing waits and nothing runs. */
  get isIdle(): boolean {
    return this.waiters.size === 0 && this.grants.size === 0;
  }

  /**
   * Takes in a request, or the next question after it. Resolves with a grant, or undefined after the hold.
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

  /** Drops a request that its router has given up here: its place, and a grant that did not reach the router. */
  withdraw(requestId: string): void {
    const waiter = this.waiters.get(requestId);
    this.waiters.delete(requestId);
    waiter?.resolvePoll?.(undefined);
    if (this.grants.delete(requestId)) this.dispatch();
  }

  /** Ends a grant. */
  endGrant(requestId: string, workerId: string, result: 'completed' | 'refused' | 'failed'): void {
    const grant = this.grants.get(requestId);
    if (grant?.workerId === workerId) this.grants.delete(requestId);
    const now = this.clock.monotonic();
    if (result !== 'completed') this.suspects.add(workerId);
    if (result === 'refused') this.cooldownUntil.set(workerId, now + REFUSAL_COOLDOWN_MS);
    if (result === 'failed') this.cooldownUntil.set(workerId, now + FAILURE_COOLDOWN_MS);
    this.dispatch();
  }

  /** Takes in the coordinator's word on the model's replicas. */
  setReplicas(replicas: readonly ReplicaInfo[]): void {
    this.replicas = replicas;
    this.dispatch();
  }

  /** Drops what belonged to a router that is gone. */
  removeRouter(routerId: string): void {
    for (const [id, waiter] of this.waiters) {
      if (waiter.request.routerId === routerId) this.withdraw(id);
    }
    for (const [id, grant] of this.grants) {
      if (grant.routerId === routerId) this.grants.delete(id);
    }
    this.dispatch();
  }

  /** Drops waiters whose time or router is gone, and grants that nobody will end. */
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

  /** What to report to the coordinator; resets the count of arrivals. */
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

  /** Only newcomers are refused: who already waits keeps the place. */
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

  /** Grants as many waiting requests as there are free slots, in order. */
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
