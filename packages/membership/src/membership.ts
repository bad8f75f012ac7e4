/**
 * Membership with suspicion-based failure detection (SWIM with the Lifeguard refinements): probes with
 * indirect probes, refutation by number, local health, bucketed view exchange.
 */
import Emittery from 'emittery';
import {
  indirectProbeMethod,
  probeMethod,
  syncMethod,
  updateMethod,
  type Incarnation,
  type MemberRecord,
  type ProbeMessage,
  type SyncRequest,
  type SyncResponse,
} from '@woodbarrow/protocol';
import { TaskGroup } from '@woodbarrow/runtime';
import { Absence } from './absence.js';
import { GossipBuffer } from './gossip-buffer.js';
import { LocalHealth } from './local-health.js';
import { MemberTable, isPresent } from './member-table.js';
import {
  DEFAULT_MEMBERSHIP_TIMINGS,
  type MembershipOptions,
  type MembershipTimings,
} from './membership-options.js';
import { ProbeTargets } from './probe-targets.js';

export interface MembershipEvents {
  /** A member became present or restarted. */
  up: MemberRecord;
  /** A member is no longer present. */
  down: MemberRecord;
  /** A member's record changed in any way. */
  changed: MemberRecord;
  /** A probe or its answer carried a member's attachment. */
  attachment: {
    readonly memberId: string;
    readonly address: string;
    readonly attachment: number;
    readonly attachmentEra: number | undefined;
  };
}

export interface MembershipCounters {
  probesSent: number;
  probesFailed: number;
  suspicionsStarted: number;
  refutations: number;
  declaredDead: number;
  viewExchanges: number;
}

const INDIRECT_PROBE_COUNT = 3;
/** Bounds the size of a probe message; a record takes about 150 bytes. */
const UPDATES_PER_MESSAGE = 5;
/** Number of consecutive probes with differing digests after which views are exchanged. */
const DIFFERENCES_BEFORE_EXCHANGE = 4;
/** Milliseconds after its start in which a member exchanges views at the first differing digest. */
const STARTUP_PERIOD_MS = 15_000;
const LEAVE_FAN_OUT = 5;
/** Capacity of a member without a configured one, in hundredths of a core. */
const DEFAULT_CAPACITY = 100;
/** A schedule overrun by this factor means that this daemon was suspended, rather than the others. */
const OVERRUN_FACTOR = 3;

/** Membership view of one daemon, maintained by probing. */
export class Membership {
  readonly events = new Emittery<MembershipEvents>();
  readonly counters: MembershipCounters = {
    probesSent: 0,
    probesFailed: 0,
    suspicionsStarted: 0,
    refutations: 0,
    declaredDead: 0,
    viewExchanges: 0,
  };
  private readonly table = new MemberTable();
  private readonly absence: Absence;
  private readonly gossip = new GossipBuffer();
  private readonly health = new LocalHealth();
  private readonly targets: ProbeTargets;
  private readonly timings: MembershipTimings;
  private readonly tasks: TaskGroup;
  private self: MemberRecord;
  private consecutiveDifferences = 0;
  private lastProbeStart = 0;
  private startedAt = 0;

  constructor(private readonly options: MembershipOptions) {
    this.timings = { ...DEFAULT_MEMBERSHIP_TIMINGS, ...options.timings };
    this.absence = new Absence(this.table, options.clock, STARTUP_PERIOD_MS);
    const { id, zone, region, instance, capacity = DEFAULT_CAPACITY } = options.identity;
    this.self = {
      id,
      address: options.peers.address,
      zone,
      region,
      capacity,
      instance,
      refutation: 0,
      status: 'alive',
    };
    this.targets = new ProbeTargets(this.self, options.random);
    this.tasks = new TaskGroup(options.clock, options.onTaskFailure ?? (() => undefined));
  }

  /** Record of this daemon. */
  get local(): MemberRecord {
    return this.self;
  }

