/**
 * Regular exchange of state between daemons: load, demand, claims of zones, and records of the store. Relays
 * exchange reports with all other relays, and some of them follow the store. Any other daemon attaches to a
 * relay of its zone: it sends its report, and the relay responds after an interval, or at once when there is
 * an urgent change. A daemon that cannot attach to any relay follows the store itself until it can.
 */
import { summarizedReport, type LoadTracker, type ReportScope, type WorkerPaces } from '@woodbarrow/backends';
import { relayTopology, STORE_FOLLOWER_COUNT, type RelayTopology } from '@woodbarrow/coordination';
import { logTaskFailures, type CallFailures, type EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  attachMethod,
  stateReportMethod,
  type AttachAnswer,
  type AttachMessage,
  type BackendNews,
  type RecordPosition,
  type ResidencyChange,
  type SourcePosition,
  type StateReport,
  type StateReportAnswer,
  type StateReportMessage,
  type StorePosition,
  type ZoneClaim,
} from '@woodbarrow/protocol';
import { BackgroundService, type Clock } from '@woodbarrow/runtime';
import { StalenessTracker } from './staleness-tracker.js';
import { ChangeTransfer } from './change-transfer.js';
import type { CoordinatorDirectory } from './coordinator-directory.js';
import { CrashMarkTransfer, type SharedCrashMarks } from './crash-mark-transfer.js';
import { HeldCalls } from './held-calls.js';
import { FollowerWatch } from './follower-watch.js';
import { PaceTransfer } from './pace-transfer.js';
import type { RecordSet } from './record-set.js';
import { RecordTransfer } from './record-transfer.js';
import { toLoadReport, toStateReport } from './state-report.js';

/** A daemon of the group. */
export interface Member {
  readonly id: string;
  /** Peer address. */
  readonly address: string;
  readonly zone: string;
  /** Capacity of its machine, in hundredths of a core. */
  readonly capacity: number;
}

/** Store records that this daemon follows. */
export interface FollowedRecords {
  readonly sets: readonly RecordSet[];
  /** Whether the store is answering this daemon. */
  readonly isFollowing: boolean;
  /** Sets whether this daemon follows the store itself. */
  followStore(wanted: boolean): void;
  /** Observes the positions that another daemon has reached. */
  observePositions(positions: readonly SourcePosition[]): void;
}

export interface PeerExchangeOptions {
  readonly self: Member;
  /** Daemons that may become relays. */
  readonly members: () => readonly Member[];
  /** Whether the members are known well enough to choose relays; until then nothing is exchanged. */
  readonly isGroupKnown: () => boolean;
  readonly peers: PeerNetwork;
  readonly loads: LoadTracker;
  readonly paces: WorkerPaces;
  readonly coordinators: CoordinatorDirectory;
  readonly records: FollowedRecords;
  /** Kinds of records whose changes are forwarded immediately. */
  readonly urgentSources: readonly string[];
  /** Zones that this daemon coordinates. */
  readonly ownClaims: () => readonly ZoneClaim[];
  readonly onChanges: (changes: readonly ResidencyChange[]) => void;
  /** Called with notices that back ends sent to other daemons. */
  readonly onBackendNews: (news: readonly BackendNews[]) => void;
  /** Marks of processes that crashed while serving a request. */
  readonly crashMarks: SharedCrashMarks;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * Interval between two reports of a relay, and time for which it holds the call of an attached daemon, in
 * milliseconds.
 */
export const REPORT_INTERVAL_MS = 300;
const REPORT_TIMEOUT_MS = 1000;
/** Time beyond the hold after which an attach call times out, in milliseconds. */
const ATTACH_GRACE_MS = 900;
/** Pause after each attach call, in milliseconds; limits the number of calls during many urgent changes. */
const ATTACH_PAUSE_MS = 30;
/** Time for which a relay that did not answer, or whose records are stale, is avoided, in milliseconds. */
const RELAY_AVOIDANCE_MS = 3000;
/**
 * Time for which a daemon that was not a relay is avoided, in milliseconds: views differ briefly when members
 * change.
 */
const NON_RELAY_AVOIDANCE_MS = 500;
/**
 * Interval at which this daemon checks whether the group is known, in milliseconds. Short, since the check is
 * local and no request is served before.
 */
const GROUP_POLL_INTERVAL_MS = 20;
/** Pause after no relay answered, in milliseconds. */
const REATTACH_PAUSE_MS = 150;
/**
 * Time without a relay after which a daemon follows the store itself, in milliseconds. The delay protects the
 * store from all daemons connecting at once.
 */
const STORE_FALLBACK_DELAY_MS = 1000;
/**
 * Milliseconds without a report after which a relay is called even by the peer that usually waits for its
 * call.
 */
const RELAY_UNRESPONSIVE_AFTER_MS = 2 * REPORT_INTERVAL_MS + 100;
/** Time for which the attached relay may be stale before this daemon switches to another, in milliseconds. */
const STALE_RELAY_TIMEOUT_MS = 700;

const RELAY_REPORT_SCOPES: readonly ReportScope[] = ['attached'];
const ALL_SCOPES: readonly ReportScope[] = ['attached', 'relay'];

/** Exchanges the state of one daemon with the others. */
export class PeerExchange extends BackgroundService {
  private readonly relaysBeingCalled = new Set<string>();
  private readonly avoidedUntil = new Map<string, number>();
  private readonly heldCalls: HeldCalls;
  private readonly changeTransfer: ChangeTransfer;
  private readonly recordTransfer: RecordTransfer;
  private readonly crashMarkTransfer: CrashMarkTransfer;
  private readonly paceTransfer: PaceTransfer;
  /** Monotonic time of the last report of each relay. */
  private readonly lastReportAt = new Map<string, number>();
  /** Monotonic time since which no relay has answered. */
  private unattachedSince: number | undefined;
  private topologyMembers: readonly Member[] = [];
  private topology: RelayTopology<Member>;
  /** Relay that this daemon is attached to. */
  private attachedRelay: Member | undefined;
  private readonly staleness: StalenessTracker;
  private readonly followerTracker: FollowerWatch;
  private hasLoggedUnattached = false;

