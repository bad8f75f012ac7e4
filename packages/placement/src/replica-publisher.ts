/** Tells queue owners which replicas their models have, whenever that changes. */
import { ownerByRendezvous } from '@woodbarrow/coordination';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import { replicasChangedMethod, type ModelReplicas, type ReplicaInfo } from '@woodbarrow/protocol';
import type { WorkerView } from './worker-view.js';

/** Why a wanted load is not possible now. */
export type BlockedReason = NonNullable<ModelReplicas['blockedBy']>;

/** Options of {@link ReplicaPublisher}. */
export interface ReplicaPublisherOptions {
  readonly zone: string;
  /** Fence of the coordinator's lease; owners drop the word of earlier ones. */
  readonly fence: number;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly workers: ReadonlyMap<string, WorkerView>;
  /** Why the last plan could not load a model. */
  readonly blockedBy: (model: string) => BlockedReason | undefined;
}

/** Publishes the replicas of one zone for as long as one lease lasts. */
export class ReplicaPublisher {
  /** Digest of what was last published of each model. */
  private readonly publishedDigests = new Map<string, string>();

  constructor(private readonly options: ReplicaPublisherOptions) {}

  /** The replicas of a model as they are now. */
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

  /** Sends what has changed since the last time. A lost message is made good by the owner's next report. */
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

/** What an owner acts on; loads that come and go in `running` are not worth a message. */
function digestOf({ loading, replicas }: ModelReplicas): string {
  const parts = replicas.map(({ workerId, adapters, accepting }) => [workerId, adapters, accepting]);
  return JSON.stringify([loading, parts]);
}