  /** Present members, including this daemon, ordered by id. */
  present(): readonly MemberRecord[] {
    return this.table.present();
  }

  /** Members that may be given work and roles: present, and neither leaving nor suspected. */
  eligible(): readonly MemberRecord[] {
    return this.table.eligible();
  }

  /** Members that have not left, present or not. */
  known(): readonly MemberRecord[] {
    return this.table.all().filter(({ status }) => status !== 'left');
  }

  /** Returns the record of a member; undefined when there is none. */
  get(id: string): MemberRecord | undefined {
    return this.table.get(id);
  }

  /**
   * Whether a run of a daemon has ended in this member's view. A run that is suspended or partitioned looks like an ended
   * one. A run without a record counts as ended once this member has had time to learn of all members.
   */
  hasEnded(run: Incarnation): boolean {
    return this.absence.hasEnded(run);
  }

  /**
   * Whether a daemon that is not present may only be cut off for a while: it did not leave, and has been absent for less than
   * `limitMs`. A member that has been in contact with others for less than that may not have learned of every absent daemon.
   */
  mayReturn(id: string, limitMs: number): boolean {
    return this.absence.mayReturn(id, limitMs);
  }

  /** Digest of the present members; equal views have equal digests. */
  viewDigest(): number {
    return this.table.digest();
  }

  /** Starts probing. The peer network must be listening. */
  start(): void {
    const { peers, clock } = this.options;
    this.startedAt = clock.monotonic();
    this.self = { ...this.self, address: peers.address };
    this.table.apply(this.self, clock.monotonic());
    this.gossip.add(this.self);
    peers.handle(probeMethod, (message) => this.onProbe(message));
    peers.handle(indirectProbeMethod, async (request) => ({
      reached: await this.probe(request.address, request.timeoutMs),
    }));
    peers.handle(syncMethod, (request) => this.onSync(request));
    peers.handle(updateMethod, (message) => {
      this.applyAll(message.updates);
      return {};
    });
    this.tasks.loop(
      'membership.probe',
      () => this.timings.probeIntervalMs,
      () => this.probeRound(),
    );
    this.tasks.loop(
      'membership.reconnect',
      () => this.reconnectPauseMs(),
      () => this.reconnect(),
    );
  }

  /** Announces that this daemon is about to leave, so that it is given no new roles. */
  async announceLeaving(): Promise<void> {
    await this.announce('leaving');
  }

  /** Announces that this daemon has left, and stops. */
  async leave(): Promise<void> {
    await this.announce('left');
    await this.tasks.stop();
  }

  /** Stops without an announcement, as a crash would. */
  abort(): void {
    this.tasks.abort();
  }

  private async announce(status: 'leaving' | 'left'): Promise<void> {
    this.self = { ...this.self, status };
    this.applyRecord(this.self);
    const others = this.table.present().filter((member) => member.id !== this.self.id);
    const chosen = this.options.random.shuffle(others).slice(0, LEAVE_FAN_OUT);
    await Promise.all(
      chosen.map((member) =>
        this.options.peers
          .call(
            member.address,
            updateMethod,
            { updates: [this.self] },
            { timeoutMs: this.timings.probeTimeoutMs },
          )
          .catch(() => undefined),
      ),
    );
  }

  private async probeRound(): Promise<void> {
    this.detectOverrun();
    this.table.forgetAbsent(this.options.clock.monotonic(), this.timings.forgetAfterMs);
    this.declareExpiredSuspects();
    const target = this.targets.next(this.table.present());
    if (target === undefined) return;
    this.counters.probesSent += 1;
    const startedAt = this.options.clock.monotonic();
    const timeoutMs = this.timings.probeTimeoutMs * this.health.multiplier;
    if (await this.probe(target.address, timeoutMs)) {
      this.health.improve();
      return;
    }
    if (await this.probeIndirectly(target)) return;
    // A member that sends anything lives, however late it answers.
    if (this.wasHeardSince(target, startedAt)) return;
    this.counters.probesFailed += 1;
    this.health.worsen();
    this.suspect(target);
  }