  constructor(private readonly options: PeerExchangeOptions) {
    super(options.clock, logTaskFailures(options.log));
    this.followerTracker = new FollowerWatch(options.clock);
    this.heldCalls = new HeldCalls(options.clock);
    this.crashMarkTransfer = new CrashMarkTransfer(options.crashMarks, options.clock);
    this.paceTransfer = new PaceTransfer(options.paces, options.clock);
    const { clock, records, urgentSources } = options;
    this.recordTransfer = new RecordTransfer({ sets: records.sets, urgentSources, clock });
    this.staleness = new StalenessTracker(clock, () => this.recordTransfer.newestUrgentPosition());
    this.topology = relayTopology(options.self, []);
    const { self, peers, onChanges, onBackendNews, failures } = options;
    const relays = (): readonly Member[] => this.topology.relays;
    this.changeTransfer = new ChangeTransfer({
      selfId: self.id,
      relays,
      peers,
      onChanges,
      onBackendNews,
      failures,
      clock,
    });
  }

  /** Starts the exchange. The peer network must be listening. */
  start(): void {
    const { peers } = this.options;
    peers.handle(stateReportMethod, (message) => this.onReport(message));
    peers.handle(attachMethod, (message) => this.onAttach(message));
    this.changeTransfer.start();
    this.tasks.loop(
      'exchange',
      () => this.pauseMs(),
      () => this.step(),
    );
  }

  get isRelay(): boolean {
    return this.topology.isRelay;
  }

  /** Whether the records of this daemon are current: it follows the store, or exchanges reports with a relay that does. */
  get isViewCurrent(): boolean {
    if (this.options.records.isFollowing) return true;
    return (
      this.topology.isRelay && this.topology.relays.some(({ id }) => this.followerTracker.isFollowing(id))
    );
  }

  /** Newest position of this daemon among the urgent kinds of records. */
  get newestUrgentPosition(): StorePosition {
    return this.recordTransfer.newestUrgentPosition();
  }

  /**
   * Sends this daemon's state now: to all relays if it is a relay, otherwise to the one it is attached to.
   */
  reportNow(): void {
    const { self, coordinators, ownClaims } = this.options;
    coordinators.accept(self.id, 'own', this.toClaims(ownClaims()));
    const attachedTo = this.attachedRelay === undefined ? [] : [this.attachedRelay];
    this.reportTo(this.topology.isRelay ? this.topology.relays : attachedTo);
  }

