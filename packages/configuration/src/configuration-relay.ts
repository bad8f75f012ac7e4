/**
 * Distributes the platform's objects to all daemons. Only a few daemons read the platform: the holder of each zone's relay
 * lease, or the first-ranked members of a zone whose lease has no holder. All others receive updates along a push tree and
 * pull missed updates from any peer with a higher revision.
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
  /** Candidate for the relay lease, whose holder reads the platform for the zone. */
  readonly lease: LeaseCandidate;
  /** Returns the names of the zone's daemons from the platform's machine list, including those that membership has not discovered yet. */
  readonly listedDaemons: () => readonly string[];
  /** Returns whether any daemon of the zone currently holds the relay lease according to its voters. */
  readonly isLeaseHeld: () => Promise<boolean>;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const TREE_FAN_OUT = 8;
const BOOTSTRAP_INTERVAL_MS = 1000;
/** Delay per better-ranked member before a member reads the platform without the lease. */
const BOOTSTRAP_RANK_DELAY_MS = 3000;
/** Number of members that read the platform in rotating time slots while no daemon holds the lease. */
const FALLBACK_READER_COUNT = 3;
const FALLBACK_SLOT_MS = 10_000;
/** Time for which the lease must have no holder before a fallback reader reads the platform. */
const FALLBACK_DELAY_MS = 4000;
const WATCH_RETRY_MS = 1000;
/** Must be shorter than the safety margin between the lease expiry at the holder and at the voters. */
const MINIMUM_WAIT_MS = 10;
/** A watch is restarted after this time, in case its connection failed without an error. */
const MAX_WATCH_DURATION_MS = 30_000;
/** Maximum number of peers asked for their revision to confirm freshness. */
const MAX_FRESHNESS_PEERS = 8;

/** Keeps one daemon's configuration store up to date. */
export class ConfigurationRelay extends BackgroundService {
  /** Operation counts since the relay was created. */
  readonly counters = { pushesSent: 0, pulls: 0, platformReads: 0 };
  private readonly startedAt: number;
  private isPulling = false;
  private fresh = false;
  /** Monotonic time since which this daemon, in its slot, has found the lease without a holder. */
  private leaseUnheldSince: number | undefined;

  constructor(private readonly options: ConfigurationRelayOptions) {
    super(options.clock, options.onTaskFailure);
    this.startedAt = options.clock.monotonic();
  }

  /** Whether this daemon may serve: its configuration came from the platform or is as new as that of a majority of its zone. */
  get isFresh(): boolean {
    return this.fresh;
  }

  /** Starts to receive and pull updates, and to read the platform when this daemon holds the lease or is a fallback reader. */
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

  /** Reads all objects once and then watches for changes while the lease is held. */
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

  /** Runs one watch until the lease is lost, the maximum duration has passed, or the platform closes it. */
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

  /** Sends an update to up to {@link TREE_FAN_OUT} receivers, each of which forwards it to its share of the others. */
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
    // A snapshot was read from the platform after this daemon had joined.
    if (applied && request.update.baseRevision === 0) this.fresh = true;
    if (!applied && request.update.revision > store.revision) void this.pullFromRandomPeer();
  }

  private async pullFromRandomPeer(): Promise<void> {
    const peer = this.options.random.pick(this.zonePeers());
    if (peer !== undefined) await this.pullFrom(peer.address);
  }

  private async pullFrom(address: string): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    this.counters.pulls += 1;
    try {
      const { peers, store } = this.options;
      const response = await peers.call(address, pullConfigurationMethod, { revision: store.revision });
      if (response.update !== undefined) store.apply(response.update);
    } catch {
      // The next probe that reports a higher revision triggers another attempt.
    } finally {
      this.isPulling = false;
    }
  }

  /** Establishes freshness after startup, and later reads the platform as fallback while no daemon holds the lease. */
  private async bootstrap(): Promise<void> {
    if (!this.fresh) await this.checkFreshness();
    else if (this.isFallbackReader()) await this.readAsFallback();
    else this.leaseUnheldSince = undefined;
  }

  /** Reads the platform if the lease has had no holder for {@link FALLBACK_DELAY_MS}. */
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

  /**
   * Reads the platform if no daemon holds the lease. Called after this daemon wrote a voter set, which the new voters
   * would not receive otherwise.
   */
  async readIfUnheld(): Promise<void> {
    if (!(await this.options.isLeaseHeld())) await this.readPlatform();
  }

  /**
   * Compares revisions with peers of the zone. If they cannot confirm freshness, reads the platform once the delay for
   * this daemon's rank has passed.
   */
  private async checkFreshness(): Promise<void> {
    const peers = this.zonePeers().slice(0, MAX_FRESHNESS_PEERS);
    const revisions = await this.fetchPeerRevisions(peers);
    const confirming = revisions.filter(
      (revision) => revision > 0 && revision <= this.options.store.revision,
    ).length;
    // Together with this daemon, the confirming peers form a majority.
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
    for (const response of responses) {
      if (response?.update !== undefined) store.apply(response.update);
    }
    return responses.flatMap((response) => (response === undefined ? [] : [response.revision]));
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

  /** Whether the current slot is assigned to this daemon. Slots rotate over several members in case one cannot reach the platform. */
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
