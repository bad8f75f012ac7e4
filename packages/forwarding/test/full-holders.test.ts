import { expect } from 'chai';
import type { BackendResponse } from '@woodbarrow/runtime';
import { ENGINE } from './engines.js';
import { ForwardingWorld, SimulatedExchange, answer, type BackendScript } from './simulated-exchange.js';

const MODEL = {
  name: 'm',
  weightsMb: 1,
  adapterMb: 1,
  storeLoadMs: 13_200,
  diskLoadMs: 800,
  memoryLoadMs: 500,
};
const SLOW_ENGINE = { ...ENGINE, models: new Map([['m', MODEL]]) };

/** A world whose back ends answer when told to. */
class HeldWorld extends ForwardingWorld {
  readonly release: (() => void)[] = [];
  readonly hold: BackendScript = () =>
    new Promise<BackendResponse>((resolve) => {
      this.release.push(() => {
        resolve(answer(200, 'served'));
      });
    });

  /** Sends requests for the model without waiting for their ends. */
  begin(count: number): SimulatedExchange[] {
    return Array.from({ length: count }, () => {
      const exchange = new SimulatedExchange('/r0/', { host: 'host', id: 'x', model: 'm' });
      void this.forwarder.handle(exchange);
      return exchange;
    });
  }

  run(durationMs: number): Promise<unknown> {
    return this.world.run(this.world.now + durationMs);
  }

  /** Records runs of one priority, as known after some traffic. */
  recordRuns(durationMs: number): void {
    for (let run = 0; run < 10; run += 1) this.dispatch.noteEnded('service', 1, durationMs);
  }
}

describe('Requests for a model whose holders are full', () => {
  let world: HeldWorld;

  beforeEach(() => {
    world = new HeldWorld([{}], SLOW_ENGINE);
    world.add('b1', world.hold, ['m']);
    world.recordRuns(400);
  });

  it('wait for a slot and are sent once', async () => {
    const exchanges = world.begin(5);
    await world.run(100);
    expect(world.calls).to.have.length(4);
    expect(world.dispatch.totals).to.include({ waiting: 1, waited: 1 });
    expect(world.loads.waitingFor('m', 1)).to.equal(1);
    world.release[0]?.();
    await world.run(10);
    expect(world.calls).to.have.length(5);
    expect(world.loads.waitingFor('m', 1)).to.equal(0);
    for (const release of world.release) release();
    await world.run(1000);
    expect(exchanges.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200]);
    expect(world.calls).to.have.length(5);
  });

  it('are sent at once without slow loads, or where the settings ask for no queue', async () => {
    for (const unqueued of [new HeldWorld([{}], ENGINE), new HeldWorld([{}], SLOW_ENGINE, 100, false)]) {
      unqueued.add('b1', unqueued.hold, ['m']);
      unqueued.begin(5);
      await unqueued.run(10);
      expect(unqueued.calls).to.have.length(5);
      expect(unqueued.dispatch.totals).to.deep.equal({ waiting: 0, waited: 0, refused: 0, lastResort: 0 });
    }
  });

  it('are refused as not run when they cannot be served before their clients give up', async () => {
    world.recordRuns(20_000);
    const exchanges = world.begin(5);
    await world.run(10);
    expect(exchanges[4]?.status).to.equal(503);
    expect(exchanges[4]?.body).to.equal('shed\n');
    expect(world.refusals).to.deep.equal(['workers_full']);
    expect(Number(exchanges[4]?.answerHeaders[1])).to.be.within(2.5, 8);
    expect(world.calls).to.have.length(4);
  });

  it('select another holder when theirs disappears', async () => {
    world.begin(5);
    await world.run(20);
    world.directory.remove('b1');
    world.add('b2', world.hold, ['m']);
    await world.run(100);
    expect(world.calls.map(({ address }) => address)).to.deep.equal(['b1', 'b1', 'b1', 'b1', 'b2']);
  });

  it('ask for a load when their only holder disappears', async () => {
    const exchanges = world.begin(5);
    await world.run(20);
    world.directory.remove('b1');
    await world.run(100);
    expect(world.demands).to.have.length(1);
    expect(exchanges[4]?.status).to.equal(503);
    expect(world.dispatch.totals.waiting).to.equal(0);
  });

  it('are refused as not run when the daemon stops', async () => {
    const exchanges = world.begin(5);
    await world.run(20);
    world.stop.abort();
    await world.run(20);
    expect(exchanges[4]?.status).to.equal(503);
    expect(exchanges[4]?.body).to.equal('stopping\n');
    expect(world.calls).to.have.length(4);
    expect(world.dispatch.totals.waiting).to.equal(0);
  });

  it('are sent to a full worker when their time is nearly up and none are ahead of them', async () => {
    world.recordRuns(400);
    const exchanges = world.begin(5);
    await world.run(60_000);
    expect(exchanges[4]?.status).to.not.equal(503);
    expect(world.calls).to.have.length(5);
    expect(world.dispatch.totals).to.include({ waiting: 0, refused: 0, lastResort: 1 });
  });

  it('expect the wait from requests that ran, not from those that a worker declined', async () => {
    world.add('b2', () => Promise.resolve(answer(503)), ['m']);
    world.begin(9);
    await world.run(20);
    const declined = world.calls.filter(({ address }) => address === 'b2');
    expect(declined.length).to.be.greaterThan(3);
    expect(world.dispatch.places.meanRunMs('service')).to.be.closeTo(400, 0.001);
  });

  it('give their place back when their client leaves as they get it', async () => {
    const backEnd = world.directory.get('b1');
    if (backEnd === undefined) throw new Error('no back end');
    const size = { target: { model: 'm' }, engine: SLOW_ENGINE, tokens: 1, priority: 1, isResumption: false };
    const taken = world.dispatch.places.take(backEnd, size);
    const [, , , last] = world.begin(4);
    await world.run(20);
    expect(world.dispatch.totals.waiting).to.equal(1);
    // The place is given in the same turn in which the client leaves, before the request continues.
    taken.release('unused');
    expect(world.dispatch.totals.waiting).to.equal(0);
    last?.leave();
    await world.run(20);
    expect(world.calls).to.have.length(3);
    expect(world.dispatch.places.useOf('b1', SLOW_ENGINE).requests).to.equal(3);
    world.begin(1);
    await world.run(20);
    expect(world.calls).to.have.length(4);
  });
});
