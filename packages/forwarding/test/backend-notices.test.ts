import { expect } from 'chai';
import { silentLog, type LogEventName } from '@woodbarrow/observability';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { BackendNotices, type BackendNotice, type RateLimitNotice } from '../src/index.js';

const NONE: RateLimitNotice = { kind: 'none' };
const malformed: RateLimitNotice = { kind: 'malformed', value: 'many' };

function named(requestsPerSecond: number): RateLimitNotice {
  return { kind: 'named', requestsPerSecond };
}

describe('notices of back ends', () => {
  let world: SimulatedWorld;
  let clock: SimulatedProcess;
  let notices: BackendNotices;
  let told: LogEventName[];

  beforeEach(() => {
    world = new SimulatedWorld();
    clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    told = [];
    const tell = (event: LogEventName): void => void told.push(event);
    notices = new BackendNotices(clock, { ...silentLog, changed: tell, warned: tell });
  });

  const hear = (rateLimit: RateLimitNotice, sentAt = clock.monotonic()): void => {
    const notice: BackendNotice = { rateLimit };
    notices.hear('b1', notice, sentAt);
  };
  const limit = (): number | undefined => notices.rateLimitOf('b1')?.requestsPerSecond;

  it('hold a rate limit from the answer that names it until one names none, and tell each change once', () => {
    hear(NONE);
    expect(limit()).to.equal(undefined);
    hear(named(2));
    hear(named(2));
    expect(limit()).to.equal(2);
    hear(named(0.5));
    expect(limit()).to.equal(0.5);
    hear(NONE);
    expect(limit()).to.equal(undefined);
    expect(told).to.deep.equal(['back_end_limited', 'back_end_limited', 'back_end_unlimited']);
    expect(notices.totals).to.deep.equal({ limited: 0, limitsHeard: 3, malformed: 0 });
  });

  it('are not taken back by an answer to a request from before', async () => {
    const sentBefore = clock.monotonic();
    await world.run(100);
    hear(named(1));
    hear(NONE, sentBefore);
    expect(limit()).to.equal(1);
  });

  it('are changed by no malformed word, which is counted each time and told once', () => {
    hear(named(1));
    hear(malformed);
    hear(malformed);
    expect(limit()).to.equal(1);
    expect(told).to.deep.equal(['back_end_limited', 'notice_malformed']);
    expect(notices.totals.malformed).to.equal(2);
  });

  it('end with their incarnation, and say nothing of another back end', () => {
    hear(named(1));
    expect(notices.rateLimitOf('b2')).to.equal(undefined);
    notices.forget('b1');
    expect(limit()).to.equal(undefined);
    expect(notices.totals.limited).to.equal(0);
  });
});
