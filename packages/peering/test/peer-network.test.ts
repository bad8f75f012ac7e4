import { expect } from 'chai';
import { isKind, WoodbarrowError } from '@woodbarrow/errors';
import { decodeEnvelope, definePeerMethod, encodeEnvelope, MalformedFrameError } from '@woodbarrow/protocol';
import { PeerNetwork, SimulatedCluster } from '../src/index.js';
import { AsyncQueue, SystemClock, TcpTransport, type Transport } from '@woodbarrow/runtime';

interface Greeting {
  readonly text: string;
}

const greet = definePeerMethod<Greeting, Greeting>('test.greet');

async function kindOf(promise: Promise<unknown>): Promise<string> {
  return promise.then(
    () => 'resolved',
    (error: unknown) =>
      isKind(error, 'peer_timeout', 'peer_unreachable', 'shed', 'not_found') ? error.kind : String(error),
  );
}

describe('peer network', () => {
  it('delivers calls, responses and errors with their kind', async () => {
    const cluster = new SimulatedCluster({ seed: 1 });
    const first = await cluster.add('first');
    const second = await cluster.add('second');
    second.peers.handle(greet, ({ text }) => {
      if (text === 'no') throw new WoodbarrowError('shed', 'full');
      return { text: `${text}!` };
    });
    const answer = await cluster.settle(first.peers.call(second.peers.address, greet, { text: 'hello' }));
    expect(answer).to.deep.equal({ text: 'hello!' });
    expect(
      await cluster.settle(kindOf(first.peers.call(second.peers.address, greet, { text: 'no' }))),
    ).to.equal('shed');
    const unknown = definePeerMethod<Greeting, Greeting>('test.unknown');
    const missing = kindOf(first.peers.call(second.peers.address, unknown, { text: 'x' }));
    expect(await cluster.settle(missing)).to.equal('not_found');
  });

  it('reports whether the peer may have received a request', async () => {
    const cluster = new SimulatedCluster({ seed: 1 });
    const first = await cluster.add('first');
    const unreachable = kindOf(first.peers.call('nobody:1', greet, { text: 'x' }));
    expect(await cluster.settle(unreachable)).to.equal('peer_unreachable');
    const second = await cluster.add('second');
    second.peers.handle(greet, () => new Promise<Greeting>(() => undefined));
    const unanswered = kindOf(first.peers.call(second.peers.address, greet, { text: 'x' }));
    expect(await cluster.settle(unanswered)).to.equal('peer_timeout');
  });

  it('includes the time to connect in the timeout of a call', async () => {
    const cluster = new SimulatedCluster({ seed: 1 });
    const first = await cluster.add('first');
    const second = await cluster.add('second');
    second.peers.handle(greet, () => new Promise<Greeting>(() => undefined));
    cluster.network.cut((from, to) => from !== to);
    const startedAt = cluster.world.now;
    const options = { timeoutMs: 300 };
    await cluster.settle(kindOf(first.peers.call(second.peers.address, greet, { text: 'x' }, options)));
    expect(cluster.world.now - startedAt).to.be.at.most(301);
  });

  it('opens a new connection after one without any response', async () => {
    const cluster = new SimulatedCluster({ seed: 1 });
    const { process } = await cluster.add('first');
    let connections = 0;
    const transport: Transport = {
      listen: (address) => Promise.resolve({ address, close: () => Promise.resolve() }),
      connect: (remote) => {
        connections += 1;
        // The other machine is lost without a reset: frames are dropped unansweredly.
        const frames = new AsyncQueue<Uint8Array>();
        const close = (): void => {
          frames.close();
        };
        return Promise.resolve({ remote, frames, close, send: () => undefined });
      },
    };
    const peers = new PeerNetwork({ transport, clock: process, address: 'first:1', deployment: 'simulated' });
    for (let call = 1; call <= 3; call += 1) {
      expect(await cluster.settle(kindOf(peers.call('second:1', greet, { text: 'x' })))).to.equal(
        'peer_timeout',
      );
      expect(connections).to.equal(call);
    }
  });

  it('works over TCP, and refuses connections of another deployment', async () => {
    const clock = new SystemClock();
    const options = { transport: new TcpTransport(), clock, address: '127.0.0.1:0' };
    const server = new PeerNetwork({ ...options, deployment: 'one' });
    const friend = new PeerNetwork({ ...options, deployment: 'one' });
    const stranger = new PeerNetwork({ ...options, deployment: 'two' });
    await Promise.all([server.start(), friend.start(), stranger.start()]);
    server.handle(greet, ({ text }) => ({ text: text.toUpperCase() }));
    const long = 'x'.repeat(300_000);
    expect((await friend.call(server.address, greet, { text: long })).text).to.equal(long.toUpperCase());
    expect(await kindOf(stranger.call(server.address, greet, { text: 'x' }))).to.equal('peer_timeout');
    expect(server.traffic.refusedConnections).to.equal(1);
    await Promise.all([server.close(), friend.close(), stranger.close()]);
  });

  it('rejects frames that are not envelopes', () => {
    expect(() => decodeEnvelope(new Uint8Array([1, 2, 3]))).to.throw(MalformedFrameError);
    const envelope = {
      type: 'request',
      id: 3,
      method: 'a.b',
      body: { n: 1, text: 'ü', bytes: Buffer.from([1]) },
    } as const;
    expect(decodeEnvelope(encodeEnvelope(envelope))).to.deep.equal(envelope);
  });
});
