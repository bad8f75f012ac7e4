import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  BackendHealth,
  EventSplitter,
  RetryBudget,
  RouteTable,
  StreamPosition,
  TrafficSplitter,
  type RetryAllowance,
  type Route,
  type StreamEvent,
} from '../src/index.js';
import { allowanceOf } from './retry-allowances.js';

function route(name: string, pathPrefix: string, weights: readonly number[] = [1], host = 'host'): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'once',
    timeoutMs: 1000,
    targetLatencyMs: 100,
    maximumAttempts: 1,
    priority: 0,
    isPublic: false,
    targets: weights.map((weight, index) => ({ service: `s${String(index)}`, weight })),
  };
}

function simulatedClock(): { readonly world: SimulatedWorld; readonly process: SimulatedProcess } {
  const world = new SimulatedWorld();
  return { world, process: new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' }) };
}

describe('RouteTable', () => {
  const table = new RouteTable([
    route('root', '/'),
    route('a', '/a/'),
    route('deep', '/a/b/c/'),
    route('other', '/a/', [1], 'Other.Example'),
  ]);

  it('chooses the longest prefix of the host', () => {
    expect(table.match('host', '/a/b/c/d?x=/z/')?.name).to.equal('deep');
    expect(table.match('host:8080', '/a/b/x')?.name).to.equal('a');
    expect(table.match('host', '/ab/')?.name).to.equal('root');
    expect(table.match('HOST', '/a')?.name).to.equal('root');
    expect(table.match('other.example', '/a/')?.name).to.equal('other');
  });

  it('returns no route for other hosts and paths', () => {
    expect(table.match('unknown', '/a/')).to.equal(undefined);
    expect(table.match('other.example', '/b/')).to.equal(undefined);
  });
});

describe('TrafficSplitter', () => {
  it('respects the weights over several daemons with few requests each', () => {
    const split = route('split', '/', [90, 10]);
    let second = 0;
    for (let daemon = 0; daemon < 40; daemon += 1) {
      const splitter = new TrafficSplitter(new Random(daemon));
      for (let count = 0; count < 25; count += 1) second += splitter.choose(split) === 's1' ? 1 : 0;
    }
    expect(second / 1000).to.be.within(0.08, 0.12);
  });
});

describe('RetryBudget', () => {
  const options = { ratio: 0.2, windowMs: 10_000 };
  const { signal } = new AbortController();

  async function count(budget: RetryBudget, attempts: number): Promise<number> {
    let allowed = 0;
    for (let each = 0; each < attempts; each += 1)
      if ((await budget.acquire('s', signal)).kind === 'allowed') allowed += 1;
    return allowed;
  }

  it('allows a ratio of the requests, and the fixed allowance once that is spent', async () => {
    const { process } = simulatedClock();
    const allowance = allowanceOf(7, 10_000, process);
    const budget = new RetryBudget({ ...options, allowance }, process);
    for (let request = 0; request < 100; request += 1) budget.recordRequest('s');
    const earned = budget.earnedLeft('s');
    expect(earned).to.be.within(10, 0.2 * 100);
    expect(await count(budget, 100)).to.equal(earned + 7);
    expect((await budget.acquire('other', signal)).kind).to.equal('withheld');
  });

  it('allows nothing to a daemon that has just started and is granted nothing, however many follow one another', async () => {
    const { process } = simulatedClock();
    for (let run = 0; run < 20; run += 1)
      expect(await count(new RetryBudget(options, process), 5)).to.equal(0);
  });

  it('forgets what was earned long before, which a failed predecessor or the daemons that had its clients may have spent', async () => {
    const { world, process } = simulatedClock();
    const budget = new RetryBudget(options, process);
    for (let request = 0; request < 100; request += 1) budget.recordRequest('s');
    await world.run(options.windowMs / 2);
    expect(budget.earnedLeft('s')).to.equal(0);
  });

  it('gives back a retry that was not sent', async () => {
    const { process } = simulatedClock();
    const budget = new RetryBudget(options, process);
    for (let request = 0; request < 40; request += 1) budget.recordRequest('s');
    const earned = budget.earnedLeft('s');
    const outcome = await budget.acquire('s', signal);
    if (outcome.kind !== 'allowed') throw new Error('no retry');
    expect(budget.earnedLeft('s')).to.equal(earned - 1);
    outcome.permit.refund();
    outcome.permit.refund();
    expect(budget.earnedLeft('s')).to.equal(earned);
  });

  it('does not send a retry that was acquired for requests of long ago', async () => {
    const { world, process } = simulatedClock();
    const budget = new RetryBudget(options, process);
    for (let request = 0; request < 40; request += 1) budget.recordRequest('s');
    const outcome = await budget.acquire('s', signal);
    if (outcome.kind !== 'allowed') throw new Error('no retry');
    expect(outcome.permit.isValid()).to.equal(true);
    await world.run(options.windowMs / 2);
    expect(outcome.permit.isValid()).to.equal(false);
  });

  it('counts a granted retry that has not arrived when its allocator takes it for arrived', async () => {
    const { world, process } = simulatedClock();
    const countedUntil = 1000;
    const acquire: RetryAllowance['acquire'] = () => {
      const permit = {
        source: 'granted',
        countedUntil,
        isValid: () => true,
        refund: () => undefined,
      } as const;
      return Promise.resolve({ kind: 'allowed', permit });
    };
    const budget = new RetryBudget({ ...options, allowance: { acquire } }, process);
    const granted = [await budget.acquire('s', signal), await budget.acquire('s', signal)];
    await world.run(countedUntil);
    for (let request = 0; request < 40; request += 1) budget.recordRequest('s');
    const [late, early] = granted.map((outcome) => (outcome.kind === 'allowed' ? outcome.permit : undefined));
    expect(budget.earnedLeft('s')).to.equal(2);
    early?.settle(countedUntil - 1);
    expect(budget.earnedLeft('s')).to.equal(3);
    late?.settle(process.elapsed());
    expect(budget.earnedLeft('s')).to.equal(3);
  });
});

describe('EventSplitter', () => {
  it('returns complete events and their ids for any chunk boundaries', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nretry: 9\n\n\nid:3\ndata: ü\n\ndata: id: 4\n\n';
    const bytes = Buffer.from(text);
    for (let seed = 0; seed < 50; seed += 1) {
      const random = new Random(seed);
      const splitter = new EventSplitter();
      const events: StreamEvent[] = [];
      for (let at = 0; at < bytes.length;) {
        const end = Math.min(bytes.length, at + 1 + random.integer(9));
        events.push(...splitter.push(bytes.subarray(at, end)));
        at = end;
      }
      expect(Buffer.concat(events.map((event) => event.bytes)).toString()).to.equal(text);
      expect(events.map(({ id }) => id)).to.deep.equal(['1', '2', undefined, undefined, '3', undefined]);
      expect(events.map(({ isEvent }) => isEvent)).to.deep.equal([true, true, false, false, true, true]);
      expect(splitter.incompleteEventBytes).to.equal(0);
    }
  });

  it('holds an incomplete event back', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n'))).to.deep.equal([]);
    expect(splitter.incompleteEventBytes).to.equal(14);
    expect(splitter.push(Buffer.from('\nid: 2\nda')).map(({ id }) => id)).to.deep.equal(['1']);
    expect(splitter.incompleteEventBytes).to.equal('id: 2\nda'.length);
    const ended = new EventSplitter();
    ended.push(Buffer.from('id: 1\ndata: a\n\n: bye\n'));
    expect(ended.incompleteEventBytes).to.equal(0);
  });
});