  /**
   * Detects that this daemon was suspended, and restarts its suspicions: responses missing in that time are
   * not failures of others.
   */
  private detectOverrun(): void {
    const now = this.options.clock.monotonic();
    const longest = (this.timings.probeTimeoutMs + this.timings.indirectTimeoutMs) * this.health.multiplier;
    const expected = this.timings.probeIntervalMs + longest;
    if (this.lastProbeStart > 0 && now - this.lastProbeStart > expected * OVERRUN_FACTOR) {
      this.health.worsen(2);
      this.table.restartSuspicions(now);
    }
    this.lastProbeStart = now;
  }

  private async probe(address: string, timeoutMs: number): Promise<boolean> {
    try {
      const answer = await this.options.peers.call(address, probeMethod, this.probeMessage(), {
        timeoutMs,
        isAdaptive: true,
      });
      this.applyAll(answer.updates);
      this.emitAttachment(answer, address);
      await this.compareDigest(address, answer.digest);
      return true;
    } catch {
      return false;
    }
  }

  private async probeIndirectly(target: MemberRecord): Promise<boolean> {
    const others = this.eligible().filter((member) => member.id !== target.id && member.id !== this.self.id);
    const probers = this.options.random.shuffle(others).slice(0, INDIRECT_PROBE_COUNT);
    const timeoutMs = this.timings.indirectTimeoutMs * this.health.multiplier;
    const request = { address: target.address, timeoutMs: this.timings.probeTimeoutMs };
    const answers = await Promise.all(
      probers.map((prober) =>
        this.options.peers
          .call(prober.address, indirectProbeMethod, request, { timeoutMs })
          .then((answer) => answer.reached)
          .catch(() => false),
      ),
    );
    return answers.includes(true);
  }

  private probeMessage(): ProbeMessage {
    const attachmentEra = this.options.attachmentEra?.();
    return {
      from: this.self.id,
      updates: this.gossip.take(UPDATES_PER_MESSAGE, this.table.present().length),
      digest: this.table.digest(),
      attachment: this.options.attachment?.() ?? 0,
      ...(attachmentEra === undefined ? {} : { attachmentEra }),
    };
  }

  private onProbe(message: ProbeMessage): ProbeMessage {
    this.applyAll(message.updates);
    const sender = this.table.get(message.from);
    if (sender !== undefined) this.emitAttachment(message, sender.address);
    return this.probeMessage();
  }

  private emitAttachment(message: ProbeMessage, address: string): void {
    const { from: memberId, attachment, attachmentEra } = message;
    void this.events.emit('attachment', { memberId, address, attachment, attachmentEra });
  }

  private suspect(target: MemberRecord): void {
    const known = this.table.get(target.id);
    if (known === undefined || !isPresent(known) || known.status === 'suspect') return;
    this.counters.suspicionsStarted += 1;
    this.applyRecord({ ...known, status: 'suspect' });
  }

  private declareExpiredSuspects(): void {
    const members = Math.max(10, this.table.present().length);
    const suspicionMs = this.timings.suspicionMs * Math.log10(members) * this.health.multiplier;
    const now = this.options.clock.monotonic();
    for (const suspect of this.table.expiredSuspects(now, suspicionMs)) {
      if (this.wasHeardSince(suspect, now - suspicionMs)) continue;
      this.counters.declaredDead += 1;
      this.applyRecord({ ...suspect, status: 'dead' });
    }
  }

  private wasHeardSince({ address }: MemberRecord, at: number): boolean {
    return (this.options.peers.lastHeardAt(address) ?? -Infinity) > at;
  }

  private applyAll(updates: readonly MemberRecord[]): void {
    for (const update of updates) this.applyRecord(update);
  }