  /**
   * Each report is answered with a report, so of two relays only the one with the smaller id calls the other.
   * Records are only sent to callers, so a relay that does not follow the store also calls those that do.
   */
  private reportToRelays(): void {
    const { self, clock, records } = this.options;
    const oldest = clock.monotonic() - RELAY_UNRESPONSIVE_AFTER_MS;
    const isCalled = ({ id }: Member): boolean =>
      self.id < id ||
      (this.lastReportAt.get(id) ?? -Infinity) < oldest ||
      (!records.isFollowing && this.followerTracker.isFollowing(id));
    this.reportTo(this.topology.relays.filter(isCalled));
  }

  private reportTo(receivers: readonly Member[]): void {
    if (receivers.length === 0) return;
    const message = this.reportMessage(this.topology.isRelay ? RELAY_REPORT_SCOPES : []);
    for (const relay of receivers) void this.report(relay, message);
  }

  /** Announces a change of residency to all daemons, including this one. */
  announce(change: ResidencyChange): void {
    this.changeTransfer.announceChange(change);
  }

  /** Announces a notice of a back end to all other daemons. */
  announceNews(news: BackendNews): void {
    this.changeTransfer.announceNews(news);
  }

  /** Forwards an urgent record: releases the held calls and reports to the other relays. */
  forwardUrgentRecords(): void {
    this.heldCalls.releaseAll();
    if (this.topology.isRelay && this.options.records.isFollowing) this.reportNow();
  }

  /**
   * Reports that the store has stopped answering, so that another relay follows it before the next regular
   * report.
   */
  reportStoreLost(): void {
    if (this.topology.isRelay) this.reportNow();
  }

  /** Forwards new crash marks to other daemons. */
  forwardCrashMarks(): void {
    this.heldCalls.releaseAll();
    this.reportNow();
  }

  /**
   * Observes another daemon's position in the urgent records; avoids the attached relay if it stays stale.
   */
  observeUrgentPosition(position: RecordPosition): void {
    this.staleness.observe(position);
    if (this.attachedRelay === undefined || this.staleness.staleForMs < STALE_RELAY_TIMEOUT_MS) return;
    this.staleness.restartTimer();
    this.avoid(this.attachedRelay, 'behind');
  }

  private async step(): Promise<void> {
    const { self, members, coordinators, ownClaims, isGroupKnown } = this.options;
    if (!isGroupKnown()) return;
    const wasRelay = this.topology.isRelay;
    this.updateTopology(self, members());
    if (wasRelay !== this.topology.isRelay) this.changeRole();
    coordinators.accept(self.id, 'own', this.toClaims(ownClaims()));
    if (this.topology.isRelay) {
      this.attachedRelay = undefined;
      this.unattachedSince = undefined;
      this.options.records.followStore(this.shouldFollowStore());
      this.reportToRelays();
    } else await this.attach();
  }

  private pauseMs(): number {
    if (!this.options.isGroupKnown()) return GROUP_POLL_INTERVAL_MS;
    if (this.topology.isRelay) return REPORT_INTERVAL_MS;
    return this.attachedRelay === undefined ? REATTACH_PAUSE_MS : ATTACH_PAUSE_MS;
  }

  /** Recomputes the relays when the members have changed. */
  private updateTopology(self: Member, members: readonly Member[]): void {
    if (members === this.topologyMembers) return;
    this.topologyMembers = members;
    this.topology = relayTopology(self, members);
  }

  /** Whether fewer relays than required follow the store among those that precede this one. */
  private shouldFollowStore(): boolean {
    return this.followerTracker.countFollowing(this.topology.precedingFollowers) < STORE_FOLLOWER_COUNT;
  }

  /** Reports arrive by another path from now on; those of the previous path would be counted twice. */
  private changeRole(): void {
    const { loads, coordinators, log } = this.options;
    loads.dropReports();
    this.paceTransfer.dropReports();
    coordinators.dropReports();
    log.changed('exchange_role', { relay: this.topology.isRelay, relays: this.topology.relays.length });
  }

