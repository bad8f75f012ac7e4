/**
 * What a daemon tells others again and again, and is told: load, demand, claims of zones, and records of the store.
 * Relays exchange reports with all other relays and follow the store themselves. Another daemon attaches to a relay
 * of its zone: it sends its report, and the relay answers after a while, or at once when something urgent comes.
 * A daemon that finds no relay follows the store itself until it does.
 */
import { summarizedReport, type LoadBook, type ReportScope } from '@woodbarrow/backends';
import { relayTopology, STORE_FOLLOWERS, type RelayTopology } from '@woodbarrow/coordination';
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
import { BehindTracker } from './staleness-tracker.js';
import { ChangeTransfer } from './change-transfer.js';
import type { CoordinatorDirectory } from './coordinator-directory.js';
import { CrashMarkTransfer, type SharedCrashMarks } from './crash-mark-transfer.js';
import { HeldCalls } from './held-calls.js';
import { FollowerTracker } from './follower-tracker.js';
import type { RecordSet } from './record-set.js';
import { RecordTransfer } from './record-transfer.js';
import { toLoadReport, toStateReport } from './state-report.js';

/** A daemon as seen by the others. */
export interface Member {
  readonly id: string;
  /** Peer address. */
  readonly address: string;
  readonly zone: string;
  /** What its machine bears, in hundredths of a core. */
  readonly capacity: number;
}

/** Records of the store as this daemon follows them. */
export interface FollowedRecords {
  readonly sets: readonly RecordSet[];
  /** Whether the store answers this daemon. */
  readonly isFollowing: boolean;
  /** Whether to follow the store itself. */
  followStore(wanted: boolean): void;
  /** Another daemon has come this far. */
  noteElsewhere(positions: readonly SourcePosition[]): void;
}

/** Options of {@link PeerExchange}. */
export interface PeerExchangeOptions {
  readonly self: Member;
  /** Daemons that may be relays. */
  readonly members: () => readonly Member[];
  /** Whether enough is known of them to tell the relays; nothing is done before. */
  readonly isGroupKnown: () => boolean;
  readonly peers: PeerNetwork;
  readonly loads: LoadBook;
  readonly coordinators: CoordinatorDirectory;
  readonly records: FollowedRecords;
  /** Kinds of records whose changes are passed on at once. */
  readonly urgentSources: readonly string[];
  /** Zones that this daemon coordinates. */
  readonly ownClaims: () => readonly ZoneClaim[];
  readonly onChanges: (changes: readonly ResidencyChange[]) => void;
  /** Called with what back ends said to other daemons. */
  readonly onBackendNews: (news: readonly BackendNews[]) => void;
  /** Processes that ended under requests. */
  readonly crashMarks: SharedCrashMarks;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Pause between two reports of a relay, and time for which it holds the call of a daemon attached to it. */
export const REPORT_INTERVAL_MS = 300;
const REPORT_TIMEOUT_MS = 1000;
/** Time beyond the hold after which a relay that has not answered is given up. */
const ATTACH_GRACE_MS = 900;
/** Pause after an answer that came at once, so that many urgent changes cost few calls. */
const ATTACH_PAUSE_MS = 30;
/** Time for which a relay that did not answer, or is behind, is not tried again. */
const RELAY_AVOIDANCE_MS = 3000;
/** Time for which a daemon that was no relay is not tried again: views differ for a moment when members come and go. */
const NON_RELAY_AVOIDANCE_MS = 500;
/** Pause before it is looked again whether the group is known: no call is made for it, and nothing is served before. */
const GROUP_POLL_INTERVAL_MS = 20;
/** Pause after no relay answered. */
const REATTACH_PAUSE_MS = 150;
/** Time without a relay after which a daemon follows the store itself: all of them at once would swamp it. */
const STORE_FALLBACK_DELAY_MS = 1000;
/** A relay that has not been heard of for this long is called by the one that usually waits for its call. */
const RELAY_UNRESPONSIVE_AFTER_MS = 2 * REPORT_INTERVAL_MS + 100;
/** A newer record elsewhere is looked for after this long. */
const STALE_RELAY_TIMEOUT_MS = 700;

const RELAY_REPORT_SCOPES: readonly ReportScope[] = ['attached'];
const ALL_SCOPES: readonly ReportScope[] = ['attached', 'relay'];

/** Exchange of state between one daemon and the others. */
export class PeerExchange extends BackgroundService {
  private readonly relaysBeingCalled = new Set<string>();
  private readonly avoidedUntil = new Map<string, number>();
  private readonly heldCalls: HeldCalls;
  private readonly changeTransfer: ChangeTransfer;
  private readonly recordTransfer: RecordTransfer;
  private readonly crashMarkTransfer: CrashMarkTransfer;
  /** When each relay was last heard of, monotonic. */
  private readonly lastReportAt = new Map<string, number>();
  /** Monotonic time since which no relay has answered. */
  private unattachedSince: number | undefined;
  private topologyMembers: readonly Member[] = [];
  private topology: RelayTopology<Member>;
  /** Relay that this daemon is attached to. */
  private attachedRelay: Member | undefined;
  private readonly staleness: BehindTracker;
  private readonly followerTracker: FollowerTracker;
  private hasLoggedUnattached = false;

