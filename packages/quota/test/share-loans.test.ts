// Guards against shares that two daemons use at once, and against loans that outlive the lender's need or the daemons themselves.
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import { Random } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { ShareLoanService } from '../src/index.js';

const BACK_END = 'w1';
const SHARE = 2;

interface Daemon {
  readonly name: string;
  readonly node: SimulatedNode;
  readonly loans: ShareLoanService;
  /** Requests of its own that it has in progress. */
  own: number;
}

class LoanWorld {
  readonly cluster = new SimulatedCluster({ seed: 9 });
  readonly daemons: Daemon[] = [];
  /** Highest sum over all daemons of what they might run, and of what their shares allow. */
  maxAllowed = 0;

  async add(name: string): Promise<Daemon> {
    const node = await this.cluster.add(name);
    const { process: clock, peers } = node;
    const loans = new ShareLoanService({
      daemon: name,
      members: () => this.daemons.map((daemon) => ({ id: daemon.name, address: `${daemon.name}:8082` })),
      spareOf: () => Math.max(0, SHARE - daemon.own),
      onBorrowed: () => undefined,
      peers,
      failures: new CallFailures(clock, silentLog),
      clock,
      random: new Random(this.daemons.length + 1),
      log: silentLog,
    });
    const daemon: Daemon = { name, node, loans, own: 0 };
    loans.start();
    this.daemons.push(daemon);
    return daemon;
  }

  /** Advances in steps, with shortages at the given daemons at each step, and records what all may run together. */
  async advance(durationMs: number, short: readonly Daemon[] = []): Promise<void> {
    for (let elapsed = 0; elapsed < durationMs; elapsed += 25) {
      for (const daemon of short) daemon.loans.noteShortage(BACK_END);
      await this.cluster.advance(25);
      const allowed = this.daemons.reduce((sum, daemon) => sum + allowedAt(daemon), 0);
      this.maxAllowed = Math.max(this.maxAllowed, allowed);
    }
  }
}

function allowedAt({ loans }: Daemon): number {
  return Math.max(0, SHARE - loans.lent(BACK_END)) + loans.borrowed(BACK_END);
}

describe('loans of shares of back ends', () => {
  let world: LoanWorld;

  beforeEach(() => {
    world = new LoanWorld();
  });

  async function addDaemons(count: number): Promise<Daemon[]> {
    const added: Daemon[] = [];
    for (let index = 0; index < count; index += 1) added.push(await world.add(`d${String(index)}`));
    return added;
  }

  it('give a daemon with all the traffic what the others do not use, and never more than all shares', async () => {
    const [hot, busy] = (await addDaemons(6)) as [Daemon, Daemon];
    busy.own = 1;
    await world.advance(2000, [hot]);
    expect(hot.loans.borrowed(BACK_END)).to.equal(4 * SHARE + 1);
    expect(world.maxAllowed).to.be.at.most(6 * SHARE);
  });

  it('end by themselves once they are not needed', async () => {
    const [hot] = (await addDaemons(4)) as [Daemon];
    await world.advance(1000, [hot]);
    await world.advance(1200);
    expect(world.daemons.map(({ loans }) => loans.borrowed(BACK_END) + loans.lent(BACK_END))).to.deep.equal([
      0, 0, 0, 0,
    ]);
  });

  it('are not renewed by a lender that needs its share itself, or lacks it', async () => {
    const [hot, lender] = (await addDaemons(2)) as [Daemon, Daemon];
    await world.advance(500, [hot]);
    expect(hot.loans.borrowed(BACK_END)).to.equal(SHARE);
    lender.own = SHARE;
    await world.advance(700, [hot, lender]);
    expect(hot.loans.borrowed(BACK_END)).to.equal(0);
    expect(lender.loans.lent(BACK_END)).to.equal(0);
  });

  it('never add up to more than all shares while daemons want them in turn, are cut off and are killed', async () => {
    const daemons = await addDaemons(6);
    const random = new Random(4);
    for (let round = 0; round < 60; round += 1) {
      const short = daemons.filter(() => random.next() < 0.3);
      for (const daemon of daemons) daemon.own = random.integer(SHARE + 1);
      const cut = random.pick(daemons)?.node.process;
      const heal = world.cluster.network.cut((from, to) => from === cut || to === cut);
      await world.advance(200, short);
      heal();
      if (round === 40) daemons[5]?.node.process.kill();
      if (round === 40) world.daemons.pop();
      await world.advance(300, short);
    }
    expect(world.maxAllowed).to.be.at.most(6 * SHARE);
    expect(world.maxAllowed).to.be.greaterThan(0);
  });

  it('to several borrowers share what is unused', async () => {
    const [first, second] = (await addDaemons(5)) as [Daemon, Daemon];
    await world.advance(2000, [first, second]);
    const borrowed = first.loans.borrowed(BACK_END) + second.loans.borrowed(BACK_END);
    expect(borrowed).to.be.within(1, 3 * SHARE);
    expect(world.maxAllowed).to.be.at.most(5 * SHARE);
  });
});
