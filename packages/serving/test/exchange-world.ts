/** Simulated daemons that exchange their state and share a store. */
import { LoadTracker, WorkerPaces } from '@woodbarrow/backends';
import { CoordinatorDirectory, PeerExchange, type Member } from '@woodbarrow/exchange';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import type { BackendNews, ResidencyChange, ZoneClaim } from '@woodbarrow/protocol';
import { CrashMarks } from '@woodbarrow/quarantine';
import { RecordFollower, type DeploymentSink, type FeedKind } from '../src/index.js';
import { InMemoryRecordStore } from './in-memory-record-store.js';

export const CONFIGURATION = 'settings';
export const BACK_ENDS = 'workers';
const noSink: DeploymentSink = {
  configuration: () => undefined,
  backEndsListed: () => undefined,
  backEndChanged: () => undefined,
  backEndGone: () => undefined,
  quarantineListed: () => undefined,
  contentQuarantined: () => undefined,
  quarantineLifted: () => undefined,
};

/** Crash marks that count how often they are included in a message. */
class CountingCrashMarks extends CrashMarks {
  timesSent = 0;

  override entries(): ReturnType<CrashMarks['entries']> {
    this.timesSent += 1;
    return super.entries();
  }
}

/** Exchange of one daemon, with everything that it received. */
export class ExchangingDaemon {
  readonly loads: LoadTracker;
  readonly paces: WorkerPaces;
  readonly coordinators: CoordinatorDirectory;
  readonly crashMarks: CountingCrashMarks;
  readonly changes: ResidencyChange[] = [];
  readonly news: BackendNews[] = [];
  readonly values = new Map<string, unknown>();
  claims: ZoneClaim[] = [];
  readonly exchange: PeerExchange;
  private readonly follower: RecordFollower;
  private readonly stopped = new AbortController();

  constructor(
    readonly self: Member,
    private readonly node: SimulatedNode,
    store: InMemoryRecordStore,
    members: () => readonly Member[],
  ) {
    const { process: clock, peers, random } = node;
    this.loads = new LoadTracker(clock);
    this.paces = new WorkerPaces(clock);
    this.coordinators = new CoordinatorDirectory(clock, self.id);
    this.crashMarks = new CountingCrashMarks(clock);
    this.follower = new RecordFollower({
      feed: {
        store: store.clientOf(self.id, clock),
        kinds: [this.kind(CONFIGURATION, true), this.kind(BACK_ENDS, false)],
      },
      sink: noSink,
      onUrgent: () => {
        this.exchange.forwardUrgentRecords();
      },
      onRestored: () => undefined,
      onStoreLost: () => {
        this.exchange.reportStoreLost();
      },
      clock,
      random,
      log: silentLog,
    });
    this.exchange = new PeerExchange({
      self,
      members,
      isGroupKnown: () => true,
      peers,
      loads: this.loads,
      paces: this.paces,
      coordinators: this.coordinators,
      records: this.follower,
      urgentSources: [CONFIGURATION],
      ownClaims: () => this.claims,
      crashMarks: this.crashMarks,
      onChanges: (changes) => this.changes.push(...changes),
      onBackendNews: (news) => this.news.push(...news),
      failures: new CallFailures(clock, silentLog),
      clock,
      log: silentLog,
    });
  }

  start(): void {
    void this.follower.run(this.stopped.signal);
    this.exchange.start();
  }

  /** Monotonic time of this daemon, in milliseconds. */
  get now(): number {
    return this.node.process.monotonic();
  }

  kill(): void {
    this.stopped.abort();
    this.exchange.abort();
    this.node.process.kill();
  }

  freeze(durationMs: number): void {
    this.node.process.pause(durationMs);
  }

  private kind(source: string, isUrgent: boolean): FeedKind {
    return {
      source,
      isUrgent,
      pauseMs: isUrgent ? 0 : 400,
      handlers: () => ({
        onList: (records) => {
          for (const name of [...this.values.keys()]) {
            if (name.startsWith(`${source}/`)) this.values.delete(name);
          }
          for (const record of records) this.values.set(`${source}/${record.name}`, record.value);
        },
        onChange: (record) => this.values.set(`${source}/${record.name}`, record.value),
        onRemoved: (name) => this.values.delete(`${source}/${name}`),
      }),
    };
  }
}

/** Simulated daemons of two zones that share a store. */
export class ExchangeWorld {
  readonly cluster = new SimulatedCluster({ seed: 7 });
  readonly store = new InMemoryRecordStore();
  readonly daemons: ExchangingDaemon[] = [];
  private readonly members: Member[] = [];

  async start(count: number): Promise<void> {
    this.store.put(CONFIGURATION, 'main', 1);
    this.store.put(BACK_ENDS, 'w1', 'here');
    for (let index = 0; index < count; index += 1) {
      const zone = index % 2 === 0 ? 'alpha' : 'beta';
      const id = `daemon-${String(index)}`;
      const node = await this.cluster.add(id, zone);
      const self = { id, address: node.peers.address, zone, capacity: 100 };
      this.members.push(self);
      this.daemons.push(new ExchangingDaemon(self, node, this.store, () => this.members));
    }
    for (const daemon of this.daemons) daemon.start();
    await this.cluster.advance(12_000);
  }

  relays(zone?: string): ExchangingDaemon[] {
    return this.daemons.filter(
      ({ exchange, self }) => exchange.isRelay && (zone === undefined || self.zone === zone),
    );
  }

  /** Returns the ids of the daemons for which a condition does not hold. */
  daemonsFailing(condition: (daemon: ExchangingDaemon) => boolean, among = this.daemons): string[] {
    return among.filter((daemon) => !condition(daemon)).map((daemon) => daemon.self.id);
  }
}
