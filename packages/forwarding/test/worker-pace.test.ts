import { expect } from 'chai';
import type { ReportedLoad } from '@woodbarrow/backends';
import { Random, SimulatedProcess, SimulatedWorld, type BackendResponse } from '@woodbarrow/runtime';
import { BackendHealth, EMPTY_NOTICE, type AnswerVerdict, type WireDialect } from '../src/index.js';
import { sendAttempt } from '../src/send-attempt.js';
import { ENGINE } from './engines.js';
import { ForwardingWorld, answer, type BackendScript } from './simulated-exchange.js';

const SIZE = { promptTokens: 100, outputTokens: 10 };

function answerWith(headers: Record<string, string>, status = 200): BackendResponse {
  return { ...answer(status, 'served'), headers };
}

function serving(figure?: string): BackendScript {
  return () => Promise.resolve(answerWith(figure === undefined ? {} : { pace: figure }));
}

/** Records a figure often enough that the pace of the worker is close to it. */
async function learn(world: ForwardingWorld, figures: Record<string, number>): Promise<void> {
  for (let count = 0; count < 20; count += 1) {
    for (const [id, figure] of Object.entries(figures)) world.paces.record(id, figure);
    await world.world.run(world.world.now + 600);
  }
}

describe('figures in the answers of workers', () => {
  it('count for the worker that was asked, whether it served or declined the request', async () => {
    const world = new ForwardingWorld([{ kind: 'once' }]);
    world.add('b1', () => Promise.resolve(answerWith({ pace: '160' }, 503)));
    world.add('b2', serving('60'));
    world.add('b3', serving());
    for (let count = 0; count < 6; count += 1) await world.ask();
    expect(world.paces.paceOf('b1')).to.be.above(1);
    expect(world.paces.paceOf('b2')).to.be.below(1);
    expect(world.paces.paceOf('b3')).to.equal(1);
  });

  it('are ignored in answers that come from another worker or answer another request', async () => {
    const outcomes: [AnswerVerdict, boolean, number][] = [
      ['genuine', true, 1],
      ['not_run', true, 1],
      ['foreign', true, 0],
      ['other_incarnation', true, 0],
      ['genuine', false, 0],
    ];
    const backEnd = new ForwardingWorld([{}]).add('b1', serving());
    for (const [verdict, hasNotice, expected] of outcomes) {
      const loads: ReportedLoad[] = [];
      const plan = {
        backEnd,
        requestId: 'x',
        method: 'POST',
        target: '/',
        headers: [],
        body: new Uint8Array(),
        controller: new AbortController(),
        onNotice: () => undefined,
        onLoad: (load: ReportedLoad) => loads.push(load),
        onOverlong: () => undefined,
      };
      const clock = new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'a', region: 'r' });
      const client = {
        connectionsOpened: 0,
        closeIdleConnections: () => undefined,
        send: () => Promise.resolve(answerWith({ pace: '160' })),
      };
      const dialect = {
        judge: () => verdict,
        readNotice: () => (hasNotice ? EMPTY_NOTICE : undefined),
        readLoad: () => ({ running: 1, waiting: 0, slots: 4, pacePercent: 160 }),
      } as unknown as WireDialect;
      await sendAttempt(plan, client, dialect, clock);
      expect(loads, `${verdict}, notice ${String(hasNotice)}`).to.have.length(expected);
    }
  });
});

