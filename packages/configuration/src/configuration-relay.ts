/**
 * Brings the platform's objects to every daemon. Few read the platform: the holder of each zone's relay lease, and
 * while a zone has no voters yet, the first of its members. All others are pushed to along a tree and repair
 * what they missed by comparing revisions with any peer.
 */
import { isKind } from '@woodbarrow/errors';
import { rankByRendezvous, type Lease, type LeaseCandidate } from '@woodbarrow/coordination';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { PlatformClient, PlatformObject } from '@woodbarrow/object-store';
import {
  pullConfigurationMethod,
  pushConfigurationMethod,
  type ConfigurationUpdate,
  type MemberRecord,
  type PushRequest,
} from '@woodbarrow/protocol';
import { BackgroundService, settleWithin, sleep, type Clock, type Random } from '@woodbarrow/runtime';
import type { ConfigurationStore } from './configuration-store.js';

/** Options of {@link ConfigurationRelay}. */
export interface ConfigurationRelayOptions {
  readonly store: ConfigurationStore;
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Lease that lets one daemon of the zone read the platform. */
  readonly lease: LeaseCandidate;
  /** Names of the zone's daemons as the platform's machine list has them; members may not all be known yet. */
  readonly listedDaemons: () => readonly string[];
  /** Whether some daemon of the zone holds that lease now, as its voters say. */
  readonly isLeaseHeld: () => Promise<boolean>;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const TREE_FAN_OUT = 8;
const BOOTSTRAP_INTERVAL_MS = 1000;
/** A member reads the platform without the lease only after waiting this long for each one ranked before it. */
const BOOTSTRAP_RANK_DELAY_MS = 3000;
/** Members that read in turns while nobody holds the lease, and the length of a turn. */
const FALLBACK_READER_COUNT = 3;
const FALLBACK_SLOT_MS = 10_000;
/** Time for which a zone must have had no relay before another member reads the platform. */
const FALLBACK_DELAY_MS = 4000;
const WATCH_RETRY_MS = 1000;
/** Shorter than the safety margin between the holder's and the voters' end of a lease. */
const MINIMUM_WAIT_MS = 10;
/** A watch is renewed after this long, in case it died silently. */
const MAX_WATCH_DURATION_MS = 30_000;
const MAX_FRESHNESS_PEERS = 8;

/** Keeps one daemon's configuration store up to date. */
export class ConfigurationRelay extends BackgroundService {
  /** Counters of the relay's work. */
  readonly counters = { pushesSent: 0, pulls: 0, platformReads: 0 };
  private readonly startedAt: number;
  private repairing = false;
  private fresh = false;
  /** Since when this daemon, in its turn, has found the zone without a relay. */
  private leaseUnheldSince: number | undefined;

  constructor(private readonly options: ConfigurationRelayOptions) {
    super(options.clock, options.onTaskFailure);
    this.startedAt = options.clock.monotonic();
  }

  /** Whether this daemon may serve: it holds a revision as new as a majority of its zone, or the platform's. */
  get isFresh(): boolean {
    return this.fresh;
  }

  /** Starts receiving and repairing; reads the platform when it is this daemon's turn. */
  start(): void {
    const { peers, membership, store, lease } = this.options;
    peers.handle(pushConfigurationMethod, (request) => {
      this.onPush(request);
      return {};
    });
    peers.handle(pullConfigurationMethod, (request) => {
      const update = store.updateSince(request.revision);
      const revision = this.fresh ? store.revision : 0;
      return update === undefined ? { revision } : { update, revision };
    });
    membership.events.on('attachment', async ({ address, attachment }) => {
      if (attachment > store.revision) await this.pullFrom(address);
    });
    lease.events.on('acquired', (held) => {
      this.tasks.spawn('configuration.relay', (signal) => this.relay(held, signal));
    });
    this.tasks.loop(
      'configuration.bootstrap',
      () => BOOTSTRAP_INTERVAL_MS,
      () => this.bootstrap(),
    );
  }

