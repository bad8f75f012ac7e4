import { expect } from 'chai';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import type { WoodbarrowError } from '@woodbarrow/errors';
import type {
  ClaimRequest,
  ClaimResponse,
  SettleClaimRequest,
  SettleClaimResponse,
} from '@woodbarrow/protocol';
import {
  ClaimLedger,
  ClaimsClient,
  LeaseCandidate,
  LeaseLocator,
  LeaseVoter,
  type VoterSets,
} from '../src/index.js';

const GROUP = 'ledger';
const LIFETIME_MS = 60_000;

class LedgerCluster {
  readonly cluster = new SimulatedCluster({ seed: 3 });
  readonly nodes = new Map<string, SimulatedNode>();
  private readonly candidates = new Map<string, LeaseCandidate>();
  sets: VoterSets | undefined;
  leader = 'a';
  /** Daemons that the ledger takes for ended. */
  readonly ended = new Set<string>();

  async start(): Promise<void> {
    for (const name of ['a', 'b', 'c']) await this.add(name);
    this.sets = { current: { group: GROUP, epoch: 1, voters: this.voters('a', 'b', 'c') } };
    await this.cluster.advance(5000);
  }

  async add(name: string): Promise<void> {
    const node = await this.cluster.add(name);
    this.nodes.set(name, node);
    const common = { peers: node.peers, clock: node.process };
    new LeaseVoter({ ...common, id: name, instance: 1 }).start();
    const candidate = new LeaseCandidate({
      ...common,
      group: GROUP,
      id: name,
      random: node.random,
      voterSets: () => this.sets,
      isWilling: () => this.leader === name,
    });
    this.candidates.set(name, candidate);
    new ClaimLedger({
      ...common,
      candidate,
      maximumLifetimeMs: LIFETIME_MS,
      hasEnded: ({ id }) => this.ended.has(id),
    }).start();
    candidate.start();
  }

  voters(...names: string[]): { id: string; address: string; instance: number }[] {
    return names.map((id) => ({ id, address: this.node(id).peers.address, instance: 1 }));
  }

  candidateOf(name: string): LeaseCandidate {
    const candidate = this.candidates.get(name);
    if (candidate === undefined) throw new Error(`no candidate ${name}`);
    return candidate;
  }

