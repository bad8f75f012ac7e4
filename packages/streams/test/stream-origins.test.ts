// Guards against streams whose origin is lost with daemons, or found out too late, while copies of it exist.
import { BackendDirectory } from '@woodbarrow/backends';
import type { OriginLookup, StreamOrigin } from '@woodbarrow/forwarding';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import { expect } from 'chai';
import {
  ObservedVersions,
  OriginRecorder,
  RecordedStreams,
  StreamOriginService,
  type StreamPeer,
} from '../src/index.js';
import { InMemoryStreamRecords } from './in-memory-stream-records.js';

const V1: StreamOrigin = { service: 'models', softwareVersion: 'v1' };
const STREAMS = Array.from({ length: 40 }, (_, index) => `s${String(index)}`);
const RETAIN_MS = 60_000;
const COPY_MS = 50;

interface Daemon {
  readonly node: SimulatedNode;
  readonly service: StreamOriginService;
}

/** Daemons whose views of the group a test sets. */
class OriginWorld {
  readonly cluster = new SimulatedCluster({ seed: 5 });
  readonly daemons = new Map<string, Daemon>();

  /** Starts a daemon, or a further run of it. @param hasService Whether its build shares origins. */
  async add(name: string, hasService = true): Promise<Daemon> {
    const node = await this.cluster.add(name);
    const { process: clock, peers } = node;
    const versions = new ObservedVersions(new BackendDirectory(clock), clock, () => false);
    const shared = { self: name, versions, records: new InMemoryStreamRecords(), clock, log: silentLog };
    const service = new StreamOriginService({
      self: name,
      members: () => this.peersOf(),
      versions,
      recorded: new RecordedStreams(shared),
      originRecorder: new OriginRecorder({
        ...shared,
        takeUpPeriodMs: () => RETAIN_MS,
        memberCount: () => 1,
      }),
      isViewCurrent: () => true,
      peers,
      failures: new CallFailures(clock, silentLog),
      clock,
    });
    if (hasService) service.start();
    const daemon = { node, service };
    this.daemons.set(name, daemon);
    for (const other of this.daemons.values()) other.service.notePeerUp(name);
    return daemon;
  }

  /** Kills a daemon; the others notice it. */
  kill(name: string): void {
    this.daemons.get(name)?.node.process.kill();
    this.daemons.delete(name);
    for (const { service } of this.daemons.values()) service.notePeerDown(name);
  }

  find(at: Daemon, streamId: string): Promise<OriginLookup> {
    return this.cluster.settle(at.service.find(streamId));
  }

  async findAll(at: Daemon): Promise<string[]> {
    const kinds: string[] = [];
    for (const id of STREAMS) kinds.push((await this.find(at, id)).kind);
    return kinds;
  }

  private peersOf(): StreamPeer[] {
    return [...this.daemons.keys()].map((id) => ({ id, address: `${id}:8082` }));
  }
}

const ALL_KNOWN = STREAMS.map(() => 'known');

describe('origins of streams', () => {
  let world: OriginWorld;

  beforeEach(() => {
    world = new OriginWorld();
  });

  async function addDaemons(count: number): Promise<Daemon[]> {
    const added: Daemon[] = [];
    for (let index = 0; index < count; index += 1) added.push(await world.add(`d${String(index)}`));
    return added;
  }

  function beginAt({ service }: Daemon): void {
    for (const id of STREAMS) service.record(id, V1, RETAIN_MS);
  }

  it('are found by every daemon, whose lookup says where from', async () => {
    const daemons = await addDaemons(6);
    beginAt(daemons[0] as Daemon);
    await world.cluster.advance(COPY_MS);
    for (const daemon of daemons) {
      const lookup = await world.find(daemon, 's1');
      expect(lookup).to.deep.include({ kind: 'known', origin: V1 });
    }
  });

  it('outlive the daemon that began the streams and one holder of copies', async () => {
    const [first, , third] = await addDaemons(6);
    beginAt(first as Daemon);
    await world.cluster.advance(COPY_MS);
    world.kill('d0');
    world.kill('d1');
    expect(await world.findAll(third as Daemon)).to.deep.equal(ALL_KNOWN);
  });

  it('outlive all holders but one that are killed one after the other, while the first daemon lives', async () => {
    const [first] = await addDaemons(6);
    beginAt(first as Daemon);
    await world.cluster.advance(COPY_MS);
    for (const name of ['d1', 'd2', 'd3', 'd4']) {
      world.kill(name);
      await world.cluster.advance(1000);
    }
    world.kill('d0');
    expect(await world.findAll(world.daemons.get('d5') as Daemon)).to.deep.equal(ALL_KNOWN);
  });

  it('are copied to daemons that appear later, or were restarted', async () => {
    const first = await world.add('d0');
    beginAt(first);
    await world.cluster.advance(COPY_MS);
    await world.add('d1');
    await world.cluster.advance(COPY_MS);
    world.kill('d1');
    await world.add('d1');
    const last = await world.add('d2');
    await world.cluster.advance(COPY_MS);
    world.kill('d0');
    expect(await world.findAll(last)).to.deep.equal(ALL_KNOWN);
  });

  it('are copied past daemons that do not answer', async () => {
    const [first, second] = await addDaemons(5);
    const cuts = ['d1', 'd2'].map((name) => {
      const { process } = (world.daemons.get(name) as Daemon).node;
      return world.cluster.network.cut((from, to) => from === process || to === process);
    });
    beginAt(first as Daemon);
    await world.cluster.advance(3000);
    for (const heal of cuts) heal();
    world.kill('d0');
    expect(await world.findAll(second as Daemon)).to.deep.equal(ALL_KNOWN);
  });

  it('are unknown within a quarter of a second when no daemon that knows them can be reached', async () => {
    const [first, second] = await addDaemons(4);
    beginAt(first as Daemon);
    await world.cluster.advance(COPY_MS);
    const { process } = (second as Daemon).node;
    world.cluster.network.cut((from, to) => from === process || to === process);
    const startedAt = world.cluster.world.now;
    const lookup = await world.find(second as Daemon, 'never-begun');
    expect(lookup).to.deep.equal({ kind: 'unknown', asked: 3, answered: 0 });
    expect(world.cluster.world.now - startedAt).to.be.at.most(260);
  });

  it('are found beside daemons whose build does not share them', async () => {
    await world.add('d0', false);
    await world.add('d1', false);
    const first = await world.add('d2');
    const last = await world.add('d3');
    beginAt(first);
    await world.cluster.advance(COPY_MS);
    world.kill('d2');
    expect(await world.findAll(last)).to.deep.equal(ALL_KNOWN);
  });

  it('are not stored by lookups, however many', async () => {
    const [first] = await addDaemons(3);
    for (let index = 0; index < 200; index += 1) await world.find(first as Daemon, `unknown${String(index)}`);
    expect([...world.daemons.values()].map(({ service }) => service.totals.streams)).to.deep.equal([0, 0, 0]);
  });
});
