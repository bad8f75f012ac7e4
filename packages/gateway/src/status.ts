/** System status for operators, collected from the coordinators and all present daemons. */
import type { Catalog, ConfigurationStore } from '@woodbarrow/configuration';
import type { LeaseLocator } from '@woodbarrow/coordination';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  describePlacementMethod,
  describeQueuesMethod,
  pullConfigurationMethod,
  type DescribePlacementResponse,
} from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';

/** Options of {@link StatusService}. */
export interface StatusServiceOptions {
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly locator: LeaseLocator;
  readonly store: ConfigurationStore;
  readonly catalog: Catalog;
  /** Returns the lease group of a zone's coordinator. */
  readonly coordinatorGroup: (zone: string) => string;
}

/** Number of daemons on which a revision is in effect, of all present daemons. */
export interface InForceCount {
  readonly daemons: number;
  readonly of: number;
}

const PEER_CALL_TIMEOUT_MS = 800;
const IN_FORCE_POLL_MS = 100;

/** Collects the status of zones, models, workers and queues. */
export class StatusService {
  constructor(private readonly options: StatusServiceOptions) {}

  /** Polls the daemons until `revision` is in effect on all of them or the timeout passes. Returns the last count. */
  async waitUntilInForce(revision: number, timeoutMs: number): Promise<InForceCount> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + timeoutMs;
    for (;;) {
      const count = await this.countInForce(revision);
      if (count.daemons === count.of || clock.monotonic() >= deadline) return count;
      await sleep(clock, IN_FORCE_POLL_MS);
    }
  }

  /**
   * Returns one section of the status: `zones`, `models`, `workers` or `queues`.
   *
   * @throws WoodbarrowError `not_found` for an unknown section.
   */
  async describe(section: string, isVisible: (model: string) => boolean): Promise<object> {
    switch (section) {
      case 'zones':
        return { revision: this.options.store.revision, zones: await this.describeZones() };
      case 'models': {
        const placements = await this.fetchPlacements();
        const models = placements.flatMap(({ zone, models: entries }) =>
          entries.map((entry) => ({ zone, ...entry })),
        );
        return { models: models.filter((entry) => isVisible(entry.model)) };
      }
      case 'workers': {
        const placements = await this.fetchPlacements();
        const workers = placements.flatMap(({ zone, workers: entries }) =>
          entries.map((entry) => ({
            zone,
            ...entry,
            replicas: entry.replicas.filter((replica) => isVisible(replica.model)),
          })),
        );
        return { workers };
      }
      case 'queues':
        return { queues: (await this.describeQueues()).filter((queue) => isVisible(queue.model)) };
      default:
        throw new WoodbarrowError(
          'not_found',
          `unknown section ${section}; use zones, models, workers or queues`,
        );
    }
  }

  private async countInForce(revision: number): Promise<InForceCount> {
    const { membership, peers, store } = this.options;
    const members = membership.present();
    const confirmations = await Promise.all(
      members.map(async (member) => {
        if (member.id === membership.local.id) return store.revision >= revision;
        const request = { revision: Number.MAX_SAFE_INTEGER };
        return peers
          .call(member.address, pullConfigurationMethod, request, { timeoutMs: PEER_CALL_TIMEOUT_MS })
          .then((response) => response.revision >= revision)
          .catch(() => false);
      }),
    );
    return { daemons: confirmations.filter(Boolean).length, of: members.length };
  }

  private async describeZones(): Promise<object[]> {
    const { membership, locator, coordinatorGroup, catalog } = this.options;
    return Promise.all(
      catalog.zones().map(async (zone) => ({
        zone,
        coordinator: (await locator.find(coordinatorGroup(zone)))?.id ?? null,
        daemons: membership
          .present()
          .filter((member) => member.zone === zone)
          .map((member) => ({ id: member.id, address: member.address, status: member.status })),
      })),
    );
  }

  private async fetchPlacements(): Promise<DescribePlacementResponse[]> {
    const { catalog, locator, peers, coordinatorGroup } = this.options;
    const responses = await Promise.all(
      catalog.zones().map(async (zone) => {
        const holder = await locator.find(coordinatorGroup(zone));
        if (holder === undefined) return [];
        return peers
          .call(holder.address, describePlacementMethod, { zone }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
          .then((response) => [response])
          .catch(() => []);
      }),
    );
    return responses.flat();
  }

  private async describeQueues(): Promise<{ zone: string; model: string }[]> {
    const { membership, peers } = this.options;
    const responses = await Promise.all(
      membership.present().map((member) =>
        peers
          .call(
            member.address,
            describeQueuesMethod,
            { zone: member.zone },
            { timeoutMs: PEER_CALL_TIMEOUT_MS },
          )
          .then((response) =>
            response.queues.map((queue) => ({ zone: member.zone, owner: member.id, ...queue })),
          )
          .catch(() => []),
      ),
    );
    return responses.flat();
  }
}
