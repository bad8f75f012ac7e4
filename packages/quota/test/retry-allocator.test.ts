// Guards against retries that two allocators of a zone grant for the same window, and against zones that together grant more than the allowance.
import { EarnedRetries } from '@woodbarrow/forwarding';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { expect } from 'chai';
import {
  FIRST_MEMBER_MS,
  GRANT_TRANSIT_MS,
  retriesOfFirstMember,
  RetryAllocator,
  retryHoldMs,
  retryShareOf,
} from '../src/index.js';

const WINDOW_MS = 10_000;
const SERVICE = 's';

describe('allocators of retries', () => {
  let world: SimulatedWorld;
  let clock: SimulatedProcess;

  beforeEach(() => {
    world = new SimulatedWorld();
    clock = new SimulatedProcess(world, { name: 'p', zone: 'z', region: 'r' });
  });

  function ask(allocator: RetryAllocator, retries: number): number {
    const wish = { needed: 1, queued: retries, ahead: 0, mayBePart: false, isLast: true };
    return allocator.grant(SERVICE, wish).granted;
  }

  function createAllocator(isFirst: boolean): RetryAllocator {
    const share = { retries: 5, retriesAtFirst: 3 };
    return new RetryAllocator({
      share,
      pool: { take: () => undefined },
      isFirst,
      windowMs: WINDOW_MS,
      startsAt: 0,
      clock,
    });
  }

  it('of all zones and the first daemon together use no more than the allowance, whatever the number of zones', () => {
    for (const extra of [0, 1, 2, 7, 54, 100]) {
      for (const zones of [['a'], ['b', 'a', 'c'], ['a', 'b', 'c', 'd', 'e', 'f', 'g']]) {
        const limit = { extra, windowMs: WINDOW_MS };
        const shares = zones.map((zone) => retryShareOf(limit, zones, zone));
        const sum = shares.reduce((total, { retries }) => total + retries, 0);
        const sumAtFirst = shares.reduce((total, { retriesAtFirst }) => total + retriesAtFirst, 0);
        expect(sum).to.be.within(Math.floor(extra * 0.9), extra);
        expect(sumAtFirst + retriesOfFirstMember(limit)).to.be.at.most(extra);
        expect(retryShareOf(limit, zones, 'unknown')).to.deep.equal({ retries: 0, retriesAtFirst: 0 });
      }
    }
  });

  it('grant what is left, and again once the earlier retries no longer count', async () => {
    const allocator = createAllocator(true);
    await world.run(FIRST_MEMBER_MS + retryHoldMs(WINDOW_MS));
    expect(ask(allocator, 3)).to.equal(3);
    expect(ask(allocator, 3)).to.equal(2);
    expect(ask(allocator, 1)).to.equal(0);
    await world.run(world.now + retryHoldMs(WINDOW_MS) - 1);
    expect(ask(allocator, 1)).to.equal(0);
    await world.run(world.now + 2);
    expect(ask(allocator, 9)).to.equal(5);
  });

  it('leave out what the first daemon of the deployment may have used before them', async () => {
    const allocator = createAllocator(true);
    expect(ask(allocator, 9)).to.equal(3);
    await world.run(FIRST_MEMBER_MS + retryHoldMs(WINDOW_MS) - 1);
    expect(allocator.limit).to.equal(3);
    await world.run(FIRST_MEMBER_MS + retryHoldMs(WINDOW_MS));
    expect(allocator.limit).to.equal(5);
  });

  it('count what the first daemon of the deployment has used once it tells them, and tells them again', () => {
    const allocator = createAllocator(true);
    expect(ask(allocator, 2)).to.equal(2);
    for (let times = 0; times < 2; times += 1)
      allocator.noteFirstMemberEnded([{ service: SERVICE, retries: 1 }]);
    expect(ask(allocator, 9)).to.equal(2);
  });

  it('grant nothing while the retries of a predecessor may count, and say when they will', async () => {
    const allocator = createAllocator(false);
    const wish = { needed: 1, queued: 1, ahead: 0, mayBePart: false, isLast: true };
    expect(allocator.grant(SERVICE, wish)).to.include({ granted: 0, startsInMs: retryHoldMs(WINDOW_MS) });
    await world.run(retryHoldMs(WINDOW_MS) + 1);
    expect(allocator.grant(SERVICE, wish)).to.include({ granted: 1, startsInMs: 0 });
  });

  it('grant what the requests of several daemons earn together, each of which has too few, also right after a predecessor', async () => {
    const limits = { ratio: 0.2, windowMs: WINDOW_MS };
    const pool = new EarnedRetries({ ...limits, transitMs: GRANT_TRANSIT_MS }, clock);
    const share = { retries: 0, retriesAtFirst: 0 };
    const allocator = new RetryAllocator({
      share,
      pool,
      isFirst: false,
      windowMs: WINDOW_MS,
      startsAt: 0,
      clock,
    });
    const daemons = Array.from({ length: 5 }, () => new EarnedRetries(limits, clock));
    for (let request = 0; request < 8; request += 1) {
      for (const daemon of daemons) daemon.recordRequest(SERVICE);
      await world.run(world.now + 500);
    }
    for (const daemon of daemons) {
      expect(daemon.take(SERVICE)).to.equal(undefined);
      pool.addRequests(SERVICE, daemon.takeRequests(SERVICE));
      expect(daemon.takeRequests(SERVICE)).to.deep.equal([]);
    }
    expect(ask(allocator, 10)).to.equal(3);
    expect(ask(allocator, 10)).to.equal(0);
  });

  it('leave requests to a daemon that has enough of them to earn retries', () => {
    const daemon = new EarnedRetries({ ratio: 0.2, windowMs: WINDOW_MS }, clock);
    for (let request = 0; request < 9; request += 1) daemon.recordRequest(SERVICE);
    expect(daemon.take(SERVICE)).to.equal(undefined);
    expect(daemon.takeRequests(SERVICE)).to.deep.equal([]);
  });

  it('leave requests to a daemon that has earned a retry with them', async () => {
    const daemon = new EarnedRetries({ ratio: 0.2, windowMs: WINDOW_MS }, clock);
    for (let request = 0; request < 10; request += 1) daemon.recordRequest(SERVICE);
    expect(daemon.take(SERVICE)).not.to.equal(undefined);
    await world.run(world.now + WINDOW_MS);
    daemon.recordRequest(SERVICE);
    expect(daemon.takeRequests(SERVICE)).to.deep.equal([]);
  });
});