  node(name: string): SimulatedNode {
    const node = this.nodes.get(name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }

  client(name: string): ClaimsClient {
    const { peers, process } = this.node(name);
    return new ClaimsClient(GROUP, peers, process, new LeaseLocator(peers, process, () => this.sets));
  }

  claim(at: string, claimant: string, more: Partial<ClaimRequest> = {}): Promise<ClaimResponse> {
    const request = { key: 'key', claimant, fingerprint: 'f', lifetimeMs: LIFETIME_MS, ...more };
    return this.cluster.settle(this.client(at).claim(request, 5000));
  }

  /** Claims the key for a claimant on a daemon. */
  claimOn(daemon: string, claimant: string): Promise<ClaimResponse> {
    return this.claim('b', claimant, { daemon: { id: daemon, instance: 1 } });
  }

  /** Starts the claim of a claimant; resolves with the error kind if that is refused. */
  startClaim(claimant: string): Promise<string> {
    const starting = this.client('c').start({ key: 'key', claimant }, 5000);
    return this.cluster.settle(
      starting.then(
        () => 'started',
        (error: unknown) => (error as WoodbarrowError).kind,
      ),
    );
  }

  settle(
    claimant: string,
    result: SettleClaimRequest['result'],
    more: Partial<SettleClaimRequest> = {},
  ): Promise<SettleClaimResponse> {
    return this.cluster.settle(this.client('c').settle({ key: 'key', claimant, result, ...more }));
  }

  async moveTo(name: string): Promise<void> {
    this.leader = name;
    await this.cluster.advance(8000);
  }
}

describe('claims', () => {
  it('are granted to one claimant; another one gets "running" and, once finished, the answer', async () => {
    const test = new LedgerCluster();
    await test.start();
    expect((await test.claim('b', 'router-1')).outcome).to.equal('granted');
    expect((await test.claim('b', 'router-1')).outcome).to.equal('granted');
    expect((await test.claim('c', 'router-2')).outcome).to.equal('running');
    expect((await test.claim('c', 'router-2', { fingerprint: 'other' })).outcome).to.equal('mismatch');
    const answer = new Uint8Array([1, 2, 3]);
    const settled = test.client('b').settle({ key: 'key', claimant: 'router-1', result: 'finished', answer });
    await test.cluster.settle(settled);
    const repeat = await test.claim('c', 'router-2');
    expect(repeat.outcome).to.equal('finished');
    expect([...(repeat.answer ?? [])]).to.deep.equal([1, 2, 3]);
  });

  it('can be released when the work certainly did not run', async () => {
    const test = new LedgerCluster();
    await test.start();
    await test.claim('b', 'router-1');
    const settled = test.client('b').settle({ key: 'key', claimant: 'router-1', result: 'released' });
    await test.cluster.settle(settled);
    expect((await test.claim('c', 'router-2')).outcome).to.equal('granted');
  });

  it('remain after a change of leader', async () => {
    const test = new LedgerCluster();
    await test.start();
    await test.claim('b', 'router-1');
    await test.moveTo('b');
    expect((await test.claim('c', 'router-2')).outcome).to.equal('running');
  });

  it('that reached only a minority of voters are written to a majority before they are granted again', async () => {
    const test = new LedgerCluster();
    await test.start();
    const client = test.client('a');
    const ask = (key: string) =>
      client.claim({ key, claimant: 'one', fingerprint: 'f', lifetimeMs: LIFETIME_MS }, 2000);
    // The client must know the leader before the partition.
    await test.cluster.settle(ask('another'));
    // The claim reaches only the leader's own voter.
    const heal = test.cluster.network.cut(
      (from, to) => from !== to && (from.name === 'a' || to.name === 'a'),
    );
    await test.cluster.settle(ask('key').catch(() => undefined));
    // Long enough for the transport to drop its undelivered messages.
    await test.cluster.advance(20_000);
    heal();
    await test.moveTo('a');
    // A claim that a new leader read back and granted again must be known to every later leader.
    const again = await test.claim('c', 'one');
    test.node('a').process.kill();
    await test.moveTo('b');
    const other = await test.claim('c', 'two', { ageMs: 0 });
    const granted = [again, other].filter((response) => response.outcome === 'granted');
    expect(granted).to.have.length(1);
  });

  it('get "unknown" from a ledger that may lack earlier claims, unless the key is newer than the ledger', async () => {
    const test = new LedgerCluster();
    await test.start();
    const old = test.sets?.current;
    for (const name of ['a', 'b']) test.node(name).process.kill();
    for (const name of ['d', 'e']) await test.add(name);
    if (old === undefined) throw new Error('no voters');
    test.sets = { current: { group: GROUP, epoch: 2, voters: test.voters('c', 'd', 'e') }, previous: old };
    await test.moveTo('d');
    expect((await test.claim('c', 'router-1')).outcome).to.equal('unknown');
    await test.cluster.advance(10_000);
    expect((await test.claim('c', 'router-1', { ageMs: 100 })).outcome).to.equal('granted');
  });

  it('are answered by a new leader whose first write failed', async () => {
    const test = new LedgerCluster();
    for (const name of ['a', 'b', 'c']) await test.add(name);
    const heals: (() => void)[] = [];
    test.candidateOf('a').events.on('acquired', () => {
      // The new leader is partitioned from the others when it writes for the first time.
      heals.push(
        test.cluster.network.cut((from, to) => from !== to && (from.name === 'a' || to.name === 'a')),
      );
    });
    test.sets = { current: { group: GROUP, epoch: 1, voters: test.voters('a', 'b', 'c') } };
    while (heals.length === 0) await test.cluster.advance(100);
    await test.cluster.advance(1000);
    heals[0]?.();
    await test.cluster.advance(1000);
    expect((await test.claim('b', 'router-1')).outcome).to.equal('granted');
  });

  it('fail with outcome_unknown while there is no leader', async () => {
    const test = new LedgerCluster();
    await test.start();
    for (const name of ['a', 'b']) test.node(name).process.kill();
    await test.cluster.advance(5000);
    const outcome = await test.claim('c', 'router-1').catch((error: unknown) => error);
    expect((outcome as { kind?: string }).kind).to.equal('outcome_unknown');
  });
});

// Guards against keys that stay blocked, or work that runs twice, after the daemon of a claimant has ended.
describe('claims of a daemon that has ended', () => {
  it('are granted to another claimant if they were not started, and can then no longer be started', async () => {
    const test = new LedgerCluster();
    await test.start();
    await test.claimOn('one', 'router-1');
    expect((await test.claimOn('two', 'router-2')).outcome).to.equal('running');
    test.ended.add('one');
    expect((await test.claimOn('two', 'router-2')).outcome).to.equal('granted');
    expect(await test.startClaim('router-1')).to.equal('already_running');
    expect(await test.startClaim('router-2')).to.equal('started');
    expect(await test.settle('router-1', 'released')).to.deep.equal({
      state: 'running',
      claimant: 'router-2',
    });
  });

  it('are lost if they were started, and have the outcome of the first settlement', async () => {
    const test = new LedgerCluster();
    await test.start();
    await test.claimOn('one', 'router-1');
    await test.startClaim('router-1');
    expect((await test.settle('router-1', 'abandoned')).state).to.equal('running');
    test.ended.add('one');
    const lost = { outcome: 'lost', claimant: 'router-1' };
    expect(await test.claimOn('two', 'router-2')).to.deep.equal(lost);
    const abandoned = { state: 'abandoned', claimant: 'router-1' };
    expect(await test.settle('router-1', 'abandoned')).to.deep.equal(abandoned);
    expect(await test.settle('router-1', 'finished')).to.deep.equal(abandoned);
    expect(await test.startClaim('router-1')).to.equal('already_running');
    await test.moveTo('b');
    expect((await test.claimOn('two', 'router-2')).outcome).to.equal('abandoned');
  });

  it('stay finished if they were settled before', async () => {
    const test = new LedgerCluster();
    await test.start();
    await test.claimOn('one', 'router-1');
    await test.startClaim('router-1');
    await test.settle('router-1', 'finished');
    test.ended.add('one');
    expect((await test.settle('router-1', 'abandoned')).state).to.equal('finished');
    expect((await test.claimOn('two', 'router-2')).outcome).to.equal('finished');
  });

  it('are never taken over if the claimant named no daemon', async () => {
    const test = new LedgerCluster();
    await test.start();
    await test.claim('b', 'router-1');
    test.ended.add('one');
    expect((await test.claim('c', 'router-2')).outcome).to.equal('running');
  });

  it('have the outcome that is settled in a ledger that has lost them', async () => {
    const test = new LedgerCluster();
    await test.start();
    const claim = { fingerprint: 'f', lifetimeMs: LIFETIME_MS };
    expect((await test.settle('router-1', 'finished', { claim })).state).to.equal('finished');
    expect((await test.settle('router-2', 'abandoned', { claim })).claimant).to.equal('router-1');
    expect((await test.claim('c', 'router-2')).outcome).to.equal('finished');
  });
});
