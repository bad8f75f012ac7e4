import { expect } from 'chai';
import { ENGINE } from './engines.js';
import { ForwardingWorld, answer, stalled, type BackendScript } from './simulated-exchange.js';

const serve: BackendScript = () => Promise.resolve(answer(200, 'served'));
const reset: BackendScript = () => Promise.reject(new Error('reset'));
const decline: BackendScript = () => Promise.resolve(answer(503));
const hang: BackendScript = () => new Promise(() => undefined);
const CUT = new Error('cut');

describe('Forwarder', () => {
  it('refuses new requests when the daemon is stopping', async () => {
    const world = new ForwardingWorld([{}]);
    world.add('b1', serve);
    world.stop.abort();
    const exchange = await world.ask();
    expect(exchange.status).to.equal(503);
    expect(exchange.answerHeaders).to.deep.equal(['retry', '0.01']);
    expect(world.calls).to.have.length(0);
  });

  it('does not resend a request that must run once after it may have run', async () => {
    for (const script of [reset, hang]) {
      const world = new ForwardingWorld([{ kind: 'once' }, { kind: 'stream' }]);
      world.add('b1', script);
      world.add('b2', script);
      for (const target of ['/r0/', '/r1/']) {
        const before = world.calls.length;
        const exchange = await world.ask({}, target);
        expect(exchange.status).to.be.oneOf([502, 504]);
        expect(world.calls.length - before).to.equal(1);
      }
    }
  });

  it('limits a repeatable request to the maximum attempts of its route', async () => {
    const world = new ForwardingWorld([{ kind: 'repeatable', maximumAttempts: 2 }]);
    for (const id of ['b1', 'b2', 'b3', 'b4']) world.add(id, reset);
    expect((await world.ask()).status).to.equal(502);
    expect(world.calls).to.have.length(2);
  });

  it('refuses a request that every back end declined', async () => {
    const world = new ForwardingWorld([{ kind: 'once' }]);
    world.add('b1', decline);
    world.add('b2', decline);
    expect((await world.ask()).status).to.equal(503);
  });

  it('forwards the remaining time, and answers at the timeout of the route', async () => {
    const world = new ForwardingWorld([{ kind: 'once', timeoutMs: 500 }]);
    world.add('b1', hang);
    const exchange = await world.ask({ wait: '900' });
    expect(exchange.status).to.equal(504);
    expect(world.world.now).to.be.within(499, 520);
    expect(world.calls[0]?.headers[1]).to.equal('500');
  });

  it('resumes a stream after the last complete event, and forwards every event once', async () => {
    const world = new ForwardingWorld([{ kind: 'resumable_stream' }], ENGINE);
    const script: BackendScript = (call) => {
      const after = call.headers[3] ?? '';
      return Promise.resolve(
        after === ''
          ? answer(200, 'id: 0\ndata: a\n\nid: 1\nda', 'ta: b\n\nid: 2\nda', CUT)
          : answer(200, `id: 2\ndata: c (after ${after})\n\n`, 'id: 3\ndata: d\n\n'),
      );
    };
    world.add('b1', script, ['m']);
    world.add('b2', script, ['m']);
    const exchange = await world.ask({ model: 'm' });
    expect(exchange.body).to.equal(
      'id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c (after 1)\n\nid: 3\ndata: d\n\n',
    );
    expect(exchange.ending).to.equal('complete');
  });

  it('limits concurrent requests to a back end to its share of the connections', async () => {
    const world = new ForwardingWorld([{ kind: 'once', timeoutMs: 500 }], undefined, 10);
    world.add('b1', hang);
    const asked = Array.from({ length: 8 }, (_, index) => world.ask({ id: String(index) }));
    const statuses = (await Promise.all(asked)).map((exchange) => exchange.status);
    expect(world.calls).to.have.length(4);
    expect(statuses.filter((status) => status === 503)).to.have.length(4);
  });

  // Guards against refusals while runs end within the time of the request, as when all clients come to the one daemon left.
  for (const [name, engine] of [
    ['plain service', undefined],
    ['model', ENGINE],
  ] as const) {
    it(`lets requests for a ${name} wait for a connection, the most urgent and then the oldest first`, async () => {
      const world = new ForwardingWorld(
        [
          { kind: 'once', timeoutMs: 2000, priority: 5 },
          { kind: 'once', timeoutMs: 2000, priority: 1 },
        ],
        engine,
        10,
      );
      const script: BackendScript = async (call) => {
        await world.wait(100);
        return serve(call, world);
      };
      world.add('b1', script, engine === undefined ? [] : ['m']);
      world.residency = () => Promise.resolve({ held: true, backEndId: 'b1' });
      const target = engine === undefined ? {} : { model: 'm' };
      const paths = ['/r0/0', '/r0/1', '/r0/2', '/r0/3', '/r0/4', '/r0/5', '/r0/6', '/r1/7'];
      const asked = paths.map((path) => world.ask({ id: path, ...target }, path));
      const statuses = (await Promise.all(asked)).map((exchange) => exchange.status);
      expect(statuses).to.deep.equal(Array.from({ length: 8 }, () => 200));
      const order = world.calls.map((call) => call.target.slice(-1));
      expect(order).to.deep.equal(['0', '1', '2', '3', '7', '4', '5', '6']);
    });
  }

  it('refuses requests at once that are expected to wait too long for a connection', async () => {
    const world = new ForwardingWorld([{ kind: 'once', timeoutMs: 1000 }], undefined, 10);
    const script: BackendScript = async (call) => {
      await world.wait(400);
      return serve(call, world);
    };
    world.add('b1', script);
    await world.ask();
    const asked = Array.from({ length: 16 }, () => world.ask());
    await world.world.run(world.world.now + 10);
    // Four run, and the four that can follow and end in time wait.
    expect(world.refusals).to.have.length(8);
    const statuses = (await Promise.all(asked)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 200)).to.have.length(8);
  });

  it('refuses with connections_exhausted when an available worker holds the model', async () => {
    const world = new ForwardingWorld([{ kind: 'stream', timeoutMs: 500 }], ENGINE, 10);
    world.add('b1', hang, ['m']);
    world.residency = () => Promise.resolve({ held: true, backEndId: 'b1' });
    const asked = Array.from({ length: 8 }, (_, index) => world.ask({ id: String(index), model: 'm' }));
    await Promise.all(asked);
    expect(world.refusals).to.deep.equal(Array.from({ length: 4 }, () => 'connections_exhausted'));
  });

  it('aborts the answer when a stream breaks', async () => {
    const world = new ForwardingWorld([{ kind: 'stream' }], ENGINE);
    world.add('b1', () => Promise.resolve(answer(200, 'id: 0\ndata: a\n\n', CUT)), ['m']);
    expect((await world.ask({ model: 'm' })).ending).to.equal('aborted');
  });

  it('refuses content that crashed three processes at once, whatever its request id, and serves other content', async () => {
    const world = new ForwardingWorld([{ kind: 'repeatable', maximumAttempts: 3 }]);
    const ended = new Set<string>();
    world.probe = ({ id }) => (ended.has(id) ? 'refused' : 'running');
    const script: BackendScript = (call) => {
      if (!call.target.endsWith('crash')) return serve(call, world);
      ended.add(call.address);
      return reset(call, world);
    };
    for (const id of ['b1', 'b2', 'b3', 'b4', 'b5']) world.add(id, script);
    expect((await world.ask({ id: 'first' }, '/r0/crash')).status).to.equal(502);
    expect((await world.ask({ id: 'second' }, '/r0/crash')).status).to.equal(503);
    const before = world.calls.length;
    const startedAt = world.world.now;
    const refused = await world.ask({ id: 'third' }, '/r0/crash');
    expect(refused).to.include({ status: 503, body: 'request_quarantined\n' });
    expect(world.world.now).to.equal(startedAt);
    expect(world.calls.length).to.equal(before);
    expect(ended.size).to.equal(3);
    expect(world.quarantineRecords).to.have.length(1);
    expect((await world.ask({ id: 'other' }, '/r0/well')).status).to.equal(200);
  });

  it('retries a repeatable request when its answer breaks', async () => {
    const world = new ForwardingWorld([{ kind: 'repeatable' }]);
    let sends = 0;
    const script: BackendScript = () => {
      sends += 1;
      return Promise.resolve(sends === 1 ? answer(200, 'par', CUT) : answer(200, 'whole'));
    };
    world.add('b1', script);
    world.add('b2', script);
    expect(await world.ask()).to.include({ status: 200, body: 'whole' });
  });

  it('retries a repeatable request when its answer stalls, and answers well before the deadline', async () => {
    const world = new ForwardingWorld([{ kind: 'repeatable' }]);
    let sends = 0;
    const script: BackendScript = () => {
      sends += 1;
      return Promise.resolve(sends === 1 ? stalled(200, 'par') : answer(200, 'whole'));
    };
    world.add('b1', script);
    world.add('b2', script);
    expect(await world.ask({ wait: '1000' })).to.include({ status: 200, body: 'whole' });
    expect(world.world.now).to.be.lessThan(600);
  });

  it('waits for a model no longer than the client gap limit, and returns a retry delay', async () => {
    const world = new ForwardingWorld([{ kind: 'stream', timeoutMs: 15_000, clientGapMs: 2000 }], ENGINE);
    world.residency = async (demand) => {
      await world.wait(demand.withinMs);
      return { held: false, retryAfterMs: 300, reason: 'late' };
    };
    const exchange = await world.ask({ model: 'm' });
    expect(exchange.status).to.equal(503);
    expect(world.world.now).to.be.lessThan(2000);
    expect(exchange.answerHeaders).to.deep.equal(['retry', '0.3']);
  });

  it('requests a model with the full time that the client waits, on the first attempt and after a refusal', async () => {
    const world = new ForwardingWorld(
      [{ kind: 'stream', targetLatencyMs: 1000, timeoutMs: 15_000, clientGapMs: 20_000 }],
      ENGINE,
    );
    await world.ask({ model: 'm', wait: '12000' });
    await world.ask({ model: 'm', wait: '9000' });
    const [first, second] = world.demands;
    expect(first?.withinMs).to.be.within(10_500, 12_000);
    expect(second?.withinMs).to.be.within(7800, 9000);
  });

  it('tolerates longer gaps in a stream while no other back end holds its model', async () => {
    const events = ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n'];
    const slow: BackendScript = (call, world) => {
      const whole = answer(200, ...events);
      async function* body(): AsyncGenerator<Uint8Array> {
        let count = 0;
        for await (const chunk of whole.body) {
          if (count > 0) await world.wait(700);
          count += 1;
          yield chunk;
        }
      }
      return Promise.resolve({ ...whole, body: body() });
    };
    const route = { kind: 'resumable_stream', targetGapMs: 150, clientGapMs: 2000 } as const;
    const single = new ForwardingWorld([route], ENGINE);
    single.add('b1', slow, ['m']);
    expect(await single.ask({ model: 'm' })).to.include({ body: events.join(''), ending: 'complete' });
    expect(single.calls).to.have.length(1);
    const two = new ForwardingWorld([route], ENGINE);
    for (const id of ['b1', 'b2']) two.add(id, slow, ['m']);
    await two.ask({ model: 'm' });
    expect(two.calls.length).to.be.greaterThan(1);
  });

  it('requests an adapter on holders of its model, excluding unreachable ones', async () => {
    const world = new ForwardingWorld([{ kind: 'stream' }], ENGINE);
    for (const id of ['b1', 'b2', 'b3']) world.add(id, serve, ['m']);
    world.residency = ({ without }) =>
      Promise.resolve({
        held: true,
        backEndId: ['b1', 'b2', 'b3'].find((id) => !without.includes(id)) ?? '',
      });
    expect(await world.ask({ model: 'm/a1' })).to.include({ status: 200 });
    world.scripts.delete('b1');
    for (let count = 0; count < 3; count += 1) await world.ask({ model: 'm' });
    expect(await world.ask({ model: 'm/a1' })).to.include({ status: 200 });
    expect(world.demands[world.demands.length - 1]?.without).to.deep.equal(['b1']);
  });

  it('sends to the worker that loaded the model', async () => {
    const world = new ForwardingWorld([{ kind: 'stream' }], ENGINE);
    world.add('b1', serve);
    world.residency = async () => {
      await world.wait(300);
      return { held: true, backEndId: 'b1' };
    };
    expect(await world.ask({ model: 'm' })).to.include({ status: 200, body: 'served' });
    expect(world.demands).to.have.length(1);
  });
});
