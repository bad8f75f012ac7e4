// Guards against relays that run a request twice, go on for a daemon that has left, hold whole responses in memory or relay in turn.
import { BackendDirectory } from '@woodbarrow/backends';
import { WoodbarrowError } from '@woodbarrow/errors';
import { silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import {
  HttpNotSentError,
  Random,
  sleep,
  type BackendCall,
  type BackendClient,
  type BackendResponse,
} from '@woodbarrow/runtime';
import { expect } from 'chai';
import { BackendPaths, RelayPeers, RelayService, RelayingClient } from '../src/index.js';
import { backEnd } from './simulated-network.js';

const CHUNK_BYTES = 1000;
const CHUNKS = 50;

/** Back end that every daemon with a network reaches; it runs what it receives and streams a response. */
class SharedBackEnd {
  readonly runs: string[] = [];
  readonly cancelled: string[] = [];
  /** Chunks taken from the back end. */
  chunksSent = 0;
  answerMs = 0;
}

/** Direct connections of one daemon. */
class FakeClient implements BackendClient {
  readonly connectionsOpened = 0;
  isCut = false;

  constructor(
    private readonly target: SharedBackEnd,
    private readonly node: SimulatedNode,
  ) {}

  closeIdleConnections(): void {
    // There are none.
  }

  async send(call: BackendCall): Promise<BackendResponse> {
    if (this.isCut) throw new HttpNotSentError('connection timed out');
    const id = call.requestId ?? '';
    this.target.runs.push(id);
    call.signal.addEventListener('abort', () => this.target.cancelled.push(id));
    await sleep(this.node.process, this.target.answerMs, call.signal);
    if (call.signal.aborted) throw new Error('request aborted');
    return {
      status: 200,
      headers: { 'x-run': id },
      rawHeaders: ['X-Run', id],
      endsWithConnection: false,
      body: this.body(),
      discard: () => this.target.cancelled.push(id),
    };
  }

  private async *body(): AsyncGenerator<Uint8Array> {
    for (let index = 0; index < CHUNKS; index += 1) {
      this.target.chunksSent += 1;
      await Promise.resolve();
      yield new Uint8Array(CHUNK_BYTES).fill(index);
    }
  }
}

interface Daemon {
  readonly node: SimulatedNode;
  readonly direct: FakeClient;
  readonly client: RelayingClient;
  readonly service: RelayService;
  readonly paths: BackendPaths;
}

class RelayWorld {
  readonly cluster = new SimulatedCluster({ seed: 3 });
  readonly target = new SharedBackEnd();
  readonly daemons: Daemon[] = [];
  private sent = 0;

  async add(hasRelays = true): Promise<Daemon> {
    const name = `d${String(this.daemons.length)}`;
    const node = await this.cluster.add(name);
    const { process: clock, peers } = node;
    const directory = new BackendDirectory(clock);
    directory.put(backEnd('b1'));
    const direct = new FakeClient(this.target, node);
    const canReach = (): Promise<boolean> => Promise.resolve(!direct.isCut);
    const random = new Random(5);
    const paths = new BackendPaths({ directory, probe: { canReach }, clock, random, log: silentLog });
    const relayPeers = new RelayPeers({
      selfId: name,
      zone: 'zone-a',
      members: () =>
        this.daemons.map((_, index) => ({
          id: `d${String(index)}`,
          address: `d${String(index)}:8082`,
          zone: 'zone-a',
          capacity: 100,
        })),
      clock,
      random,
    });
    const options = { daemon: name, instance: 1, direct, directory, paths, relayPeers, peers };
    const client = new RelayingClient({ ...options, log: silentLog });
    const service = new RelayService({
      directory,
      paths,
      client: direct,
      probe: { probe: () => Promise.resolve('running') },
      peers,
      acquire: () => ({ end: () => undefined }),
      onHead: () => undefined,
      isStopping: () => false,
      clock,
    });
    if (hasRelays) service.start();
    const daemon = { node, direct, client, service, paths };
    this.daemons.push(daemon);
    return daemon;
  }

  cutOff({ direct, paths }: Daemon): void {
    direct.isCut = true;
    paths.noteNotConnected('b1');
  }

  send({ client }: Daemon, signal = new AbortController().signal): Promise<BackendResponse> {
    this.sent += 1;
    return client.send({
      backEndId: 'b1',
      requestId: `r${String(this.sent)}`,
      address: 'b1:80',
      method: 'POST',
      target: '/',
      headers: [],
      body: new Uint8Array([1, 2, 3]),
      signal,
      connectTimeoutMs: 400,
    });
  }
}

async function readAll(response: BackendResponse): Promise<number[]> {
  const firsts: number[] = [];
  for await (const chunk of response.body) firsts.push(chunk[0] ?? -1);
  return firsts;
}

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
  try {
    await promise;
  } catch (error) {
    return error;
  }
  throw new Error('did not fail');
}