  /** While holding the lease: read everything once, then watch. */
  private async relay(lease: Lease, signal: AbortSignal): Promise<void> {
    while (lease.isValid && !signal.aborted) {
      try {
        await this.readPlatform();
        break;
      } catch {
        await sleep(this.options.clock, WATCH_RETRY_MS, signal);
      }
    }
    while (lease.isValid && !signal.aborted) await this.watchWhileHeld(lease, signal);
  }

  /** One watch, ended when the lease is lost, after its longest duration, or by the platform. */
  private async watchWhileHeld(lease: Lease, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const watchAbort = new AbortController();
    const endsAt = clock.monotonic() + MAX_WATCH_DURATION_MS;
    const watchOrLeaseEnded = Promise.race([this.watch(watchAbort.signal), lease.whenEnded]);
    while (lease.isValid && !signal.aborted && clock.monotonic() < endsAt) {
      const waitMs = Math.max(MINIMUM_WAIT_MS, Math.min(lease.remainingMs, endsAt - clock.monotonic()));
      const result = await settleWithin(clock, waitMs, watchOrLeaseEnded);
      if (!result.timedOut) break;
    }
    watchAbort.abort();
  }

  private async watch(signal: AbortSignal): Promise<void> {
    const { store, platform, clock } = this.options;
    try {
      for await (const object of platform.watch(store.revision, signal)) {
        this.applyAndPush([object], object.revision, store.revision);
      }
    } catch (error) {
      if (isKind(error, 'revision_conflict')) await this.readPlatform().catch(() => undefined);
    }
    await sleep(clock, WATCH_RETRY_MS, signal);
  }

  private async readPlatform(): Promise<void> {
    this.counters.platformReads += 1;
    const list = await this.options.platform.list();
    this.fresh = true;
    this.applyAndPush(list.items, list.revision, 0);
  }

  private applyAndPush(objects: readonly PlatformObject[], revision: number, baseRevision: number): void {
    const entries = objects.map(({ key, revision: changedAt, value }) => ({
      key,
      revision: changedAt,
      value,
    }));
    const before = this.options.store.revision;
    if (!this.options.store.apply({ baseRevision, revision, entries })) return;
    const changed = entries.filter((entry) => entry.revision > before);
    const update: ConfigurationUpdate =
      baseRevision === 0
        ? { baseRevision: 0, revision, entries }
        : { baseRevision, revision, entries: changed };
    this.push(update, this.zonePeers());
  }

  private zonePeers(): MemberRecord[] {
    const { membership } = this.options;
    return membership
      .present()
      .filter((member) => member.zone === membership.local.zone && member.id !== membership.local.id);
  }

  /** Sends an update to up to eight receivers, each of which passes it on to its share of the others. */
  private push(update: ConfigurationUpdate, receivers: readonly { readonly address: string }[]): void {
    const children = receivers.slice(0, TREE_FAN_OUT);
    const rest = receivers.slice(TREE_FAN_OUT).map((receiver) => receiver.address);
    for (const [index, child] of children.entries()) {
      const forwardTo = rest.filter((_, position) => position % children.length === index);
      this.counters.pushesSent += 1;
      this.options.peers
        .call(child.address, pushConfigurationMethod, { update, forwardTo })
        .catch(() => undefined);
    }
  }

  private onPush(request: PushRequest): void {
    const { store } = this.options;
    this.push(
      request.update,
      request.forwardTo.map((address) => ({ address })),
    );
    const applied = store.apply(request.update);
    // A whole update was read from the platform after this daemon had joined.
    if (applied && request.update.baseRevision === 0) this.fresh = true;
    if (!applied && request.update.revision > store.revision) void this.pullFromRandomPeer();
  }

  private async pullFromRandomPeer(): Promise<void> {
    const peer = this.options.random.pick(this.zonePeers());
    if (peer !== undefined) await this.pullFrom(peer.address);
  }

