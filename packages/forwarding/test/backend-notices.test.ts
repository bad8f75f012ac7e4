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
    const logEvent = (event: LogEventName): void => void logged.push(event);
    notices = new BackendNotices(clock, { ...silentLog, changed: logEvent, warned: logEvent });
  });

  const receive = (requestsPerSecond: NoticeField<number>, sentAt = clock.monotonic()): void => {
    notices.record('b1', { ...EMPTY_NOTICE, requestsPerSecond }, sentAt);
  };
  const limit = (): number | undefined => notices.requestsPerSecond('b1');

  it('keeps a rate limit until an answer without one arrives, and logs each change once', () => {
    receive(NONE);
    expect(limit()).to.equal(undefined);
    receive(limitOf(2));
    receive(limitOf(2));
    expect(limit()).to.equal(2);
    receive(limitOf(0.5));
    expect(limit()).to.equal(0.5);
    receive(NONE);
    expect(limit()).to.equal(undefined);
    expect(logged).to.deep.equal(['back_end_limited', 'back_end_limited', 'back_end_unlimited']);
    expect(notices.totals).to.include({ limited: 0, limitsHeard: 3, malformed: 0 });
  });

  it('keeps a rate limit when an answer to an earlier request has none', async () => {
    const sentBefore = clock.monotonic();
    await world.run(100);
    receive(limitOf(1));
    receive(NONE, sentBefore);
    expect(limit()).to.equal(1);
  });

  it('ignores malformed fields, counts each, and logs them once', () => {
    receive(limitOf(1));
    receive(malformed);
    receive(malformed);
    expect(limit()).to.equal(1);
    expect(logged).to.deep.equal(['back_end_limited', 'notice_malformed']);
    expect(notices.totals.malformed).to.equal(2);
  });

  it('raises a limit of zero to the minimum rate, so that answers can lift it', () => {
    receive(limitOf(0));
    expect(limit()).to.equal(0.25);
  });

  it('accepts limits from other daemons only if they are newer', async () => {
    notices.recordFromPeer('b1', { receivedAt: clock.monotonic() });
    expect(notices.latestRateLimit('b1'), 'nothing new').to.equal(undefined);
    notices.recordFromPeer('b1', { requestsPerSecond: 3, receivedAt: clock.monotonic() });
    expect(limit()).to.equal(3);
    await world.run(100);
    receive(limitOf(1));
    notices.recordFromPeer('b1', { requestsPerSecond: 3, receivedAt: 50 });
    expect(limit(), 'older').to.equal(1);
    await world.run(200);
    notices.recordFromPeer('b1', { requestsPerSecond: 1, receivedAt: 150 });
    expect(notices.latestRateLimit('b1')?.receivedAt, 'the same limit').to.equal(100);
    notices.recordFromPeer('b1', { receivedAt: 160 });
    expect(limit()).to.equal(undefined);
  });

  it('reports changes from answers to other daemons, and adjusted limits at most once per second', async () => {
    const reports: (number | undefined)[] = [];
    notices.onRateLimitChange = (_backEndId, heard) => void reports.push(heard.requestsPerSecond);
    receive(limitOf(1));
    receive(limitOf(2));
    receive(NONE);
    notices.recordFromPeer('b1', { requestsPerSecond: 5, receivedAt: clock.monotonic() + 1 });
    receive(limitOf(5));
    expect(reports).to.deep.equal([1, undefined]);
    await world.run(1000);
    receive(limitOf(3));
    expect(reports).to.deep.equal([1, undefined, 3]);
  });

  it('keeps limits per back end, and removes them with the incarnation', () => {
    receive(limitOf(1));
    expect(notices.requestsPerSecond('b2')).to.equal(undefined);
    notices.forget('b1');
    expect(limit()).to.equal(undefined);
    expect(notices.totals.limited).to.equal(0);
  });
});