  private async report(relay: Member, message: StateReportMessage): Promise<void> {
    if (this.relaysBeingCalled.has(relay.id)) return;
    this.relaysBeingCalled.add(relay.id);
    try {
      const options = { timeoutMs: REPORT_TIMEOUT_MS, isAdaptive: true };
      const crashMarks = this.crashMarkTransfer.reportFor(relay.id);
      const scopes = message.isRelay ? RELAY_REPORT_SCOPES : [];
      const state = this.paceTransfer.withPaces(relay.id, message.state, scopes);
      const request = { ...message, state, crashMarks };
      const answer = await this.options.peers.call(relay.address, stateReportMethod, request, options);
      this.crashMarkTransfer.receive(relay.id, answer.crashMarks);
      if (answer.isRelay) this.receiveRelayReport(relay.id, answer);
      this.recordTransfer.merge(answer.updates);
    } catch (error) {
      // The next report follows soon, and membership detects whether the relay has failed.
      this.options.failures.record('report', relay.id, error);
    } finally {
      this.relaysBeingCalled.delete(relay.id);
    }
  }

  /** Attaches to the first relay that answers. */
  private async attach(): Promise<void> {
    const { records, clock, log } = this.options;
    const now = clock.monotonic();
    for (const relay of this.topology.zoneRelays) {
      if ((this.avoidedUntil.get(relay.id) ?? 0) > now) continue;
      if (await this.attachTo(relay)) return;
    }
    this.attachedRelay = undefined;
    this.unattachedSince ??= now;
    if (clock.monotonic() - this.unattachedSince < STORE_FALLBACK_DELAY_MS) return;
    if (!this.hasLoggedUnattached)
      log.warned('exchange_unattached', { relays: this.topology.zoneRelays.length });
    this.hasLoggedUnattached = true;
    records.followStore(true);
  }

  private async attachTo(relay: Member): Promise<boolean> {
    const { peers, records, log } = this.options;
    const options = { timeoutMs: REPORT_INTERVAL_MS + ATTACH_GRACE_MS };
    let answer: AttachAnswer;
    try {
      answer = await peers.call(relay.address, attachMethod, this.attachMessage(relay.id), options);
    } catch (error) {
      this.options.failures.record('attach', relay.id, error);
      this.avoid(relay, 'no answer');
      return false;
    }
    if (!answer.isRelay) {
      this.avoid(relay, 'no relay');
      return false;
    }
    if (this.attachedRelay?.id !== relay.id) {
      log.changed('exchange_attached', { relay: relay.id, before: this.attachedRelay?.id });
      this.options.loads.dropReports();
      this.paceTransfer.dropReports();
      this.options.coordinators.dropReports();
    }
    this.attachedRelay = relay;
    this.crashMarkTransfer.receive(relay.id, answer.crashMarks);
    this.unattachedSince = undefined;
    this.hasLoggedUnattached = false;
    this.applyReport(relay.id, 'all', answer.state);
    this.recordTransfer.merge(answer.updates);
    this.changeTransfer.receive(answer);
    records.followStore(!records.sets.every((set) => set.isListed));
    return true;
  }

  private avoid(relay: Member, cause: 'no answer' | 'no relay' | 'behind'): void {
    const { clock, log } = this.options;
    const avoidanceMs = cause === 'no relay' ? NON_RELAY_AVOIDANCE_MS : RELAY_AVOIDANCE_MS;
    this.avoidedUntil.set(relay.id, clock.monotonic() + avoidanceMs);
    log.changed('exchange_relay_avoided', { relay: relay.id, cause });
  }

  private onReport(message: StateReportMessage): StateReportAnswer {
    const { records } = this.options;
    if (message.isRelay) this.receiveRelayReport(message.from, message);
    else this.applyReport(message.from, 'attached', message.state);
    records.observePositions(message.positions);
    this.crashMarkTransfer.receive(message.from, message.crashMarks);
    this.fetchUrgent(message);
    return {
      state: message.isRelay ? this.stateForRelay(message.from) : EMPTY_STATE,
      isRelay: this.topology.isRelay,
      needsRecords: !records.isFollowing,
      updates: message.needsRecords ? this.recordTransfer.updatesFor(message.positions) : [],
      crashMarks: this.crashMarkTransfer.reportFor(message.from),
    };
  }

