import { expect } from 'chai';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import { Membership, supersedes } from '../src/index.js';

class MemberCluster {
  readonly cluster: SimulatedCluster;
  readonly members = new Map<string, { node: SimulatedNode; membership: Membership }>();
  private instance = 0;
  private seeds: readonly string[] = ['m1:8082', 'm2:8082'];

  constructor(seed: number) {
    this.cluster = new SimulatedCluster({ seed });
  }

  async add(name: string, zone = 'alpha'): Promise<void> {
    const node = await this.cluster.add(name, zone);
    this.instance += 1;
    const membership = new Membership({
      identity: { id: name, zone, region: 'region', instance: this.instance },
      peers: node.peers,
      clock: node.process,
      random: node.random,
      seeds: () => this.seeds,
    });
    membership.start();
    this.members.set(name, { node, membership });
  }

  async start(count: number): Promise<void> {
    for (let index = 1; index <= count; index += 1)
      await this.add(`m${String(index)}`, index % 2 === 0 ? 'alpha' : 'beta');
    await this.cluster.advance(20_000);
  }

  /** Starts members one after another within two seconds; each may join through any other. */
  async startTogether(count: number): Promise<void> {
    const names = Array.from({ length: count }, (_, index) => `m${String(index + 1)}`);
    this.seeds = names.map((name) => `${name}:8082`);
    for (const [index, name] of names.entries()) {
      await this.add(name, `zone-${String(index % 3)}`);
      await this.cluster.advance(2000 / count);
    }
  }

  membership(name: string): Membership {
    return this.member(name).membership;
  }

  member(name: string): { node: SimulatedNode; membership: Membership } {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`no member ${name}`);
    return member;
  }

  /** Number of present members in each view. */
  sizes(): number[] {
    return [...this.members.values()].map(({ membership }) => membership.present().length);
  }

  kill(name: string): void {
    this.member(name).node.process.kill();
    this.members.delete(name);
  }
}

describe('membership', () => {
  it('converges to the same view on all members', async () => {
    const test = new MemberCluster(1);
    await test.start(12);
    expect(new Set(test.sizes())).to.deep.equal(new Set([12]));
    const digests = [...test.members.values()].map(({ membership }) => membership.viewDigest());
    expect(new Set(digests).size).to.equal(1);
  });

  it('converges within seconds when members start together', async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const test = new MemberCluster(seed);
      await test.startTogether(9);
      await test.cluster.advance(2500);
      expect(new Set(test.sizes())).to.deep.equal(new Set([9]));
    }
  });

  it('detects a crashed member and its restart', async () => {
    const test = new MemberCluster(2);
    await test.start(8);
    const before = test.membership('m1').get('m5')?.instance ?? 0;
    test.kill('m5');
    await test.cluster.advance(25_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([7]));
    await test.add('m5', 'beta');
    await test.cluster.advance(25_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([8]));
    expect(test.membership('m1').get('m5')?.instance).to.be.greaterThan(before);
  });

  it('retains a member that is paused for less than the suspicion time, since it refutes', async () => {
    const test = new MemberCluster(3);
    await test.start(8);
    test.member('m4').node.process.pause(2500);
    await test.cluster.advance(20_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([8]));
  });

  it('does not remove others from the view of a member that was itself paused for long', async () => {
    const test = new MemberCluster(4);
    await test.start(8);
    test.member('m4').node.process.pause(30_000);
    await test.cluster.advance(31_000);
    expect(test.membership('m4').present().length).to.be.greaterThan(6);
    await test.cluster.advance(30_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([8]));
  });

  it('converges again after a partition between zones heals', async () => {
    const test = new MemberCluster(5);
    await test.start(10);
    const heal = test.cluster.network.cut((from, to) => from.zone !== to.zone);
    await test.cluster.advance(60_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([5]));
    heal();
    await test.cluster.advance(60_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([10]));
  });

  it('excludes a leaving member from roles, and then removes the member that left', async () => {
    const test = new MemberCluster(6);
    await test.start(8);
    await test.cluster.settle(test.membership('m3').announceLeaving());
    await test.cluster.advance(6000);
    expect(
      test
        .membership('m1')
        .eligible()
        .map((member) => member.id),
    ).not.to.include('m3');
    expect(
      test
        .membership('m1')
        .present()
        .map((member) => member.id),
    ).to.include('m3');
    await test.cluster.settle(test.membership('m3').leave());
    test.members.delete('m3');
    await test.cluster.advance(10_000);
    expect(new Set(test.sizes())).to.deep.equal(new Set([7]));
  });

  it('orders records by run, then refutation, then status', () => {
    const base = {
      id: 'm',
      address: 'm:1',
      zone: 'z',
      region: 'r',
      capacity: 100,
      instance: 5,
      refutation: 2,
      status: 'alive',
    } as const;
    expect(supersedes({ ...base, status: 'suspect' }, base)).to.equal(true);
    expect(supersedes({ ...base, refutation: 3 }, { ...base, status: 'dead' })).to.equal(true);
    expect(supersedes({ ...base, refutation: 9 }, { ...base, status: 'left' })).to.equal(false);
    expect(supersedes({ ...base, instance: 6, refutation: 0 }, { ...base, status: 'left' })).to.equal(true);
    expect(supersedes({ ...base, instance: 4, refutation: 9 }, base)).to.equal(false);
  });
});