  constructor(private readonly options: PeerExchangeOptions) {
    super(options.clock, logTaskFailures(options.log));
    this.followerTracker = new FollowerTracker(options.clock);
    this.heldCalls = new HeldCalls(options.clock);
    this.crashMarkTransfer = new CrashMarkTransfer(options.crashMarks, options.clock);
    const { clock, records, urgentSources } = options;
    this.recordTransfer = new RecordTransfer({ sets: records.sets, urgentSources, clock });
    this.staleness = new BehindTracker(clock, () => this.recordTransfer.newestUrgentPosition());
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

  /** Starts. The peer network must be listening. */
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

  /** Whether this daemon is a relay. */
  get isRelay(): boolean {
    return this.topology.isRelay;
  }

  /** How far this daemon has come with the records that others are to have at once. */
  get newestUrgent(): StorePosition {
    return this.recordTransfer.newestUrgentPosition();
  }

  /** Tells all relays of this daemon's state now. */
  tellNow(): void {
    const { self, coordinators, ownClaims } = this.options;
    coordinators.accept(self.id, 'own', this.toClaims(ownClaims()));
    const attachedTo = this.attachedRelay === undefined ? [] : [this.attachedRelay];
    this.reportTo(this.topology.isRelay ? this.topology.relays : attachedTo);
  }

  /**
   * Each report is answered with one, so of two relays only the one whose name comes first calls the other; but records
   * come only to those that ask.
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

  /** Tells all daemons of a change of residency; this one is told as well. */
  announce(change: ResidencyChange): void {
    this.changeTransfer.announceChange(change);
  }

  /** Tells all other daemons what a back end said to this one. */
  announceNews(news: BackendNews): void {
    this.changeTransfer.announceNews(news);
  }

  /** A record of an urgent kind has been seen: calls that are held are answered, and other relays told. */
  passOnUrgent(): void {
    this.heldCalls.releaseAll();
    if (this.topology.isRelay && this.options.records.isFollowing) this.tellNow();
  }

  /** The store has stopped to answer: another relay is to follow it, and not only after the next report. */
  passOnStoreLost(): void {
    if (this.topology.isRelay) this.tellNow();
  }

  /** Crash marks came up that others do not know yet. */
  passOnCrashMarks(): void {
    this.heldCalls.releaseAll();
    this.tellNow();
  }

  /** Another daemon, met by chance, has come this far with records of urgent kinds. */
  noteUrgentElsewhere(position: RecordPosition): void {
    this.staleness.note(position);
    if (this.attachedRelay === undefined || this.staleness.behindMs < STALE_RELAY_TIMEOUT_MS) return;
    this.staleness.restart();
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

  /** Works the relays out anew when the members have changed. */
  private updateTopology(self: Member, members: readonly Member[]): void {
    if (members === this.topologyMembers) return;
    this.topologyMembers = members;
    this.topology = relayTopology(self, members);
  }

  /** Whether too few of the relays that come before this one follow the store now. */
  private shouldFollowStore(): boolean {
    return this.followerTracker.countFollowing(this.topology.precedingFollowers) < STORE_FOLLOWERS;
  }

  /** Reports come another way from now on; those of the former way would count twice. */
  private changeRole(): void {
    const { loads, coordinators, log } = this.options;
    loads.dropReports();
    coordinators.dropReports();
    log.changed('exchange_role', { relay: this.topology.isRelay, relays: this.topology.relays.length });
  }

  private async report(relay: Member, message: StateReportMessage): Promise<void> {
    if (this.relaysBeingCalled.has(relay.id)) return;
    this.relaysBeingCalled.add(relay.id);
    try {
      const options = { timeoutMs: REPORT_TIMEOUT_MS };
      const crashMarks = this.crashMarkTransfer.reportFor(relay.id);
      const request = { ...message, crashMarks };
      const answer = await this.options.peers.call(relay.address, stateReportMethod, request, options);
      this.crashMarkTransfer.receive(relay.id, answer.crashMarks);
      if (answer.isRelay) this.receiveRelayReport(relay.id, answer);
      this.recordTransfer.merge(answer.updates);
    } catch (error) {
      // The next report follows soon; membership finds out whether the relay is gone.
      this.options.failures.note('report', relay.id, error);
    } finally {
      this.relaysBeingCalled.delete(relay.id);
    }
  }

  /** Attaches to the first relay that answers. */
  private async attach(): Promise<void> {
    const { records, clock, log } = this.options;
    const now = clock.monotonic();
    for (const relay of this.topology.ownRelays) {
      if ((this.avoidedUntil.get(relay.id) ?? 0) > now) continue;
      if (await this.attachTo(relay)) return;
    }
    this.attachedRelay = undefined;
    this.unattachedSince ??= now;
    if (clock.monotonic() - this.unattachedSince < STORE_FALLBACK_DELAY_MS) return;
    if (!this.hasLoggedUnattached)
      log.warned('exchange_unattached', { relays: this.topology.ownRelays.length });
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
      this.options.failures.note('attach', relay.id, error);
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
    records.noteElsewhere(message.positions);
    this.crashMarkTransfer.receive(message.from, message.crashMarks);
    this.fetchUrgent(message);
    return {
      state: message.isRelay ? this.ownState(RELAY_REPORT_SCOPES) : EMPTY_STATE,
      isRelay: this.topology.isRelay,
      needsRecords: !records.isFollowing,
      updates: message.needsRecords ? this.recordTransfer.updatesFor(message.positions) : [],
      crashMarks: this.crashMarkTransfer.reportFor(message.from),
    };
  }

  /**
   * Takes what another relay told, be it asked or asking. A daemon that is no relay hears of all others from the relay it is attached to:
   * what relays tell each other, or the empty answer to its own report, would wipe coordinators and loads until that one answers again,
   * after up to 0.3 s. Each end of a worker did so at the daemons that told of it: of 1,726 demands of the first 12 s of a day of 84 daemons
   * 486 had no answer, since their coordinator seemed gone.
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

  /** A relay that does not follow the store asks at once for an urgent record that another one has told of. */
  private fetchUrgent({ from, positions }: StateReportMessage): void {
    if (!this.topology.isRelay || this.options.records.isFollowing) return;
    if (!this.recordTransfer.isOutdatedBy(positions)) return;
    const sender = this.topology.relays.find(({ id }) => id === from);
    if (sender !== undefined) void this.report(sender, this.reportMessage(RELAY_REPORT_SCOPES));
  }

  private async onAttach(message: AttachMessage): Promise<AttachAnswer> {
    if (!this.topology.isRelay) return NOT_A_RELAY_ANSWER;
    this.applyReport(message.from, 'attached', message.state);
    this.options.records.noteElsewhere(message.positions);
    this.crashMarkTransfer.receive(message.from, message.crashMarks);
    if (!this.hasUrgentUpdateFor(message)) await this.heldCalls.hold(REPORT_INTERVAL_MS);
    const { loads, coordinators } = this.options;
    const combined = loads.combinedReport(ALL_SCOPES, message.from);
    return {
      isRelay: this.topology.isRelay,
      state: toStateReport(
        message.needsDetail ? combined : summarizedReport(combined),
        coordinators.claims(['own', ...ALL_SCOPES]),
      ),
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
    this.options.loads.accept(source, scope, toLoadReport(state));
    this.options.coordinators.accept(source, scope, state.claims);
  }

  private attachMessage(relayId: string): AttachMessage {
    return {
      ...this.reportMessage([]),
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
