import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  LESS_URGENT_EVERY,
  LessUrgentTurns,
  WorkerCapacity,
  compareWaiting,
  decideWithoutRoom,
  freeSlots,
  isPreemptionExpected,
  shareOfFree,
  spreadRetryMs,
  type Competition,
  type WaitingOrder,
} from '../src/index.js';

const USE = { requests: 0, heldTokens: 0, slots: 16, cacheTokens: 1000 };
const ALONE: Competition = {
  daemons: 1,
  own: 1,
  equal: 0,
  moreUrgent: 0,
  lessUrgent: 0,
  arrivals: 0,
  ending: 0,
};

describe('Bound of a worker', () => {
  it('leaves no room when the cache would overflow, except on an idle worker', () => {
    expect(freeSlots({ ...USE, requests: 1, heldTokens: 900 }, 101)).to.equal(0);
    expect(freeSlots({ ...USE, requests: 1, heldTokens: 900 }, 100)).to.equal(15);
    expect(freeSlots(USE, 2000)).to.equal(16);
  });

  it('gives a single daemon the whole room', () => {
    expect(shareOfFree(4, ALONE)).to.equal(4);
  });

  it('gives each daemon its part of what the requests of all compete for', () => {
    expect(shareOfFree(4, { ...ALONE, daemons: 74, equal: 7 })).to.equal(0.5);
    expect(shareOfFree(4, { ...ALONE, daemons: 2, equal: 100 })).to.equal(2);
  });

  it('keeps a part of the room for less urgent requests, and the rest for more urgent ones', () => {
    expect(shareOfFree(4, { ...ALONE, daemons: 74, lessUrgent: 5 })).to.equal(3);
    expect(shareOfFree(4, { ...ALONE, daemons: 74, moreUrgent: 100 })).to.equal(1);
  });

  it('draws a share below one anew in each report interval, and not more often', async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
    const capacity = new WorkerCapacity(new Random(1), clock);
    const contended = { ...ALONE, daemons: 74, equal: 7, arrivals: 30 };
    const allows = (): boolean => capacity.allows('w', { ...USE, requests: 14 }, 1, 0, () => contended);
    let allowed = 0;
    for (let interval = 0; interval < 400; interval += 1) {
      const first = allows();
      expect(allows()).to.equal(first);
      if (first) {
        allowed += 1;
        capacity.noteTaken('w', 0);
        expect(allows()).to.equal(false);
      }
      await world.run(world.now + 301);
    }
    expect(allowed / 400).to.be.within(0.2, 0.3);
  });
});

describe('Order of waiting requests', () => {
  const request: WaitingOrder = {
    priority: 1,
    targetBy: 100,
    startBy: 1000,
    queuedAt: 0,
    isResumption: false,
  };

  it('puts resumed streams first, then the urgent, then those that can still be in time', () => {
    const resumed = { ...request, priority: 9, isResumption: true };
    const urgent = { ...request, priority: 0, targetBy: 900 };
    const late = { ...request, targetBy: 40 };
    const sorted = [late, request, urgent, resumed].sort((left, right) => compareWaiting(left, right, 50));
    expect(sorted).to.deep.equal([resumed, urgent, request, late]);
  });

  it('gives every fourth place of a worker to a less urgent request', () => {
    const turns = new LessUrgentTurns();
    const due: boolean[] = [];
    for (let place = 0; place < 2 * LESS_URGENT_EVERY; place += 1) {
      const isDue = turns.isDue('w');
      due.push(isDue);
      turns.noteGiven('w', !isDue);
    }
    expect(due).to.deep.equal([false, false, false, true, false, false, false, true]);
  });
});

describe('Waiting request without room', () => {
  const facts = {
    targetLeftMs: 500,
    startLeftMs: 2000,
    preempts: true,
    waitOnWorkerMs: 100,
    waitBehindQueueMs: () => 150,
  };

  it('waits, goes to a worker that preempts when its target is near, and is refused when that cannot serve it', () => {
    expect(decideWithoutRoom(facts)).to.equal('wait');
    expect(decideWithoutRoom({ ...facts, targetLeftMs: 50 })).to.equal('send');
    expect(decideWithoutRoom({ ...facts, targetLeftMs: 50, preempts: false })).to.equal('wait');
    expect(decideWithoutRoom({ ...facts, startLeftMs: 150, preempts: false })).to.equal('send');
    expect(decideWithoutRoom({ ...facts, startLeftMs: 140, preempts: false })).to.equal('refuse');
  });

  it('expects no preemption where requests as urgent fill the slots', () => {
    expect(isPreemptionExpected(20, 16, 0.5)).to.equal(true);
    expect(isPreemptionExpected(40, 16, 0.5)).to.equal(false);
    expect(isPreemptionExpected(15, 16, 0)).to.equal(false);
  });

  it('spreads retries over half of the expected wait', () => {
    expect(spreadRetryMs(1000, 0)).to.equal(1000);
    expect(spreadRetryMs(1000, 0.9)).to.equal(1450);
  });
});
