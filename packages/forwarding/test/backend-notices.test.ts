import { expect } from 'chai';
import { silentLog, type LogEventName } from '@woodbarrow/observability';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { BackendNotices, EMPTY_NOTICE, type NoticeField } from '../src/index.js';

const NONE: NoticeField<number> = { kind: 'none' };
const malformed: NoticeField<number> = { kind: 'malformed', text: 'many' };

function limitOf(value: number): NoticeField<number> {
  return { kind: 'said', value };
}

describe('BackendNotices', () => {
  let world: SimulatedWorld;
  let clock: SimulatedProcess;
  let notices: BackendNotices;
  let logged: LogEventName[];

  beforeEach(() => {
    world = new SimulatedWorld();
    clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    logged = [];
    const tell = (event: LogEventName): void => void logged.push(event);
    notices = new BackendNotices(clock, { ...silentLog, changed: tell, warned: tell });
  });

  const hear = (requestsPerSecond: NoticeField<number>, sentAt = clock.monotonic()): void => {
    notices.hear('b1', { ...EMPTY_NOTICE, requestsPerSecond }, sentAt);
  };
  const limit = (): number | undefined => notices.requestsPerSecond('b1');

  it('keeps a rate limit until an answer without one arrives, and logs each change once', () => {
    hear(NONE);
    expect(limit()).to.equal(undefined);
    hear(limitOf(2));
    hear(limitOf(2));
    expect(limit()).to.equal(2);
    hear(limitOf(0.5));
    expect(limit()).to.equal(0.5);
    hear(NONE);
    expect(limit()).to.equal(undefined);
    expect(logged).to.deep.equal(['back_end_limited', 'back_end_limited', 'back_end_unlimited']);
    expect(notices.totals).to.include({ limited: 0, limitsHeard: 3, malformed: 0 });
  });

  it('keeps a rate limit when an answer to an earlier request has none', async () => {
    const sentBefore = clock.monotonic();
    await world.run(100);
    hear(limitOf(1));
    hear(NONE, sentBefore);
    expect(limit()).to.equal(1);
  });

  it('ignores malformed fields, counts each, and logs them once', () => {
    hear(limitOf(1));
    hear(malformed);
    hear(malformed);
    expect(limit()).to.equal(1);
    expect(logged).to.deep.equal(['back_end_limited', 'notice_malformed']);
    expect(notices.totals.malformed).to.equal(2);
  });

  it('raises a limit of zero to the minimum rate, so that answers can lift it', () => {
    hear(limitOf(0));
    expect(limit()).to.equal(0.25);
  });

  it('accepts limits from other daemons only if they are newer', async () => {
    notices.hearFromPeer('b1', { heardAt: clock.monotonic() });
    expect(notices.lastHeard('b1'), 'nothing new').to.equal(undefined);
    notices.hearFromPeer('b1', { requestsPerSecond: 3, heardAt: clock.monotonic() });
    expect(limit()).to.equal(3);
    await world.run(100);
    hear(limitOf(1));
    notices.hearFromPeer('b1', { requestsPerSecond: 3, heardAt: 50 });
    expect(limit(), 'older').to.equal(1);
    await world.run(200);
    notices.hearFromPeer('b1', { requestsPerSecond: 1, heardAt: 150 });
    expect(notices.lastHeard('b1')?.heardAt, 'the same limit').to.equal(100);
    notices.hearFromPeer('b1', { heardAt: 160 });
    expect(limit()).to.equal(undefined);
  });

  it('reports changes from answers to other daemons, and adjusted limits at most once per second', async () => {
    const news: (number | undefined)[] = [];
    notices.onNews = (_backEndId, heard) => void news.push(heard.requestsPerSecond);
    hear(limitOf(1));
    hear(limitOf(2));
    hear(NONE);
    notices.hearFromPeer('b1', { requestsPerSecond: 5, heardAt: clock.monotonic() + 1 });
    hear(limitOf(5));
    expect(news).to.deep.equal([1, undefined]);
    await world.run(1000);
    hear(limitOf(3));
    expect(news).to.deep.equal([1, undefined, 3]);
  });

  it('keeps limits per back end, and removes them with the incarnation', () => {
    hear(limitOf(1));
    expect(notices.requestsPerSecond('b2')).to.equal(undefined);
    notices.forget('b1');
    expect(limit()).to.equal(undefined);
    expect(notices.totals.limited).to.equal(0);
  });
});
