/** Publishes changes in the replicas of a zone to the queue owners of the models. */
import { ownerByRendezvous } from '@woodbarrow/coordination';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import { replicasChangedMethod, type ModelReplicas, type ReplicaInfo } from '@woodbarrow/protocol';
import type { WorkerView } from './worker-view.js';

/** Why a needed load is currently not possible. */
export type BlockedReason = NonNullable<ModelReplicas['blockedBy']>;

/** Options of {@link ReplicaPublisher}. */
export interface ReplicaPublisherOptions {
  readonly zone: string;
  /** Fencing token of the coordinator's lease; queue owners ignore updates with a lower one. */
  readonly fence: number;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly workers: ReadonlyMap<string, WorkerView>;
  /** Returns why the last plan could not load a model; undefined if it could. */
  readonly blockedBy: (model: string) => BlockedReason | undefined;
}

/** Publishes the replicas of one zone during one lease. */
export class ReplicaPublisher {
  /** Digest of the last published state of each model. */
  private readonly publishedDigests = new Map<string, string>();

  constructor(private readonly options: ReplicaPublisherOptions) {}

  /** Returns the current replicas of a model. */
  replicasOf(model: string): ModelReplicas {
    const replicas: ReplicaInfo[] = [];
    let loading = false;
    for (const worker of this.options.workers.values()) {
      const entry = worker.loaded(model);
      if (entry?.state === 'loading' || worker.intents.has(model)) loading = true;
      if (entry?.state !== 'ready') continue;
      replicas.push({
        workerId: worker.id,
        origin: worker.origin,
        model,
        version: entry.version,
        adapters: entry.adapters,
        concurrency: entry.concurrency,
        running: entry.running,
        accepting: worker.isAccepting && !worker.retiring.has(model),
      });
    }
    const blockedBy = this.options.blockedBy(model);
    return { model, replicas, loading, ...(blockedBy === undefined || loading ? {} : { blockedBy }) };
  }

  /** Sends the changes since the last call. The response to an owner's next report makes up for a lost message. */
  publishChanges(): void {
    const { peers, zone, fence } = this.options;
    const changed = new Map<string, ModelReplicas[]>();
    for (const model of this.modelsToPublish()) {
      const replicas = this.replicasOf(model);
      const digest = digestOf(replicas);
      if (this.publishedDigests.get(model) === digest) continue;
      this.publishedDigests.set(model, digest);
      const owner = this.queueOwnerOf(model);
      if (owner !== undefined) changed.set(owner, [...(changed.get(owner) ?? []), replicas]);
    }
    for (const [address, models] of changed) {
      peers.call(address, replicasChangedMethod, { zone, fence, models }).catch(() => undefined);
    }
  }

  private modelsToPublish(): Set<string> {
    const models = new Set(this.publishedDigests.keys());
    for (const worker of this.options.workers.values()) {
      for (const holding of worker.holdings()) models.add(holding.model);
    }
    return models;
  }

  private queueOwnerOf(model: string): string | undefined {
    const { membership, zone } = this.options;
    const members = membership.eligible().filter((member) => member.zone === zone);
    return ownerByRendezvous(model, members)?.address;
  }
}

/** Digest of the fields that queue owners act on; changes of `running` alone are not published. */
function digestOf({ loading, replicas }: ModelReplicas): string {
  const parts = replicas.map(({ workerId, adapters, accepting }) => [workerId, adapters, accepting]);
  return JSON.stringify([loading, parts]);
}