describe('choice among workers of different pace', () => {
  /** Sends a request for model m and returns the worker that served it. */
  async function chosen(world: ForwardingWorld): Promise<string | undefined> {
    await world.ask({ model: 'm' });
    return world.calls.at(-1)?.address;
  }

  function worldOf(...ids: string[]): ForwardingWorld {
    const world = new ForwardingWorld([{ kind: 'once' }], ENGINE);
    for (const id of ids) world.add(id, serving(), ['m']);
    return world;
  }

  function occupy(world: ForwardingWorld, id: string, requests: number): void {
    for (let count = 0; count < requests; count += 1) world.loads.start(id, { model: 'm' }, SIZE);
  }

  it('fills the slots of a fast worker before a slow one is used', async () => {
    const world = worldOf('slow', 'fast');
    await learn(world, { slow: 160, fast: 60 });
    for (let requests = 0; requests < ENGINE.slots; requests += 1) {
      expect(await chosen(world), `${String(requests)} requests on the fast worker`).to.equal('fast');
      occupy(world, 'fast', 1);
    }
    expect(await chosen(world)).to.equal('slow');
  });

  it('never prefers a full, avoided or failing worker for its pace, however long the run', async () => {
    const prepare: Record<string, (world: ForwardingWorld) => void> = {
      full: (world) => {
        occupy(world, 'fast', ENGINE.slots);
      },
      failing: (world) => {
        for (let count = 0; count < 8; count += 1) world.healthOf('service').record('fast', 'failed_answer');
      },
      avoided: (world) => {
        world.healthOf('service').record('fast', 'timed_out');
      },
    };
    for (const [name, change] of Object.entries(prepare)) {
      const world = worldOf('slow', 'fast');
      for (let run = 0; run < 20; run += 1) world.runTimes.recordRun('m', undefined, 120_000);
      await learn(world, { slow: 400, fast: 60 });
      change(world);
      expect(await chosen(world), name).to.equal('slow');
    }
  });

  it('uses the faster one of two full workers', async () => {
    const world = worldOf('slow', 'fast');
    await learn(world, { slow: 160, fast: 60 });
    occupy(world, 'slow', ENGINE.slots);
    occupy(world, 'fast', ENGINE.slots);
    expect(await chosen(world)).to.equal('fast');
  });

  it('is the same as without the part while no pace is known', async () => {
    const ids = ['b1', 'b2', 'b3', 'b4'];
    const random = new Random(3);
    for (let round = 0; round < 50; round += 1) {
      const world = worldOf(...ids);
      for (const id of ids) {
        world.runTimes.recordRun('m', undefined, random.between(10, 9000));
        occupy(world, id, random.integer(ENGINE.slots + 2));
        if (random.next() < 0.3) world.healthOf('service').record(id, 'good', random.between(1, 9));
      }
      const health = world.healthOf('service');
      const costOf = (id: string): number => {
        const { unreadTokens, requests } = world.loads.loadOf(id);
        const cost = ((unreadTokens + 100) / 40 + requests * 2) * health.slowness(id);
        return requests >= ENGINE.slots ? cost + 2000 : cost;
      };
      const expected = ids.reduce((best, id) => (costOf(id) < costOf(best) ? id : best));
      expect(await chosen(world)).to.equal(expected);
      expect(world.paces.totals().known).to.equal(0);
    }
  });

  it('weighs requests in progress on slow workers without models more', async () => {
    const world = new ForwardingWorld([{ kind: 'once' }]);
    for (const id of ['slow', 'fast']) world.add(id, serving());
    await learn(world, { slow: 160, fast: 60 });
    world.loads.start('fast', undefined, SIZE);
    await world.ask();
    expect(world.calls.at(-1)?.address).to.equal('fast');
    for (let count = 0; count < 3; count += 1) world.loads.start('fast', undefined, SIZE);
    await world.ask();
    expect(world.calls.at(-1)?.address).to.equal('slow');
  });
});

describe('BackendHealth with reported paces', () => {
  it('does not take a slow moment of a worker for a failing one, but an unexplained delay', () => {
    const clock = new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'a', region: 'r' });
    const health = new BackendHealth(clock);
    for (let count = 0; count < 40; count += 1) {
      health.record('steady', 'good', 1, 100);
      health.record('slow for a moment', 'good', 2.5, 250);
      health.record('slow without notice', 'good', 2.5);
    }
    expect(health.slowness('slow for a moment')).to.be.closeTo(health.slowness('steady'), 1e-9);
    expect(health.slowness('slow without notice')).to.be.above(1.5 * health.slowness('steady'));
  });
});
