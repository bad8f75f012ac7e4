import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  BackendHealth,
  EventSplitter,
  RepeatBudget,
  RouteTable,
  TrafficSplitter,
  type Route,
} from '../src/index.js';

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

  it('knows no route for other hosts and paths', () => {
    expect(table.match('unknown', '/a/')).to.equal(undefined);
    expect(table.match('other.example', '/b/')).to.equal(undefined);
  });
});

describe('TrafficSplitter', () => {
  it('gives each part its share, on one daemon and over several with few requests each', () => {
    const split = route('split', '/', [90, 10]);
    let second = 0;
    for (let daemon = 0; daemon < 40; daemon += 1) {
      const splitter = new TrafficSplitter(new Random(daemon));
      for (let count = 0; count < 25; count += 1) second += splitter.choose(split) === 's1' ? 1 : 0;
    }
    expect(second / 1000).to.be.within(0.08, 0.12);
  });
});

describe('RepeatBudget', () => {
  it('bounds repeats in every window by a share of the requests and a fixed part for each daemon', async () => {
    const { world, process } = simulatedClock();
    const budget = new RepeatBudget({ ratio: 0.2, extra: 70, windowMs: 10_000, sharers: () => 7 }, process);
    let repeats = 0;
    for (let count = 0; count < 100; count += 1) {
      budget.recordRequest('s');
      if (budget.tryRepeat('s')) repeats += 1;
    }
    expect(repeats).to.be.at.most(0.2 * 100 + 70 / 7);
    expect(repeats).to.be.greaterThan(10);
    expect(budget.tryRepeat('other')).to.equal(true);
    await world.run(10_001);
    expect(budget.tryRepeat('s')).to.equal(true);
  });
});

describe('EventSplitter', () => {
  it('gives whole events and their last id, however the bytes are cut', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: ü\n\n';
    const bytes = Buffer.from(text);
    for (let seed = 0; seed < 50; seed += 1) {
      const random = new Random(seed);
      const splitter = new EventSplitter();
      let passed = '';
      let lastId: string | undefined;
      for (let at = 0; at < bytes.length;) {
        const end = Math.min(bytes.length, at + 1 + random.integer(9));
        const batch = splitter.push(bytes.subarray(at, end));
        if (batch !== undefined) passed += Buffer.from(batch.bytes).toString('latin1');
        lastId = batch?.lastId ?? lastId;
        at = end;
      }
      expect(Buffer.from(passed, 'latin1').toString()).to.equal(text);
      expect(lastId).to.equal('3');
      expect(splitter.hasPartialEvent).to.equal(false);
    }
  });

  it('holds a torn event back', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n'))).to.equal(undefined);
    expect(splitter.hasPartialEvent).to.equal(true);
    expect(splitter.push(Buffer.from('\nid: 2\nda'))?.lastId).to.equal('1');
    expect(Buffer.from(splitter.remainder()).toString()).to.equal('id: 2\nda');
  });
});

describe('BackendHealth', () => {
  it('avoids what cannot be reached for a while, and longer each time', async () => {
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

  it('tells one that fails from a service that fails', () => {
    const health = new BackendHealth(simulatedClock().process);
    const ids = ['b1', 'b2', 'b3'];
    for (let count = 0; count < 8; count += 1) health.record('b1', 'failed_answer');
    expect(health.isOutlier('b1', ids)).to.equal(true);
    for (let count = 0; count < 8; count += 1) for (const id of ids) health.record(id, 'failed_answer');
    expect(health.isOutlier('b1', ids)).to.equal(false);
  });

  it('measures slowness against the service', () => {
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