  private applyRecord(record: MemberRecord, shouldGossip = true): void {
    if (record.id === this.self.id && record !== this.self) {
      this.refute(record);
      return;
    }
    const before = this.table.get(record.id);
    if (!this.table.apply(record, this.options.clock.monotonic())) return;
    this.absence.update();
    if (shouldGossip) this.gossip.add(record);
    this.emitChange(before, record);
  }

  /** Refutes a false status or address of this daemon with a higher refutation number. */
  private refute(record: MemberRecord): void {
    const isFalse = record.status !== this.self.status || record.address !== this.self.address;
    const isCurrent = record.instance === this.self.instance && record.refutation >= this.self.refutation;
    if (!isFalse || !isCurrent) return;
    this.counters.refutations += 1;
    this.health.worsen();
    this.self = { ...this.self, refutation: record.refutation + 1 };
    this.applyRecord(this.self);
  }

  private emitChange(before: MemberRecord | undefined, after: MemberRecord): void {
    const wasUp = before !== undefined && isPresent(before);
    const isUp = isPresent(after);
    if (isUp && (!wasUp || before.instance !== after.instance)) void this.events.emit('up', after);
    if (wasUp && !isUp) void this.events.emit('down', after);
    void this.events.emit('changed', after);
  }

  private async compareDigest(address: string, digest: number): Promise<void> {
    this.consecutiveDifferences = digest === this.table.digest() ? 0 : this.consecutiveDifferences + 1;
    const threshold = this.isRecentlyStarted() ? 1 : DIFFERENCES_BEFORE_EXCHANGE;
    if (this.consecutiveDifferences < threshold) return;
    this.consecutiveDifferences = 0;
    await this.exchangeViews(address, this.table.digests());
  }

  /**
   * A daemon that has just started has an incomplete view, and exchanges views sooner instead of waiting for
   * gossip.
   */
  private isRecentlyStarted(): boolean {
    return this.options.clock.monotonic() - this.startedAt < STARTUP_PERIOD_MS;
  }

  /** Fetches the records that differ in another member's view, and sends it the ones that it lacks. */
  private async exchangeViews(address: string, bucketDigests: readonly number[]): Promise<void> {
    this.counters.viewExchanges += 1;
    const request: SyncRequest = { self: this.self, bucketDigests };
    const answer = await this.options.peers.call(address, syncMethod, request);
    // Not gossiped: the record is already in another view, and members that lack it exchange views
    // themselves.
    for (const record of answer.members) this.applyRecord(record, false);
    const own = this.table.recordsInBuckets(new Set(answer.differing));
    if (own.length > 0) await this.options.peers.call(address, updateMethod, { updates: own });
  }

  private onSync(request: SyncRequest): SyncResponse {
    const own = this.table.digests();
    const differing = own.flatMap((digest, bucket) =>
      digest === request.bucketDigests[bucket] ? [] : [bucket],
    );
    const members = this.table.recordsInBuckets(new Set(differing));
    this.applyRecord(request.self);
    return { differing, members };
  }

  private reconnectPauseMs(): number {
    // Members that start together first form small groups, which must merge quickly.
    const isUrgent = this.table.present().length <= 1 || this.isRecentlyStarted();
    const pause = isUrgent ? this.timings.probeIntervalMs / 2 : this.timings.reconnectIntervalMs;
    return this.options.random.between(pause * 0.8, pause * 1.2);
  }

  /** Contacts a seed or an absent member, so that views merge again after a network partition. */
  private async reconnect(): Promise<void> {
    const presentAddresses = new Set(this.table.present().map((member) => member.address));
    const absent = this.table
      .all()
      .filter((member) => member.status === 'dead')
      .map((member) => member.address);
    const candidates = [...this.options.seeds(), ...absent].filter(
      (address) => !presentAddresses.has(address),
    );
    const address = this.options.random.pick(candidates);
    if (address === undefined) return;
    await this.exchangeViews(address, this.table.digests()).catch(() => undefined);
  }
}
