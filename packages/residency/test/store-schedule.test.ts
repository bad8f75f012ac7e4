/*
 * Guards against zones that share the weight store's link without a schedule: each starts loads when it sees room, all loads take
 * a multiple of their time, and a model that many requests need comes no earlier than others.
 */
import { expect } from 'chai';
import type { StoreWish, StoreWishesMessage } from '@woodbarrow/protocol';
import { SimulatedProcess, SimulatedWorld, type Clock } from '@woodbarrow/runtime';
import { StoreLoads, StoreSchedule } from '../src/index.js';
import { StorePlay, type Play } from './store-schedule-play.js';

/** Seconds between the start of the daemons and traffic. */
const WARM_UP_S = 16;
/** Seconds of traffic after which the plays are compared. */
const MEASURED_AT_S = 34;

/** Drafting service: eight models without any copy, a link for one load. */
const DRAFTING: Play = {
  zones: 4,
  loadMs: 13_200,
  fullSpeed: 1,
  models: Array.from({ length: 8 }, (_, index) => ({ name: `rare-${String(index)}`, requestsPerS: 0.36 })),
};

/** Meter service: a model with 30 requests a second on one holder, ten rare models, a link for two loads. */
const METER: Play = {
  zones: 3,
  loadMs: 10_200,
  fullSpeed: 2,
  models: [
    { name: 'busy', requestsPerS: 30, servedByHolderPerS: 12 },
    ...Array.from({ length: 10 }, (_, index) => ({ name: `rare-${String(index)}`, requestsPerS: 0.36 })),
  ],
};

async function play(load: Play, isScheduled: boolean): Promise<StorePlay> {
  const zones = new StorePlay(load, isScheduled);
  await zones.runUntil(MEASURED_AT_S, WARM_UP_S);
  return zones;
}

const MODEL: StoreWish = {
  service: 'models',
  model: 'm1',
  kind: 'first',
  waiting: 0,
  waitingForMs: 0,
  requestsPerS: 1,
  worker: '',
  loadMs: 10_000,
  costMs: 10_000,
  startableInMs: 0,
};

function wishes(
  zone: string,
  list: readonly Partial<StoreWish>[],
  changes: Partial<StoreWishesMessage> = {},
): StoreWishesMessage {
  return {
    zone,
    fence: 1,
    wishes: list.map((wish, index) => ({ ...MODEL, worker: `${zone}-${String(index)}`, ...wish })),
    loading: [],
    ...changes,
  };
}

class Scheduler {
  readonly world = new SimulatedWorld();
  readonly process = new SimulatedProcess(this.world, { name: 'd', zone: 'z', region: 'r' });
  readonly clock: Clock = this.process;
  readonly claimed = new StoreLoads(this.clock);
  schedule = this.create();

  create(): StoreSchedule {
    return new StoreSchedule({ clock: this.clock, claimedLoads: () => this.claimed.all() });
  }

  async pass(durationMs: number): Promise<void> {
    await this.world.run(this.world.now + durationMs);
  }

  granted(message: StoreWishesMessage): string[] {
    return this.schedule.accept(message).grants.map(({ model }) => model);
  }
}

