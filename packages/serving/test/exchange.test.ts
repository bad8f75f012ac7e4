import { expect } from 'chai';
import { LoadBook } from '@woodbarrow/backends';
import { relayTopology, STORE_FOLLOWERS } from '@woodbarrow/coordination';
import { CoordinatorDirectory, PeerExchange, type Member } from '@woodbarrow/exchange';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import type { BackendNews, ResidencyChange, ZoneClaim } from '@woodbarrow/protocol';
import { CrashMarks } from '@woodbarrow/quarantine';
import { RecordFollower, type DeploymentSink, type FeedKind } from '../src/index.js';
import { InMemoryRecordStore } from './in-memory-record-store.js';

const CONFIGURATION = 'settings';
const BACK_ENDS = 'workers';
/** Time in which the word that a worker leaves is to be known everywhere, in milliseconds: the contract gives 3000 until the last request. */
const LEAVE_PROPAGATION_LIMIT_MS = 2900;
const noSink: DeploymentSink = {
  configuration: () => undefined,
  backEndsListed: () => undefined,
  backEndChanged: () => undefined,
  backEndGone: () => undefined,
  quarantineListed: () => undefined,
  contentQuarantined: () => undefined,
  quarantineLifted: () => undefined,
};

/** Marks that count how often they were put into a message. */
class CountingCrashMarks extends CrashMarks {
  timesSent = 0;

  override entries(): ReturnType<CrashMarks['entries']> {
    this.timesSent += 1;
    return super.entries();
  }
}

/** One daemon's exchange, and what it has learned. */
class ExchangingDaemon {
  readonly loads: LoadBook;
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
    this.loads = new LoadBook(clock);
    this.coordinators = new CoordinatorDirectory(clock, self.id);
    this.crashMarks = new CountingCrashMarks(clock);
    this.follower = new RecordFollower({
      feed: {
        store: store.clientOf(self.id, clock),
        kinds: [this.kind(CONFIGURATION, true), this.kind(BACK_ENDS, false)],
      },
      sink: noSink,
      onUrgent: () => {
        this.exchange.passOnUrgent();
      },
      onRestored: () => undefined,
      onStoreLost: () => {
        this.exchange.passOnStoreLost();
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

  /** Monotonic time of this daemon. */
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
        onGone: (name) => this.values.delete(`${source}/${name}`),
      }),
    };
  }
}

/** Daemons of two zones and a store. */
class ExchangeWorld {
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

  /** Daemons for which a condition does not hold. */
  daemonsFailing(condition: (daemon: ExchangingDaemon) => boolean, among = this.daemons): string[] {
    return among.filter((daemon) => !condition(daemon)).map((daemon) => daemon.self.id);
  }
}

function hasConfiguration(value: number): (daemon: ExchangingDaemon) => boolean {
  return (daemon) => daemon.values.get(`${CONFIGURATION}/main`) === value;
}

describe('relay topology', () => {
  const members = Array.from({ length: 30 }, (_, index) => ({
    id: `d${String(index)}`,
    zone: `z${String(index % 3)}`,
    capacity: 100,
  }));

  it('makes every daemon of a small group a relay', () => {
    const few = members.slice(0, 7);
    for (const self of few) {
      const { isRelay, relays } = relayTopology(self, few);
      expect(isRelay).to.equal(true);
      expect(relays).to.have.lengthOf(6);
    }
  });

  it('chooses two relays a zone in a large one, the same in every view', () => {
    const relays = members.filter((self) => relayTopology(self, members).isRelay);
    expect(relays).to.have.lengthOf(6);
    for (const self of members) {
      const { ownRelays, relays: others } = relayTopology(self, members);
      const expected = relays.filter((relay) => relay.id !== self.id);
      expect(others.map((relay) => relay.id)).to.have.members(expected.map((relay) => relay.id));
      expect(ownRelays.every((relay) => relay.zone === self.zone)).to.equal(true);
    }
  });
});

describe('relay topology of unequal machines', () => {
  it('takes the machines that bear most', () => {
    const members = Array.from({ length: 30 }, (_, index) => ({
      id: `d${String(index)}`,
      zone: `z${String(index % 3)}`,
      capacity: index < 9 ? 135 : 14,
    }));
    const relays = members.filter((self) => relayTopology(self, members).isRelay);
    expect(relays).to.have.lengthOf(6);
    expect(relays.every(({ capacity }) => capacity === 135)).to.equal(true);
  });
});