  /**
   * Applies the report of another relay, from a request or a response. A daemon that is not a relay ignores
   * it: it receives everything from the relay it is attached to, and a partial report would hide coordinators
   * and loads until that relay answers again, up to 0.3 s later. Demands fail meanwhile because their
   * coordinator seems absent: 486 of 1,726 with 84 daemons while workers crashed.
   */
  private receiveRelayReport(
    relayId: string,
    { state, needsRecords }: StateReportAnswer | StateReportMessage,
  ): void {
    if (!this.topology.isRelay) return;
    this.applyReport(relayId, 'relay', state);
    this.followerTracker.recordReport(relayId, !needsRecords);
    this.lastReportAt.set(relayId, this.options.clock.monotonic());
    this.options.records.followStore(this.shouldFollowStore());
  }

  /**
   * Fetches an urgent record at once when another relay reports a newer one and this relay does not follow
   * the store.
   */
  private fetchUrgent({ from, positions }: StateReportMessage): void {
    if (!this.topology.isRelay || this.options.records.isFollowing) return;
    if (!this.recordTransfer.isOutdatedBy(positions)) return;
    const sender = this.topology.relays.find(({ id }) => id === from);
    if (sender !== undefined) void this.report(sender, this.reportMessage(RELAY_REPORT_SCOPES));
  }

  private async onAttach(message: AttachMessage): Promise<AttachAnswer> {
    if (!this.topology.isRelay) return NOT_A_RELAY_ANSWER;
    this.applyReport(message.from, 'attached', message.state);
    this.options.records.observePositions(message.positions);
    this.crashMarkTransfer.receive(message.from, message.crashMarks);
    if (!this.hasUrgentUpdateFor(message)) await this.heldCalls.hold(REPORT_INTERVAL_MS);
    const { loads, coordinators } = this.options;
    const combined = loads.combinedReport(ALL_SCOPES, message.from);
    const state = toStateReport(
      message.needsDetail ? combined : summarizedReport(combined),
      coordinators.claims(['own', ...ALL_SCOPES]),
    );
    return {
      isRelay: this.topology.isRelay,
      state: this.paceTransfer.withPaces(message.from, state, ALL_SCOPES),
      updates: this.recordTransfer.updatesFor(message.positions, message.from),
      ...this.changeTransfer.readFor(message.from),
      crashMarks: this.crashMarkTransfer.reportFor(message.from),
    };
  }

  private hasUrgentUpdateFor({ from, positions }: AttachMessage): boolean {
    if (!this.changeTransfer.hasRecentReader(from)) return true;
    return this.recordTransfer.hasUrgentUpdateFor(positions) || this.crashMarkTransfer.hasUpdateFor(from);
  }

  private applyReport(source: string, scope: ReportScope, state: StateReport): void {
    this.options.loads.acceptReport(source, scope, toLoadReport(state));
    this.paceTransfer.receive(source, scope, state);
    this.options.coordinators.accept(source, scope, state.claims);
  }

  private attachMessage(relayId: string): AttachMessage {
    const message = this.reportMessage([]);
    return {
      ...message,
      state: this.paceTransfer.withPaces(relayId, message.state, []),
      crashMarks: this.crashMarkTransfer.reportFor(relayId),
      needsDetail: this.options.ownClaims().length > 0,
    };
  }

  private reportMessage(scopes: readonly ReportScope[]): StateReportMessage {
    const { self, records } = this.options;
    return {
      from: self.id,
      isRelay: this.topology.isRelay,
      state: this.ownState(scopes),
      positions: this.recordTransfer.positions(),
      needsRecords: !records.isFollowing,
    };
  }

  private stateForRelay(relayId: string): StateReport {
    return this.paceTransfer.withPaces(relayId, this.ownState(RELAY_REPORT_SCOPES), RELAY_REPORT_SCOPES);
  }

  private ownState(scopes: readonly ReportScope[]): StateReport {
    const { loads, coordinators } = this.options;
    return toStateReport(loads.combinedReport(scopes), coordinators.claims(['own', ...scopes]));
  }

  private toClaims(claims: readonly ZoneClaim[]): StateReport['claims'] {
    const { id, address } = this.options.self;
    return claims.map((claim) => ({ ...claim, holder: id, address }));
  }
}

const EMPTY_STATE: StateReport = { loads: [], demand: [], claims: [] };
const NOT_A_RELAY_ANSWER: AttachAnswer = {
  isRelay: false,
  state: EMPTY_STATE,
  updates: [],
  changes: [],
};