  private async pullFrom(address: string): Promise<void> {
    if (this.repairing) return;
    this.repairing = true;
    this.counters.pulls += 1;
    try {
      const { peers, store } = this.options;
      const response = await peers.call(address, pullConfigurationMethod, { revision: store.revision });
      if (response.update !== undefined) store.apply(response.update);
    } catch {
      // Another peer will be ahead at the next probe.
    } finally {
      this.repairing = false;
    }
  }

  /** Reads the platform without the lease when there is no other way to learn of changes. */
  private async bootstrap(): Promise<void> {
    if (!this.fresh) await this.checkFreshness();
    else if (this.isFallbackReader()) await this.readAsFallback();
    else this.leaseUnheldSince = undefined;
  }

  /** Reads the platform when the zone has had no relay for a while. */
  private async readAsFallback(): Promise<void> {
    const now = this.options.clock.monotonic();
    if (await this.options.isLeaseHeld()) {
      this.leaseUnheldSince = undefined;
      return;
    }
    this.leaseUnheldSince ??= now;
    if (now - this.leaseUnheldSince < FALLBACK_DELAY_MS) return;
    this.leaseUnheldSince = now;
    await this.readPlatform();
  }

  /** Reads the platform after this daemon named voters in a zone without a relay, who could not learn of it otherwise. */
  async readIfUnheld(): Promise<void> {
    if (!(await this.options.isLeaseHeld())) await this.readPlatform();
  }

  /** Compares with the zone's peers; in a zone where nobody knows anything, reads the platform in turn. */
  private async checkFreshness(): Promise<void> {
    const peers = this.zonePeers().slice(0, MAX_FRESHNESS_PEERS);
    const revisions = await this.fetchPeerRevisions(peers);
    const confirming = revisions.filter(
      (revision) => revision > 0 && revision <= this.options.store.revision,
    ).length;
    // With this daemon itself, the confirming peers are a majority.
    if (confirming > 0 && confirming * 2 >= peers.length) {
      this.fresh = true;
      return;
    }
    if (this.isBootstrapReadDue()) await this.readPlatform();
  }

  private async fetchPeerRevisions(peers: readonly MemberRecord[]): Promise<number[]> {
    const { store } = this.options;
    const responses = await Promise.all(
      peers.map((peer) =>
        this.options.peers
          .call(peer.address, pullConfigurationMethod, { revision: store.revision })
          .catch(() => undefined),
      ),
    );
    for (const answer of responses) {
      if (answer?.update !== undefined) store.apply(answer.update);
    }
    return responses.flatMap((answer) => (answer === undefined ? [] : [answer.revision]));
  }

  private isBootstrapReadDue(): boolean {
    const { membership, clock } = this.options;
    const members = this.zonePeers().map((member) => member.id);
    const names = new Set([...members, ...this.options.listedDaemons(), membership.local.id]);
    const ranked = rankByRendezvous(
      'bootstrap',
      [...names].map((id) => ({ id })),
    );
    const rank = ranked.findIndex((candidate) => candidate.id === membership.local.id);
    return clock.monotonic() - this.startedAt >= BOOTSTRAP_INTERVAL_MS + rank * BOOTSTRAP_RANK_DELAY_MS;
  }

  /** While nobody holds the lease, the first few members of the zone take turns, in case one cannot reach the platform. */
  private isFallbackReader(): boolean {
    const { membership, clock } = this.options;
    const fallbackReaders = this.rankZoneMembers().slice(0, FALLBACK_READER_COUNT);
    const slot = Math.floor(clock.wall() / FALLBACK_SLOT_MS) % fallbackReaders.length;
    return fallbackReaders[slot]?.id === membership.local.id;
  }

  private rankZoneMembers(): MemberRecord[] {
    const { membership } = this.options;
    const zone = membership.present().filter((member) => member.zone === membership.local.zone);
    return rankByRendezvous('bootstrap', zone);
  }
}