describe('schedule of loads from the weight store', () => {
  it('loads three rare models one after the other where unscheduled zones have loaded none', async () => {
    const [scheduled, unscheduled] = [await play(DRAFTING, true), await play(DRAFTING, false)];
    expect(scheduled.loadedBy(MEASURED_AT_S)).to.have.length(3);
    expect(unscheduled.loadedBy(MEASURED_AT_S)).to.have.length(0);
    expect(scheduled.served).to.be.at.least(15);
    expect(unscheduled.served).to.equal(0);
    // Two until the first loads are measured, one from then on.
    expect(Math.max(...scheduled.concurrency.slice(-400))).to.equal(1);
  });

  it('loads a replica of a busy model besides rare models without waiting for all of them', async () => {
    const [scheduled, unscheduled] = [await play(METER, true), await play(METER, false)];
    expect(scheduled.loadedBy(MEASURED_AT_S)).to.have.length.at.least(9);
    expect(unscheduled.loadedBy(MEASURED_AT_S)).to.have.length.at.most(2);
    expect(scheduled.served).to.be.at.least(unscheduled.served * 1.3);
    expect(scheduled.loadedBy(22)).to.include('busy');
    expect(unscheduled.loadedBy(22)).to.deep.equal([]);
    expect(new Set(scheduled.ends.map(({ model }) => model)).size).to.equal(scheduled.ends.length);
  });

  it('grants nothing before grants of a former scheduler have expired', async () => {
    const scheduler = new Scheduler();
    expect(scheduler.granted(wishes('a', [{}]))).to.deep.equal([]);
    await scheduler.pass(1000);
    expect(scheduler.granted(wishes('a', [{}]))).to.deep.equal(['m1']);
  });

  it('grants a model to the zone with the lowest cost only', async () => {
    const scheduler = new Scheduler();
    await scheduler.pass(1000);
    scheduler.schedule = scheduler.create();
    await scheduler.pass(900);
    scheduler.granted(wishes('a', [{ costMs: 15_000 }]));
    scheduler.granted(wishes('b', [{ costMs: 12_000 }]));
    await scheduler.pass(200);
    expect(scheduler.granted(wishes('a', [{ costMs: 15_000 }]))).to.deep.equal([]);
    expect(scheduler.granted(wishes('b', [{ costMs: 12_000 }]))).to.deep.equal(['m1']);
  });

  it('withdraws a grant that has not become a load within 1 s, and lets the next zone have it', async () => {
    const scheduler = new Scheduler();
    await scheduler.pass(1000);
    scheduler.schedule = new StoreSchedule({ clock: scheduler.clock, claimedLoads: () => [], holdOffMs: 0 });
    expect(scheduler.granted(wishes('a', [{}]))).to.deep.equal(['m1']);
    await scheduler.pass(900);
    expect(scheduler.granted(wishes('b', [{}]))).to.deep.equal([]);
    await scheduler.pass(200);
    expect(scheduler.granted(wishes('a', [{}]))).to.deep.equal([]);
    expect(scheduler.granted(wishes('b', [{}]))).to.deep.equal(['m1']);
  });

  it('grants one load at a time to a worker, and the next one to another zone that wishes for it', async () => {
    const scheduler = new Scheduler();
    const list = [
      { model: 'm1', worker: 'w' },
      { model: 'm2', worker: 'w' },
    ];
    const costly = [{ model: 'm2', costMs: 15_000 }];
    scheduler.granted(wishes('a', list));
    await scheduler.pass(900);
    scheduler.granted(wishes('a', list));
    scheduler.granted(wishes('b', costly));
    await scheduler.pass(200);
    expect(scheduler.granted(wishes('a', list))).to.deep.equal(['m1']);
    expect(scheduler.granted(wishes('b', costly))).to.deep.equal(['m2']);
  });

  it('forgets the wishes of a zone that has not reported for 1.5 s', async () => {
    const scheduler = new Scheduler();
    scheduler.granted(wishes('a', [{ costMs: 1 }]));
    await scheduler.pass(1600);
    expect(scheduler.granted(wishes('b', [{}]))).to.deep.equal(['m1']);
  });

  it('forgets the wishes of a zone from before its machine was suspended', async () => {
    const scheduler = new Scheduler();
    await scheduler.pass(900);
    expect(scheduler.granted(wishes('a', [{ costMs: 1 }]))).to.deep.equal([]);
    scheduler.process.suspend(2000);
    await scheduler.pass(2000);
    await scheduler.pass(200);
    expect(scheduler.granted(wishes('b', [{}]))).to.deep.equal(['m1']);
  });

  it('starts no load that would serve nobody in time, and tells when others are expected to start', async () => {
    const scheduler = new Scheduler();
    await scheduler.pass(1);
    const late = { model: 'late', requestsPerS: 0, waiting: 3, waitingForMs: 9000 };
    const list = [late, { model: 'm1' }, { model: 'm2' }, { model: 'm3' }];
    scheduler.schedule.accept(wishes('a', list));
    await scheduler.pass(1000);
    const answer = scheduler.schedule.accept(wishes('a', list));
    expect(answer.grants.map(({ model }) => model)).to.deep.equal(['m1', 'm2']);
    const [m3] = answer.expected.filter(({ model }) => model === 'm3');
    expect(m3?.startInMs).to.equal(10_000);
    expect(answer.nextStartInMs).to.equal(10_000);
  });

  it('serves what is asked for before it loads ahead of demand', async () => {
    const scheduler = new Scheduler();
    const list = [
      { model: 'ahead', kind: 'ahead' as const, requestsPerS: 0 },
      { model: 'few', requestsPerS: 0.4 },
      { model: 'many', requestsPerS: 2 },
    ];
    scheduler.granted(wishes('a', list));
    await scheduler.pass(1000);
    expect(scheduler.granted(wishes('a', list))).to.deep.equal(['many', 'few']);
  });

  // Requests were refused, with the end of all loads ahead of demand as retry delay, though their loads come before those.
  it('expects a model that is asked for next to start before the remaining loads ahead of demand', async () => {
    const scheduler = new Scheduler();
    const list = Array.from({ length: 12 }, (_, index) => ({
      model: `m${String(index)}`,
      kind: 'ahead' as const,
      requestsPerS: 0,
    }));
    scheduler.granted(wishes('a', list));
    await scheduler.pass(1000);
    const answer = scheduler.schedule.accept(wishes('a', list));
    expect(answer.grants).to.have.length(2);
    expect(answer.nextStartInMs).to.equal(10_000);
    expect(answer.expected).to.have.length(10);
    expect(new Set(answer.expected.map(({ startInMs }) => startInMs))).to.deep.equal(new Set([10_000]));
  });

  it('does not load a model again that has just been loaded, for a zone that has not heard of it', async () => {
    const scheduler = new Scheduler();
    const loading = [{ service: 'models', model: 'm1', kind: 'first' as const, readyInMs: 300 }];
    scheduler.granted(wishes('a', [], { loading }));
    await scheduler.pass(1100);
    scheduler.granted(wishes('a', [], { loading }));
    scheduler.granted(wishes('b', [{}]));
    await scheduler.pass(100);
    expect(scheduler.granted(wishes('a', []))).to.deep.equal([]);
    expect(scheduler.granted(wishes('b', [{}]))).to.deep.equal([]);
  });
});

