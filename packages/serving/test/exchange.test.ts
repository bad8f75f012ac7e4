import { expect } from 'chai';
import { relayTopology, STORE_FOLLOWER_COUNT } from '@woodbarrow/coordination';
import { BACK_ENDS, CONFIGURATION, ExchangeWorld, type ExchangingDaemon } from './exchange-world.js';

/** Maximum time for the notice that a worker leaves to reach all daemons; workers must receive no request later than 3000 ms after it. */
const LEAVE_PROPAGATION_LIMIT_MS = 2900;

function hasConfiguration(value: number): (daemon: ExchangingDaemon) => boolean {
  return (daemon) => daemon.values.get(`${CONFIGURATION}/main`) === value;
}

describe('relayTopology', () => {
  const members = Array.from({ length: 30 }, (_, index) => ({
    id: `d${String(index)}`,
    zone: `z${String(index % 3)}`,
    capacity: 100,
  }));

  it('makes every daemon of a small group a relay of all others', () => {
    const few = members.slice(0, 7);
    for (const self of few) {
      const { isRelay, relays } = relayTopology(self, few);
      expect(isRelay).to.equal(true);
      expect(relays).to.have.lengthOf(6);
    }
  });

  it('chooses two relays per zone of a large group, the same at every daemon', () => {
    const relays = members.filter((self) => relayTopology(self, members).isRelay);
    expect(relays).to.have.lengthOf(6);
    for (const self of members) {
      const { zoneRelays, relays: others } = relayTopology(self, members);
      const expected = relays.filter((relay) => relay.id !== self.id);
      expect(others.map((relay) => relay.id)).to.have.members(expected.map((relay) => relay.id));
      expect(zoneRelays.every((relay) => relay.zone === self.zone)).to.equal(true);
    }
  });
});

