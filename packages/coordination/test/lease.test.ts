import { expect } from 'chai';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import type { VoterSet } from '@woodbarrow/protocol';
import { LeaseCandidate, LeaseLocator, LeaseVoter, type Lease, type VoterSets } from '../src/index.js';

const GROUP = 'group';

interface Member {
  readonly node: SimulatedNode;
  readonly candidate: LeaseCandidate;
  readonly instance: number;
}

class LeaseCluster {
  readonly cluster: SimulatedCluster;
  readonly members = new Map<string, Member>();
  sets: VoterSets | undefined;
  willing = new Set<string>();

  constructor(seed: number) {
    this.cluster = new SimulatedCluster({ seed });
  }

  async add(name: string, instance = 1): Promise<Member> {
    const node = await this.cluster.add(name);
    new LeaseVoter({ peers: node.peers, clock: node.process, id: name, instance }).start();
    const candidate = new LeaseCandidate({
      group: GROUP,
      id: name,
      peers: node.peers,
      clock: node.process,
      random: node.random,
      voterSets: () => this.sets,
      isWilling: () => this.willing.has(name),
    });
    candidate.start();
    const member = { node, candidate, instance };
    this.members.set(name, member);
    return member;
  }

  voterSet(epoch: number, ...names: string[]): VoterSet {
    const voters = names.map((name) => {
      const member = this.member(name);
      return { id: name, address: member.node.peers.address, instance: member.instance };
    });
    return { group: GROUP, epoch, voters };
  }

  member(name: string): Member {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`no member ${name}`);
    return member;
  }

  holders(): string[] {
    return [...this.members]
      .filter(([, member]) => member.candidate.held !== undefined)
      .map(([name]) => name);
  }

  held(name: string): Lease {
    const lease = this.member(name).candidate.held;
    if (lease === undefined) throw new Error(`${name} holds no lease`);
    return lease;
  }
}

async function threeVoters(seed = 1): Promise<LeaseCluster> {
  const cluster = new LeaseCluster(seed);
  for (const name of ['a', 'b', 'c']) await cluster.add(name);
  cluster.sets = { current: cluster.voterSet(1, 'a', 'b', 'c') };
  return cluster;
}

describe('leases', () => {
  it('are held by at most one candidate at a time, which a locator finds through the voters', async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const test = await threeVoters(seed);
      test.willing = new Set(['a', 'b', 'c']);
      for (let step = 0; step < 40; step += 1) {
        await test.cluster.advance(500);
        expect(test.holders().length).to.be.at.most(1);
      }
      expect(test.holders()).to.have.length(1);
      const { node } = test.member('a');
      const locator = new LeaseLocator(node.peers, node.process, () => test.sets);
      const found = await test.cluster.settle(locator.find(GROUP));
      expect(found?.id).to.equal(test.holders()[0]);
    }
  });

  it('pass on with their records and a higher fence when the holder crashes', async () => {
    const test = await threeVoters();
    test.willing = new Set(['a']);
    await test.cluster.advance(5000);
    const first = test.held('a');
    await test.cluster.settle(first.markComplete());
    await test.cluster.settle(first.write(new Map([['worker', { holds: 'model' }]])));
    test.member('a').node.process.kill();
    test.members.delete('a');
    test.willing = new Set(['b']);
    await test.cluster.advance(10_000);
    const second = test.held('b');
    expect(second.values().get('worker')).to.deep.equal({ holds: 'model' });
    expect(second.isComplete).to.equal(true);
    expect(second.fence).to.be.greaterThan(first.fence);
    expect(second.nextOrderNumber()).to.be.greaterThan(first.nextOrderNumber());
  });

  it('are not valid for a holder that resumes after a pause, and its writes fail', async () => {
    const test = await threeVoters();
    test.willing = new Set(['a']);
    await test.cluster.advance(5000);
    const lease = test.held('a');
    test.member('a').node.process.pause(8000);
    test.willing = new Set(['b']);
    await test.cluster.advance(7000);
    expect(test.held('b').isValid).to.equal(true);
    expect(lease.isValid).to.equal(false);
    await test.cluster.advance(3000);
    const write = lease.write(new Map([['late', {}]])).then(
      () => 'written',
      () => 'refused',
    );
    expect(await test.cluster.settle(write)).to.equal('refused');
  });

  it('end when the holder is paused for longer than their duration, and are acquired again under a higher fence', async () => {
    const test = await threeVoters();
    test.willing = new Set(['a']);
    await test.cluster.advance(5000);
    const first = test.held('a');
    let lost = 0;
    test.member('a').candidate.events.on('lost', () => {
      lost += 1;
    });
    test.member('a').node.process.pause(3500);
    await test.cluster.advance(20_000);
    expect(first.isValid).to.equal(false);
    expect(lost).to.equal(1);
    expect(test.held('a').fence).to.be.greaterThan(first.fence);
  });

  it('cannot be acquired without a majority of voters of the same run', async () => {
    const test = await threeVoters();
    test.willing = new Set(['a']);
    for (const name of ['b', 'c']) {
      test.member(name).node.process.kill();
      await test.add(name, 2);
    }
    // The voter set still names the earlier runs of b and c.
    await test.cluster.advance(15_000);
    expect(test.holders()).to.deep.equal([]);
  });

  it('carry their records into the next epoch by sealing a majority of the previous one', async () => {
    const test = await threeVoters();
    test.willing = new Set(['a']);
    await test.cluster.advance(5000);
    const first = test.held('a');
    await test.cluster.settle(first.markComplete());
    await test.cluster.settle(first.write(new Map([['worker', { holds: 'model' }]])));
    test.member('c').node.process.kill();
    await test.add('d');
    test.sets = { current: test.voterSet(2, 'a', 'b', 'd'), previous: first.set };
    test.willing = new Set(['b']);
    await test.cluster.advance(10_000);
    const second = test.held('b');
    expect(second.set.epoch).to.equal(2);
    expect(second.isComplete).to.equal(true);
    expect(second.values().get('worker')).to.deep.equal({ holds: 'model' });
    const late = first.write(new Map([['late', {}]])).then(
      () => 'written',
      () => 'refused',
    );
    expect(await test.cluster.settle(late)).to.equal('refused');
  });

  it('are incomplete when the previous epoch cannot be sealed', async () => {
    const test = await threeVoters();
    test.willing = new Set(['a']);
    await test.cluster.advance(5000);
    await test.cluster.settle(test.held('a').markComplete());
    const old = test.held('a').set;
    for (const name of ['a', 'b']) {
      test.member(name).node.process.kill();
      test.members.delete(name);
    }
    await test.add('d');
    await test.add('e');
    test.sets = { current: test.voterSet(2, 'c', 'd', 'e'), previous: old };
    test.willing = new Set(['d']);
    await test.cluster.advance(10_000);
    expect(test.held('d').isComplete).to.equal(false);
  });
});