describe('exchange among 20 daemons', () => {
  let world: ExchangeWorld;

  beforeEach(async () => {
    world = new ExchangeWorld();
    await world.start(20);
  });

  afterEach(() => {
    for (const daemon of world.daemons) daemon.kill();
  });

  it('lets only relays follow the store, and passes changes and removals on', async () => {
    world.store.takeCallers();
    world.store.put(CONFIGURATION, 'main', 2);
    world.store.put(BACK_ENDS, 'w2', 'here');
    world.store.remove(BACK_ENDS, 'w1');
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => values.has(`${BACK_ENDS}/w2`))).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => !values.has(`${BACK_ENDS}/w1`))).to.deep.equal([]);
    const callers = world.store.takeCallers();
    expect(world.relays().map(({ self }) => self.id)).to.include.members(callers);
    expect(callers).to.have.lengthOf(STORE_FOLLOWERS);
  });

  it('has all daemons begin anew when the store is restored, and take what is written then', async () => {
    const restore = world.store.takeSnapshot();
    for (let change = 0; change < 40; change += 1) world.store.put(BACK_ENDS, 'other', change);
    await world.cluster.advance(1500);
    restore();
    await world.cluster.advance(2000);
    expect(world.daemonsFailing(({ values }) => !values.has(`${BACK_ENDS}/other`))).to.deep.equal([]);
    world.store.put(CONFIGURATION, 'main', 2);
    world.store.put(BACK_ENDS, 'w1', 'leaves');
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => values.get(`${BACK_ENDS}/w1`) === 'leaves')).to.deep.equal(
      [],
    );
  });

  it('has daemons begin anew that the store does not answer, by the word of the others', async () => {
    const restore = world.store.takeSnapshot();
    for (let change = 0; change < 40; change += 1) world.store.put(BACK_ENDS, 'other', change);
    await world.cluster.advance(1500);
    const cutOff = world.relays('alpha');
    for (const { self } of cutOff) world.store.unreachableFor.add(self.id);
    restore();
    await world.cluster.advance(2000);
    world.store.put(BACK_ENDS, 'w1', 'leaves');
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(({ values }) => values.get(`${BACK_ENDS}/w1`) === 'leaves')).to.deep.equal(
      [],
    );
  });

  it('goes on where the revision that is watched from is given out again at once', async () => {
    const restore = world.store.takeSnapshot();
    world.store.put(BACK_ENDS, 'lost', 'here');
    await world.cluster.advance(1500);
    restore();
    // The watches under way go on from a revision that stands for another change now.
    world.store.put(BACK_ENDS, 'w2', 'here');
    world.store.put(BACK_ENDS, 'w3', 'here');
    await world.cluster.advance(3000);
    for (const name of ['w2', 'w3'])
      expect(
        world.daemonsFailing(({ values }) => values.has(`${BACK_ENDS}/${name}`)),
        name,
      ).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => !values.has(`${BACK_ENDS}/lost`))).to.deep.equal([]);
  });

  it('has other relays follow the store where it turns those away that did', async () => {
    world.store.takeCallers();
    await world.cluster.advance(3000);
    const before = world.store.takeCallers();
    for (const id of before) world.store.unreachableFor.add(id);
    await world.cluster.advance(2500);
    world.store.put(CONFIGURATION, 'main', 2);
    world.store.put(BACK_ENDS, 'w2', 'here');
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => values.has(`${BACK_ENDS}/w2`))).to.deep.equal([]);
    world.store.unreachableFor.clear();
    await world.cluster.advance(4000);
    world.store.takeCallers();
    await world.cluster.advance(3000);
    expect(world.store.takeCallers()).to.have.members(before);
  });

  it('passes urgent records on without waiting for the next report', async () => {
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(120);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
  });

  it('counts each request once at every daemon', async () => {
    const tickets = world.daemons.map(({ loads }) =>
      loads.start('w1', { model: 'm' }, { promptTokens: 10, outputTokens: 5 }),
    );
    for (const { loads } of world.daemons) loads.noteDemand('m');
    await world.cluster.advance(1200);
    expect(world.daemonsFailing(({ loads }) => loads.of('w1').requests === 20)).to.deep.equal([]);
    expect(world.daemonsFailing(({ loads }) => loads.of('w1').heldTokens === 300)).to.deep.equal([]);
    for (const ticket of tickets) ticket.ended();
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(({ loads }) => loads.of('w1').requests === 0)).to.deep.equal([]);
  });

  it('tells coordinators of the loads by target and of the demand', async () => {
    const coordinator = world.daemons.find(({ exchange }) => !exchange.isRelay);
    if (coordinator === undefined) throw new Error('all are relays');
    coordinator.claims = [
      { zone: 'alpha', fence: 3, storeLoads: 0, loading: [], leaseRevision: 1, confirmedAgoMs: 0 },
    ];
    for (const { loads } of world.daemons) {
      loads.start('w1', { model: 'm' }, { promptTokens: 1, outputTokens: 1 });
      loads.noteDemand('m');
    }
    await world.cluster.advance(1200);
    expect(coordinator.loads.requestsFor('w1', 'm')).to.equal(20);
    expect(coordinator.loads.demandFor('m')).to.be.within(14, 20);
    const hasReceivedClaim = ({ coordinators }: ExchangingDaemon) =>
      coordinators.of('alpha')?.memberId === coordinator.self.id;
    expect(world.daemonsFailing(hasReceivedClaim)).to.deep.equal([]);
    coordinator.claims = [];
    coordinator.exchange.tellNow();
    await world.cluster.advance(1000);
    expect(world.daemonsFailing((daemon) => !hasReceivedClaim(daemon))).to.deep.equal([]);
  });

  it('announces changes of residency to all, each once', async () => {
    const change = { backEndId: 'w1', model: 'm', resident: false };
    world.daemons[5]?.exchange.announce(change);
    await world.cluster.advance(600);
    expect(world.daemonsFailing(({ changes }) => changes.length === 1)).to.deep.equal([]);
  });

  it('announces what a back end said to one daemon to all others, each once and with its age', async () => {
    const reporter = world.daemons[5];
    reporter?.exchange.announceNews({
      kind: 'rate_limit',
      backEndId: 'w1',
      rateLimit: { requestsPerSecond: 2, heardAgoMs: 100 },
    });
    await world.cluster.advance(600);
    expect(world.daemonsFailing((daemon) => daemon === reporter || daemon.news.length === 1)).to.deep.equal(
      [],
    );
    for (const { news } of world.daemons) {
      for (const item of news)
        if (item.kind === 'rate_limit') expect(item.rateLimit.heardAgoMs).to.be.within(100, 600);
    }
  });

  it('tells all daemons within a second of a process that ended under a request, and then nothing more of it', async () => {
    const reporter = world.daemons.find(({ exchange }) => !exchange.isRelay);
    const endedAt = reporter?.now ?? 0;
    reporter?.crashMarks.add({
      content: 'c',
      processId: 'w1',
      begunAt: endedAt - 50,
      endedAt,
      isCleared: false,
    });
    reporter?.exchange.passOnCrashMarks();
    await world.cluster.advance(1000);
    expect(world.daemonsFailing(({ crashMarks }) => crashMarks.endsOf('c') === 1)).to.deep.equal([]);
    const sent = world.daemons.map(({ crashMarks }) => crashMarks.timesSent);
    await world.cluster.advance(3000);
    expect(world.daemons.map(({ crashMarks }) => crashMarks.timesSent)).to.deep.equal(sent);
  });

  it('forgets neither coordinators nor loads while daemons tell of processes that ended', async () => {
    const coordinator = world.relays('alpha')[0];
    if (coordinator === undefined) throw new Error('no relay');
    coordinator.claims = [
      { zone: 'alpha', fence: 3, storeLoads: 0, loading: [], leaseRevision: 1, confirmedAgoMs: 0 },
    ];
    coordinator.loads.start('w1', undefined, { promptTokens: 10, outputTokens: 5 });
    await world.cluster.advance(1500);
    const isKnown = ({ coordinators, loads }: ExchangingDaemon): boolean =>
      coordinators.of('alpha') !== undefined && loads.of('w1').requests === 1;
    for (const [index, { crashMarks, exchange, now }] of world.daemons.entries()) {
      const content = `c${String(index)}`;
      crashMarks.add({ content, processId: 'w2', begunAt: now - 50, endedAt: now, isCleared: false });
      exchange.passOnCrashMarks();
      for (let step = 0; step < 10; step += 1) {
        await world.cluster.advance(5);
        expect(world.daemonsFailing(isKnown), `after mark ${content}`).to.deep.equal([]);
      }
    }
  });

  it('brings daemons together that were told of different ends while a relay was killed', async () => {
    const [relay] = world.relays('alpha');
    const reporters = world.daemons.filter((daemon) => daemon !== relay).slice(0, 3);
    relay?.kill();
    reporters.forEach(({ crashMarks, now }, index) => {
      crashMarks.add({
        content: 'c',
        processId: `w${String(index)}`,
        begunAt: now,
        endedAt: now,
        isCleared: false,
      });
    });
    await world.cluster.advance(3000);
    const alive = world.daemons.filter((daemon) => daemon !== relay);
    expect(world.daemonsFailing(({ crashMarks }) => crashMarks.endsOf('c') === 3, alive)).to.deep.equal([]);
  });

  it('goes on when a relay is killed, without counting anything twice', async () => {
    const [relay] = world.relays('alpha');
    relay?.kill();
    world.store.put(CONFIGURATION, 'main', 2);
    const alive = world.daemons.filter((daemon) => daemon !== relay);
    for (const { loads } of alive) loads.start('w1', { model: 'm' }, { promptTokens: 1, outputTokens: 1 });
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2), alive)).to.deep.equal([]);
    await world.cluster.advance(2500);
    expect(world.daemonsFailing(({ loads }) => loads.of('w1').requests === 19, alive)).to.deep.equal([]);
  });

  it('goes on when a relay stands still', async () => {
    const [relay] = world.relays('beta');
    relay?.freeze(6000);
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(1500);
    const others = world.daemons.filter((daemon) => daemon !== relay);
    expect(world.daemonsFailing(hasConfiguration(2), others)).to.deep.equal([]);
  });

  it('takes records from other relays where the store does not answer a relay', async () => {
    for (const { self } of world.relays('alpha')) world.store.unreachableFor.add(self.id);
    await world.cluster.advance(500);
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
  });

  it('takes records from other relays soon where the watches of a zone are silent', async () => {
    for (const { self } of world.relays('beta')) world.store.unresponsiveFor.add(self.id);
    await world.cluster.advance(500);
    world.store.put(BACK_ENDS, 'w2', 'here');
    world.store.remove(BACK_ENDS, 'w1');
    await world.cluster.advance(1300);
    expect(world.daemonsFailing(({ values }) => values.has(`${BACK_ENDS}/w2`))).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => !values.has(`${BACK_ENDS}/w1`))).to.deep.equal([]);
  });

  it('hears of a change in time where the store falls silent to all that follow it, at whichever moment', async () => {
    const lateAfter: Record<number, string[]> = {};
    for (let sinceChangeMs = 500; sinceChangeMs <= 3000; sinceChangeMs += 300) {
      // A change that all watches bring, so that they begin anew together.
      world.store.put(BACK_ENDS, 'w1', sinceChangeMs);
      world.store.takeCallers();
      await world.cluster.advance(sinceChangeMs);
      for (const id of world.store.takeCallers()) world.store.unresponsiveFor.add(id);
      const name = `after-${String(sinceChangeMs)}`;
      world.store.put(BACK_ENDS, name, 'here');
      await world.cluster.advance(LEAVE_PROPAGATION_LIMIT_MS);
      const late = world.daemonsFailing(({ values }) => values.has(`${BACK_ENDS}/${name}`));
      if (late.length > 0) lateAfter[sinceChangeMs] = late;
      world.store.unresponsiveFor.clear();
      await world.cluster.advance(6000);
    }
    expect(lateAfter).to.deep.equal({});
  });

  it('hears of a change soon after the store has been silent to all', async () => {
    for (const { self } of world.daemons) world.store.unresponsiveFor.add(self.id);
    await world.cluster.advance(500);
    world.store.unresponsiveFor.clear();
    // The watches begun meanwhile stay without an answer.
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(4500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
  });

  it('follows the store itself where no relay answers', async () => {
    const dead = world.relays('beta');
    for (const relay of dead) relay.kill();
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(1900);
    const alive = world.daemons.filter((daemon) => !dead.includes(daemon));
    expect(world.daemonsFailing(hasConfiguration(2), alive)).to.deep.equal([]);
  });

  it('leaves a relay whose records have long been behind those of others', async () => {
    const [relay, other] = world.relays('alpha');
    if (relay === undefined || other === undefined) throw new Error('too few relays');
    // Cut off from the store and from all relays, and still reached by those attached to it.
    world.store.unreachableFor.add(relay.self.id);
    const relayIds = world.relays().map(({ self }) => self.id);
    world.cluster.network.cut(
      (from, to) =>
        (from.name === relay.self.id && relayIds.includes(to.name)) ||
        (to.name === relay.self.id && relayIds.includes(from.name)),
    );
    const { revision } = world.store.put(CONFIGURATION, 'main', 2);
    for (let step = 0; step < 16; step += 1) {
      await world.cluster.advance(100);
      for (const { exchange } of world.daemons) exchange.noteUrgentElsewhere({ revision });
    }
    await world.cluster.advance(900);
    const others = world.daemons.filter((daemon) => daemon !== relay);
    expect(world.daemonsFailing(hasConfiguration(2), others)).to.deep.equal([]);
  });
});