describe('relays', () => {
  let world: RelayWorld;

  beforeEach(() => {
    world = new RelayWorld();
  });

  it('deliver the whole response in order, and the back end runs the request once', async () => {
    const [first] = [await world.add(), await world.add()];
    world.cutOff(first);
    const response = await world.cluster.settle(world.send(first));
    expect(response).to.include({ status: 200 });
    expect(response.headers).to.deep.equal({ 'x-run': 'r1' });
    const firsts = await world.cluster.settle(readAll(response));
    expect(firsts).to.deep.equal(Array.from({ length: CHUNKS }, (_, index) => index));
    expect(world.target.runs).to.deep.equal(['r1']);
    expect(world.daemons.map(({ service }) => service.inProgress)).to.deep.equal([0, 0]);
  });

  it('read no further than the daemon does', async () => {
    const [first] = [await world.add(), await world.add()];
    world.cutOff(first);
    const response = await world.cluster.settle(world.send(first));
    const body = response.body[Symbol.asyncIterator]();
    await world.cluster.settle(body.next());
    await world.cluster.advance(2000);
    expect(world.target.chunksSent).to.be.at.most(2);
  });

  it('fail with an unknown outcome when the relay is killed, and the request is not sent again', async () => {
    const [first, second] = [await world.add(), await world.add()];
    await world.add();
    world.target.answerMs = 500;
    world.cutOff(first);
    const failure = failureOf(world.send(first));
    await world.cluster.advance(100);
    for (const { node, service } of world.daemons.slice(1)) if (service.inProgress > 0) node.process.kill();
    expect(second.service).to.not.equal(undefined);
    const error = await world.cluster.settle(failure);
    expect(error).to.not.be.instanceOf(HttpNotSentError);
    await world.cluster.advance(3000);
    expect(world.target.runs).to.deep.equal(['r1']);
  });

  it('end the work of the back end when the daemon cancels or is killed', async () => {
    const [first] = [await world.add(), await world.add()];
    world.target.answerMs = 5000;
    world.cutOff(first);
    const leaving = new AbortController();
    const failure = failureOf(world.send(first, leaving.signal));
    await world.cluster.advance(100);
    leaving.abort();
    await world.cluster.advance(100);
    expect(world.target.cancelled).to.deep.equal(['r1']);
    await world.cluster.settle(failure);
    void failureOf(world.send(first));
    await world.cluster.advance(100);
    first.node.process.kill();
    await world.cluster.advance(400);
    expect(world.target.cancelled).to.deep.equal(['r1', 'r2']);
  });

  it('do not hold up a daemon that cancels, even when they do not answer', async () => {
    const [first, second] = [await world.add(), await world.add()];
    world.target.answerMs = 5000;
    world.cutOff(first);
    const leaving = new AbortController();
    const failure = failureOf(world.send(first, leaving.signal));
    await world.cluster.advance(100);
    second.node.process.pause(3000);
    leaving.abort();
    const startedAt = world.cluster.world.now;
    await world.cluster.settle(failure);
    expect(world.cluster.world.now - startedAt).to.be.below(10);
  });

  it('pass over daemons that do not know them, are cut off themselves or are gone', async () => {
    const first = await world.add();
    await world.add(false);
    world.cutOff(await world.add());
    const gone = await world.add();
    gone.node.process.kill();
    await world.add();
    world.cutOff(first);
    for (let index = 0; index < 4; index += 1) {
      // Three daemons are tried for one send; the ones that did not help are avoided by the next.
      const outcome = await world.cluster.settle(world.send(first).catch((error: unknown) => error));
      if (outcome instanceof Error) expect(outcome).to.be.instanceOf(HttpNotSentError);
      else await world.cluster.settle(readAll(outcome as BackendResponse));
    }
    expect(world.target.runs.length).to.be.at.least(3);
    expect(new Set(world.target.runs).size).to.equal(world.target.runs.length);
  });

  it('never use a further relay', async () => {
    const [first, second] = [await world.add(), await world.add()];
    await world.add();
    world.cutOff(first);
    second.paths.noteNotConnected('b1');
    for (let index = 0; index < 5; index += 1)
      await world.cluster.settle(readAll(await world.cluster.settle(world.send(first))));
    expect(second.client.outcomes.size).to.equal(0);
    expect(world.target.runs).to.have.length(5);
  });

  it('fail as not sent when no daemon reaches the back end, and soon', async () => {
    for (let index = 0; index < 4; index += 1) await world.add();
    for (const daemon of world.daemons) world.cutOff(daemon);
    const startedAt = world.cluster.world.now;
    const error = await world.cluster.settle(failureOf(world.send(world.daemons[0] as Daemon)));
    expect(error).to.be.instanceOf(HttpNotSentError);
    expect(error).to.not.be.instanceOf(WoodbarrowError);
    expect(world.cluster.world.now - startedAt).to.be.below(100);
  });
});