describe('StreamPosition', () => {
  const event = (id?: string): StreamEvent => {
    const bytes = Buffer.from(`${id === undefined ? '' : `id: ${id}\n`}data: x\n\n`);
    return { bytes, isEvent: true, ...(id === undefined ? {} : { id }) };
  };
  const positionAfter = (...ids: readonly (string | undefined)[]): StreamPosition => {
    const position = new StreamPosition(undefined);
    for (const id of ids) expect(position.accept(event(id))).to.equal('follows');
    position.startRun();
    return position;
  };

  it('continues with another run only at the next event', () => {
    expect(positionAfter('1', '2').accept(event('3'))).to.equal('follows');
    expect(positionAfter('1').accept(event('2'))).to.equal('follows');
    expect(positionAfter('1', '2').accept(event('1'))).to.equal('begins_anew');
    expect(positionAfter('1', '2').accept(event('2'))).to.equal('begins_anew');
    expect(positionAfter('1', '2').accept(event('4'))).to.equal('skips');
    expect(positionAfter('1', '2').accept(event())).to.equal('without_id');
    expect(positionAfter('10', '20').accept(event('30'))).to.equal('follows');
    expect(positionAfter('10', '20').accept(event('40'))).to.equal('skips');
    expect(positionAfter('1', '2', '5').accept(event('8'))).to.equal('follows');
    expect(positionAfter('1', '2').check([event('3'), event('3')])).to.equal('follows');
    expect(positionAfter('1', '2').check([event('2')])).to.equal('begins_anew');
    expect(positionAfter().accept(event('1'))).to.equal('follows');
  });

  it('starts after the event that the client has from an earlier answer', () => {
    expect(new StreamPosition('12').accept(event('13'))).to.equal('follows');
    expect(new StreamPosition('12').accept(event('1'))).to.equal('begins_anew');
    expect(new StreamPosition('opaque').accept(event('next'))).to.equal('follows');
  });

  it('detects ids that do not increase, and streams that cannot be resumed', () => {
    const position = new StreamPosition(undefined);
    for (const id of ['1', '2']) position.accept(event(id));
    expect(position.canResume).to.equal(true);
    expect(position.accept(event('2'))).to.equal('not_rising');
    expect(positionAfter('a', 'b').canResume).to.equal(false);
    expect(positionAfter(undefined).canResume).to.equal(false);
    expect(positionAfter().canResume).to.equal(true);
  });
});