describe('schedule of loads from the weight store, when the scheduler or a coordinator fails', () => {
  it('lets zones go on one at a time while the scheduler does not answer', async () => {
    const zones = new StorePlay(DRAFTING, true);
    await zones.runUntil(1, WARM_UP_S);
    zones.isAnswering = false;
    await zones.runUntil(30, WARM_UP_S);
    const before = zones.ends.length;
    const steps = zones.concurrency.length;
    await zones.runUntil(130, WARM_UP_S);
    expect(Math.max(...zones.concurrency.slice(steps))).to.equal(1);
    // A turn takes 16.5 s.
    expect(zones.ends.length - before).to.be.at.least(4);
    zones.isAnswering = true;
    zones.replaceScheduler();
    await zones.runUntil(135, WARM_UP_S);
    expect(zones.zones.every(({ access }) => !access.isOnOwn)).to.equal(true);
  });

  it('does not exceed the limit when a scheduler is replaced while loads are in progress', async () => {
    const zones = new StorePlay(DRAFTING, true);
    for (let second = -14; second < 60; second += 3) {
      await zones.runUntil(second, WARM_UP_S);
      zones.replaceScheduler();
    }
    expect(Math.max(...zones.concurrency)).to.be.at.most(2);
    expect(new Set(zones.ends.map(({ model }) => model)).size).to.equal(zones.ends.length);
    expect(zones.ends.length).to.be.at.least(3);
  });

  it('counts the loads of a zone that does not report to a new scheduler, from its claim, until they should end', async () => {
    const scheduler = new Scheduler();
    scheduler.claimed.report('lost', 7, [
      { model: 'm8', readyInMs: 8000 },
      { model: 'm9', readyInMs: 9000 },
    ]);
    scheduler.granted(wishes('b', [{ model: 'm8' }, {}]));
    await scheduler.pass(3000);
    scheduler.granted(wishes('b', [{ model: 'm8' }, {}]));
    expect(scheduler.granted(wishes('b', [{ model: 'm8' }, {}]))).to.deep.equal([]);
    await scheduler.pass(7100);
    expect(scheduler.granted(wishes('b', [{}]))).to.deep.equal(['m1']);
  });

  it('counts the loads of a coordinator that was replaced before the new scheduler began', async () => {
    const scheduler = new Scheduler();
    const loads = ['m8', 'm9'].map((model) => ({ model, readyInMs: 6000 }));
    scheduler.claimed.report('a', 1, loads);
    scheduler.claimed.report('a', 2, []);
    scheduler.granted(wishes('a', [{}], { fence: 2 }));
    await scheduler.pass(1200);
    expect(scheduler.granted(wishes('a', [{}], { fence: 2 }))).to.deep.equal([]);
    await scheduler.pass(7000);
    expect(scheduler.granted(wishes('a', [{}], { fence: 2 }))).to.deep.equal(['m1']);
  });

  it('counts the loads of a replaced coordinator, which its successor does not know of', async () => {
    const scheduler = new Scheduler();
    const load = (model: string): StoreWishesMessage['loading'][number] => {
      return { service: 'models', model, kind: 'first', readyInMs: 6000 };
    };
    scheduler.granted(wishes('a', [], { loading: [load('m8'), load('m9')] }));
    await scheduler.pass(1500);
    expect(scheduler.granted(wishes('a', [{}], { fence: 2 }))).to.deep.equal([]);
    await scheduler.pass(7000);
    expect(scheduler.granted(wishes('a', [{}], { fence: 2 }))).to.deep.equal(['m1']);
  });
});
