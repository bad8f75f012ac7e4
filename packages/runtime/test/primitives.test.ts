import { expect } from 'chai';
import {
  AsyncQueue,
  Random,
  RetryBudget,
  SimulatedProcess,
  SimulatedWorld,
  SlidingWindow,
  Wakeup,
  backoffDelay,
  leastBy,
  settleWithin,
  sleep,
} from '../src/index.js';

function newProcess(world: SimulatedWorld, clockRate = 1): SimulatedProcess {
  return new SimulatedProcess(world, { name: 'p', zone: 'z', region: 'r', clockRate });
}

describe('Random', () => {
  it('returns equal sequences for equal seeds and values within bounds', () => {
    const first = new Random(7);
    const second = new Random(7);
    for (let draw = 0; draw < 1000; draw += 1) {
      const value = first.between(3, 5);
      expect(value).to.equal(second.between(3, 5));
      expect(value).to.be.within(3, 5);
    }
    expect(first.shuffle([1, 2, 3, 4]).sort()).to.deep.equal([1, 2, 3, 4]);
    expect(first.pick([])).to.equal(undefined);
    expect(first.id()).to.match(/^[a-z0-9]{16}$/);
  });
});

describe('AsyncQueue', () => {
  it('yields values in order, then throws the error it was closed with', async () => {
    const queue = new AsyncQueue<number>();
    queue.push(1);
    const seen: number[] = [];
    const reading = (async () => {
      for await (const value of queue) seen.push(value);
    })();
    queue.push(2);
    queue.close(new Error('broken'));
    queue.push(3);
    expect(await reading.catch((error: unknown) => (error as Error).message)).to.equal('broken');
    expect(seen).to.deep.equal([1, 2]);
  });
});

describe('retry policy', () => {
  it('limits retries to a share of the load', () => {
    const world = new SimulatedWorld();
    const budget = new RetryBudget({ ratio: 0.1, minimumPerSecond: 0, maximumSaved: 5 }, newProcess(world));
    let retries = 0;
    for (let attempt = 0; attempt < 1000; attempt += 1) {
      budget.recordAttempt();
      if (budget.tryRetry()) retries += 1;
    }
    expect(retries).to.be.within(95, 106);
  });

  it('allows no more retries to processes that follow one another than to one that runs on', async () => {
    const world = new SimulatedWorld();
    const options = { ratio: 0.1, minimumPerSecond: 5, maximumSaved: 50 };
    let retries = 0;
    for (let run = 0; run < 20; run += 1) {
      const budget = new RetryBudget(options, newProcess(world));
      for (let attempt = 0; attempt < 100; attempt += 1) {
        await world.run(world.now + 10);
        budget.recordAttempt();
        if (budget.tryRetry()) retries += 1;
      }
    }
    expect(retries).to.be.at.most(20 * (100 * options.ratio + options.minimumPerSecond));
    expect(retries).to.be.above(10 * (100 * options.ratio + options.minimumPerSecond));
  });

  it('increases delays exponentially up to a maximum', () => {
    const random = new Random(1);
    const options = { initialMs: 10, maximumMs: 100 };
    expect(backoffDelay(options, 0, random)).to.be.within(5, 10);
    expect(backoffDelay(options, 50, random)).to.be.within(50, 100);
  });
});

describe('SimulatedProcess', () => {
  it('follows its own clock rate, delays timers while paused and runs no timers once killed', async () => {
    const world = new SimulatedWorld();
    const fast = newProcess(world, 2);
    const log: string[] = [];
    void sleep(fast, 1000).then(() => log.push(`fast ${String(world.now)}`));
    const paused = newProcess(world);
    paused.pause(3000);
    void sleep(paused, 1000).then(() => log.push(`paused ${String(world.now)}`));
    const dead = newProcess(world);
    void sleep(dead, 1000).then(() => log.push('dead'));
    dead.kill();
    await world.run(10_000);
    expect(log).to.deep.equal(['fast 500', 'paused 3000']);
    expect(fast.monotonic()).to.equal(20_000);
  });

  it('supports time-outs of promises and interruptible waits', async () => {
    const world = new SimulatedWorld();
    const process = newProcess(world);
    const never = settleWithin(process, 100, new Promise(() => undefined));
    const soon = settleWithin(
      process,
      100,
      sleep(process, 50).then(() => 'done'),
    );
    const wakeup = new Wakeup();
    let wokenAt = -1;
    void wakeup.wait(process, 1000, new AbortController().signal).then(() => {
      wokenAt = world.now;
    });
    world.schedule(70, () => {
      wakeup.wake();
    });
    await world.run(2000);
    expect(await never).to.deep.equal({ timedOut: true });
    expect(await soon).to.deep.equal({ timedOut: false, value: 'done' });
    expect(wokenAt).to.equal(70);
  });
});

describe('SlidingWindow', () => {
  it('counts events in the window and returns the wait until another event is allowed', async () => {
    const world = new SimulatedWorld();
    const window = new SlidingWindow(1000, newProcess(world));
    const begun: number[] = [];
    while (world.now < 10_000) {
      await world.run(world.now + window.waitMs(3));
      window.add();
      begun.push(world.now);
    }
    for (const start of begun) {
      const within = begun.filter((at) => at >= start && at < start + 1000);
      expect(within.length, `from ${String(start)}`).to.be.at.most(3);
    }
    expect(begun.length).to.be.greaterThan(25);
    await world.run(world.now + 1001);
    expect(window.count()).to.equal(0);
  });
});

describe('leastBy', () => {
  it('returns the first item with the lowest cost, and undefined for no items', () => {
    const items = ['bb', 'a', 'c'];
    expect(leastBy(items, (item) => item.length)).to.equal('a');
    expect(leastBy([], () => 0)).to.equal(undefined);
  });
});
