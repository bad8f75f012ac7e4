/** The queue owner: queues the waiting requests of its models in its zone and reports their demand. */
import { ownerByRendezvous, type LeaseLocator } from '@woodbarrow/coordination';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  describeQueuesMethod,
  enqueueMethod,
  grantEndedMethod,
  replicasChangedMethod,
  reportDemandMethod,
  withdrawMethod,
  type EnqueueRequest,
  type EnqueueResponse,
  type ModelReplicas,
  type ReplicasChangedRequest,
} from '@woodbarrow/protocol';
import { BackgroundService, Wakeup, sleep, type Clock, type Random } from '@woodbarrow/runtime';
import { ModelQueue } from './model-queue.js';

/** Options of {@link QueueOwner}. */
export interface QueueOwnerOptions {
  readonly zone: string;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly locator: LeaseLocator;
  /** Group of the zone coordinator's lease. */
  readonly coordinatorGroup: string;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

/** Pause between two demand reports while requests wait. */
const BUSY_REPORT_INTERVAL_MS = 250;
/** Maximum pause between two demand reports while no request waits. */
const IDLE_REPORT_INTERVAL_MS = 1000;
/** Delay before a report, so that requests that arrive together share one report. */
const REPORT_COALESCE_MS = 3;
const SWEEP_INTERVAL_MS = 1000;
/** Time without requests after which an idle queue is removed. */
const IDLE_QUEUE_EXPIRY_MS = 120_000;
const REPORT_TIMEOUT_MS = 1000;

/**
 * Owns the queues of the models whose requests arrive here. Two owners of one model are safe for a while, since
 * engines enforce their own concurrency limits.
 */
export class QueueOwner extends BackgroundService {
  private readonly queues = new Map<string, ModelQueue>();
  /** Models to include in the next report although their queues may be idle. */
  private readonly changedModels = new Set<string>();
  private readonly wakeup = new Wakeup();
  /** Highest fencing token received from a coordinator; updates with a lower one are ignored. */
  private highestFence = 0;

  constructor(private readonly options: QueueOwnerOptions) {
    super(options.clock, options.onTaskFailure);
  }

  /** Registers the peer handlers and starts the reporting and sweeping tasks. */
  start(): void {
    const { peers, membership } = this.options;
    peers.handle(enqueueMethod, (request) => this.enqueue(request));
    peers.handle(withdrawMethod, (request) => {
      this.queues.get(request.model)?.withdraw(request.requestId);
      return {};
    });
    peers.handle(grantEndedMethod, (request) => {
      this.queues.get(request.model)?.endGrant(request.requestId, request.workerId, request.result);
      if (request.result !== 'completed') this.scheduleReport(request.model);
      return {};
    });
    peers.handle(replicasChangedMethod, (request) => {
      this.handleReplicasChanged(request);
      return {};
    });
    peers.handle(describeQueuesMethod, () => ({
      queues: [...this.queues.values()].map((queue) => ({
        model: queue.model,
        waiting: queue.waiting,
        granted: queue.activeGrants,
        replicas: queue.currentReplicas.length,
      })),
    }));
    membership.events.on('down', (member) => {
      for (const queue of this.queues.values()) queue.removeRouter(member.id);
    });
    this.tasks.spawn('routing.report', (signal) => this.reportLoop(signal));
    this.tasks.loop(
      'routing.sweep',
      () => SWEEP_INTERVAL_MS,
      () => {
        this.sweep();
        return Promise.resolve();
      },
    );
  }

  /** Number of requests that wait in all queues of this owner. */
  get waiting(): number {
    let waiting = 0;
    for (const queue of this.queues.values()) waiting += queue.waiting;
    return waiting;
  }

  private async enqueue(request: EnqueueRequest): Promise<EnqueueResponse> {
    const queue = this.getOrCreateQueue(request.model);
    const isCold = queue.currentReplicas.every((replica) => !replica.accepting);
    const granted = queue.enqueue(request);
    if (queue.waiting > 0) this.scheduleReport(request.model);
    else this.changedModels.add(request.model);
    const grant = await granted;
    const response = {
      replicas: queue.currentReplicas,
      scarce: queue.isScarce,
      saturated: queue.isSaturated,
      waitedForLoad: isCold,
    };
    return grant === undefined ? response : { ...response, replica: grant.replica };
  }

  private getOrCreateQueue(model: string): ModelQueue {
    let queue = this.queues.get(model);
    if (queue === undefined) {
      queue = new ModelQueue(model, this.options.clock, this.options.random);
      this.queues.set(model, queue);
    }
    return queue;
  }

  private handleReplicasChanged(request: ReplicasChangedRequest): void {
    if (request.fence < this.highestFence) return;
    this.highestFence = request.fence;
    this.applyReplicas(request.models);
  }

  private applyReplicas(models: readonly ModelReplicas[]): void {
    for (const { model, replicas } of models) {
      if (replicas.length > 0 || this.queues.has(model)) this.getOrCreateQueue(model).setReplicas(replicas);
    }
  }

  private scheduleReport(model: string): void {
    this.changedModels.add(model);
    this.wakeup.wake();
  }

  private async reportLoop(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await this.report();
      const hasWaiters = [...this.queues.values()].some((queue) => queue.waiting > 0);
      await this.wakeup.wait(clock, hasWaiters ? BUSY_REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS, signal);
      await sleep(clock, REPORT_COALESCE_MS, signal);
    }
  }

  /** Reports the demand of all active models; the response lists their replicas. */
  private async report(): Promise<void> {
    const { locator, coordinatorGroup, peers, membership } = this.options;
    const active = [...this.queues.values()].filter(
      (queue) => !queue.isIdle || this.changedModels.has(queue.model),
    );
    if (active.length === 0) return;
    const coordinator = await locator.find(coordinatorGroup);
    if (coordinator === undefined) return;
    const models = active.map((queue) => queue.model);
    const demands = active.map((queue) => queue.takeDemand());
    try {
      const response = await peers.call(
        coordinator.address,
        reportDemandMethod,
        { owner: membership.local.id, demands },
        { timeoutMs: REPORT_TIMEOUT_MS },
      );
      for (const model of models) this.changedModels.delete(model);
      this.applyReplicas(response.models);
    } catch {
      locator.forget(coordinatorGroup);
    }
  }

  private sweep(): void {
    const now = this.options.clock.monotonic();
    for (const [model, queue] of this.queues) {
      queue.sweep();
      if (queue.isIdle && now - queue.lastUsedAt > IDLE_QUEUE_EXPIRY_MS) this.queues.delete(model);
    }
  }
}

/** Returns the daemon that owns a model's queue in a zone, by rendezvous hashing over the current members. */
export function queueOwnerOf(
  membership: Membership,
  zone: string,
  model: string,
): { readonly id: string; readonly address: string } | undefined {
  return ownerByRendezvous(
    model,
    membership.eligible().filter((member) => member.zone === zone),
  );
}