describe('BackendHealth', () => {
  it('avoids an unreachable back end for a time that grows with each failure', async () => {
    const { world, process } = simulatedClock();
    const health = new BackendHealth(process);
    health.record('b', 'unreachable');
    expect(health.isAvoided('b')).to.equal(true);
    await world.run(500);
    expect(health.isAvoided('b')).to.equal(false);
    health.record('b', 'timed_out');
    await world.run(1000);
    expect(health.isAvoided('b')).to.equal(true);
    health.record('b', 'good');
    expect(health.isAvoided('b')).to.equal(false);
  });

  it('detects a failing back end as outlier, unless all of them fail', () => {
    const health = new BackendHealth(simulatedClock().process);
    const ids = ['b1', 'b2', 'b3'];
    for (let count = 0; count < 8; count += 1) health.record('b1', 'failed_answer');
    expect(health.isOutlier('b1', ids)).to.equal(true);
    for (let count = 0; count < 8; count += 1) for (const id of ids) health.record(id, 'failed_answer');
    expect(health.isOutlier('b1', ids)).to.equal(false);
  });

  it('measures slowness relative to the service', () => {
    const health = new BackendHealth(simulatedClock().process);
    for (let count = 0; count < 40; count += 1) {
      health.record('slow', 'good', 5);
      for (const id of ['b1', 'b2', 'b3']) health.record(id, 'good', 1);
    }
    expect(health.slowness('slow')).to.be.greaterThan(2);
    expect(health.slowness('b1')).to.be.lessThan(1);
    expect(health.slowness('new')).to.equal(1);
  });
});