describe('relayTopology among machines of unequal capacity', () => {
  it('chooses the machines with the largest capacity', () => {
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

describe('PeerExchange among 20 daemons', () => {
  let world: ExchangeWorld;

  beforeEach(async () => {
    world = new ExchangeWorld();
    await world.start(20);
  });

  afterEach(() => {
    for (const daemon of world.daemons) daemon.kill();
  });

  it('lets only relays follow the store and forwards changes and removals to all daemons', async () => {
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
    expect(callers).to.have.lengthOf(STORE_FOLLOWER_COUNT);
  });

  it('discards the records of all daemons when the store is restored, and applies later changes', async () => {
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

  it('applies changes after a restoration at daemons to which the store does not respond, by the reports of peers', async () => {
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

  it('receives all records when the restored store immediately reuses the watched revision', async () => {
    const restore = world.store.takeSnapshot();
    world.store.put(BACK_ENDS, 'lost', 'here');
    await world.cluster.advance(1500);
    restore();
    // The watches in progress continue from a revision that now belongs to another change.
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

  it('lets other relays follow the store while it rejects calls of the current followers', async () => {
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

  it('forwards urgent records without waiting for the next report', async () => {
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(120);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
  });

  it('counts each request exactly once at every daemon', async () => {
    const tickets = world.daemons.map(({ loads }) =>
      loads.start('w1', { model: 'm' }, { promptTokens: 10, outputTokens: 5 }),
    );
    for (const { loads } of world.daemons) loads.recordDemand('m');
    await world.cluster.advance(1200);
    expect(world.daemonsFailing(({ loads }) => loads.loadOf('w1').requests === 20)).to.deep.equal([]);
    expect(world.daemonsFailing(({ loads }) => loads.loadOf('w1').heldTokens === 300)).to.deep.equal([]);
    for (const ticket of tickets) ticket.ended();
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(({ loads }) => loads.loadOf('w1').requests === 0)).to.deep.equal([]);
  });

  it('reports loads by target and demand to coordinators, and their claims to all daemons', async () => {
    const coordinator = world.daemons.find(({ exchange }) => !exchange.isRelay);
    if (coordinator === undefined) throw new Error('every daemon is a relay');
    coordinator.claims = [
      { zone: 'alpha', fence: 3, storeLoads: 0, loading: [], leaseRevision: 1, confirmedAgoMs: 0 },
    ];
    for (const { loads } of world.daemons) {
      loads.start('w1', { model: 'm' }, { promptTokens: 1, outputTokens: 1 });
      loads.recordDemand('m');
    }
    await world.cluster.advance(1200);
    expect(coordinator.loads.requestsFor('w1', 'm')).to.equal(20);
    expect(coordinator.loads.demandFor('m')).to.be.within(14, 20);
    const hasReceivedClaim = ({ coordinators }: ExchangingDaemon) =>
      coordinators.of('alpha')?.memberId === coordinator.self.id;
    expect(world.daemonsFailing(hasReceivedClaim)).to.deep.equal([]);
    coordinator.claims = [];
    coordinator.exchange.reportNow();
    await world.cluster.advance(1000);
    expect(world.daemonsFailing((daemon) => !hasReceivedClaim(daemon))).to.deep.equal([]);
  });

  it('delivers a change of residency to every daemon exactly once', async () => {
    const change = { backEndId: 'w1', model: 'm', resident: false };
    world.daemons[5]?.exchange.announce(change);
    await world.cluster.advance(600);
    expect(world.daemonsFailing(({ changes }) => changes.length === 1)).to.deep.equal([]);
  });

  it('delivers a rate limit reported by a back end to all other daemons exactly once, with its age', async () => {
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

  it('reports a process crash to all daemons within a second, and does not send it again', async () => {
    const reporter = world.daemons.find(({ exchange }) => !exchange.isRelay);
    const endedAt = reporter?.now ?? 0;
    reporter?.crashMarks.add({
      content: 'c',
      processId: 'w1',
      begunAt: endedAt - 50,
      endedAt,
      isCleared: false,
    });
    reporter?.exchange.forwardCrashMarks();
    await world.cluster.advance(1000);
    expect(world.daemonsFailing(({ crashMarks }) => crashMarks.crashCountOf('c') === 1)).to.deep.equal([]);
    const sent = world.daemons.map(({ crashMarks }) => crashMarks.timesSent);
    await world.cluster.advance(3000);
    expect(world.daemons.map(({ crashMarks }) => crashMarks.timesSent)).to.deep.equal(sent);
  });

  it('retains coordinators and loads while daemons report process crashes', async () => {
    const coordinator = world.relays('alpha')[0];
    if (coordinator === undefined) throw new Error('no relay');
    coordinator.claims = [
      { zone: 'alpha', fence: 3, storeLoads: 0, loading: [], leaseRevision: 1, confirmedAgoMs: 0 },
    ];
    coordinator.loads.start('w1', undefined, { promptTokens: 10, outputTokens: 5 });
    await world.cluster.advance(1500);
    const isKnown = ({ coordinators, loads }: ExchangingDaemon): boolean =>
      coordinators.of('alpha') !== undefined && loads.loadOf('w1').requests === 1;
    for (const [index, { crashMarks, exchange, now }] of world.daemons.entries()) {
      const content = `c${String(index)}`;
      crashMarks.add({ content, processId: 'w2', begunAt: now - 50, endedAt: now, isCleared: false });
      exchange.forwardCrashMarks();
      for (let step = 0; step < 10; step += 1) {
        await world.cluster.advance(5);
        expect(world.daemonsFailing(isKnown), `after mark ${content}`).to.deep.equal([]);
      }
    }
  });

  it('merges crash reports that different daemons received while a relay was killed', async () => {
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
    expect(world.daemonsFailing(({ crashMarks }) => crashMarks.crashCountOf('c') === 3, alive)).to.deep.equal(
      [],
    );
  });

  it('delivers changes and counts no request twice when a relay is killed', async () => {
    const [relay] = world.relays('alpha');
    relay?.kill();
    world.store.put(CONFIGURATION, 'main', 2);
    const alive = world.daemons.filter((daemon) => daemon !== relay);
    for (const { loads } of alive) loads.start('w1', { model: 'm' }, { promptTokens: 1, outputTokens: 1 });
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2), alive)).to.deep.equal([]);
    await world.cluster.advance(2500);
    expect(world.daemonsFailing(({ loads }) => loads.loadOf('w1').requests === 19, alive)).to.deep.equal([]);
  });

  it('delivers changes when a relay is suspended', async () => {
    const [relay] = world.relays('beta');
    relay?.freeze(6000);
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(1500);
    const others = world.daemons.filter((daemon) => daemon !== relay);
    expect(world.daemonsFailing(hasConfiguration(2), others)).to.deep.equal([]);
  });

  it('receives records from other relays when the store does not respond to the relays of a zone', async () => {
    for (const { self } of world.relays('alpha')) world.store.unreachableFor.add(self.id);
    await world.cluster.advance(500);
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(1500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
  });

  it('receives records from other relays in time when the watches of a zone get no response', async () => {
    for (const { self } of world.relays('beta')) world.store.unresponsiveFor.add(self.id);
    await world.cluster.advance(500);
    world.store.put(BACK_ENDS, 'w2', 'here');
    world.store.remove(BACK_ENDS, 'w1');
    await world.cluster.advance(1300);
    expect(world.daemonsFailing(({ values }) => values.has(`${BACK_ENDS}/w2`))).to.deep.equal([]);
    expect(world.daemonsFailing(({ values }) => !values.has(`${BACK_ENDS}/w1`))).to.deep.equal([]);
  });

  it('receives a change in time when the store stops responding to all its followers, at any moment', async () => {
    const lateAfter: Record<number, string[]> = {};
    for (let sinceChangeMs = 500; sinceChangeMs <= 3000; sinceChangeMs += 300) {
      // All watches return this change, so that the next ones start simultaneously.
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

  it('receives a change soon after the store was unresponsive for all daemons', async () => {
    for (const { self } of world.daemons) world.store.unresponsiveFor.add(self.id);
    await world.cluster.advance(500);
    world.store.unresponsiveFor.clear();
    // Watches that started in the meantime get no response.
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(4500);
    expect(world.daemonsFailing(hasConfiguration(2))).to.deep.equal([]);
  });

  it('follows the store directly when no relay of the zone responds', async () => {
    const dead = world.relays('beta');
    for (const relay of dead) relay.kill();
    world.store.put(CONFIGURATION, 'main', 2);
    await world.cluster.advance(1900);
    const alive = world.daemons.filter((daemon) => !dead.includes(daemon));
    expect(world.daemonsFailing(hasConfiguration(2), alive)).to.deep.equal([]);
  });

  it('abandons a relay whose records have been stale for too long', async () => {
    const [relay, other] = world.relays('alpha');
    if (relay === undefined || other === undefined) throw new Error('too few relays');
    // The relay cannot reach the store or other relays, but the daemons attached to it still reach it.
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
      for (const { exchange } of world.daemons) exchange.observeUrgentPosition({ revision });
    }
    await world.cluster.advance(900);
    const others = world.daemons.filter((daemon) => daemon !== relay);
    expect(world.daemonsFailing(hasConfiguration(2), others)).to.deep.equal([]);
  });
});
