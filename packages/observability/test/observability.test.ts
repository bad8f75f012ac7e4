import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { BoundedLog, MAX_PENDING_LOG_BYTES, MetricRegistry, renderLogEvents } from '../src/index.js';

function clockOf(world: SimulatedWorld): SimulatedProcess {
  return new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
}

describe('BoundedLog', () => {
  it('limits the lines of each class and reports the number of dropped lines', async () => {
    const world = new SimulatedWorld();
    const written: string[] = [];
    const log = new BoundedLog({
      clock: clockOf(world),
      fields: { daemon: 'd' },
      linesPerSecond: { routine: 5, failure: 5, change: 5 },
      sink: (bytes, done) => {
        written.push(...bytes.toString().trim().split('\n'));
        done();
      },
    });
    await world.run(1000);
    for (let count = 0; count < 50; count += 1) log.routine('request_sent', { request: String(count) });
    log.warned('request_failed', { request: 'x' });
    await world.run(3000);
    log.changed('daemon_stopping');
    await world.run(4000);
    const events = written.map((line) => (JSON.parse(line) as { event: string }).event);
    expect(events.filter((event) => event === 'request_sent')).to.have.length(5);
    expect(events).to.include.members(['request_failed', 'log_lines_dropped', 'daemon_stopping']);
    expect(log.dropped.routine).to.equal(45);
  });

  it('drops lines without blocking when the buffer for an unread sink is full', async () => {
    const world = new SimulatedWorld();
    let taken = 0;
    const log = new BoundedLog({
      clock: clockOf(world),
      fields: {},
      linesPerSecond: { routine: 1e9, failure: 1e9, change: 1e9 },
      sink: (bytes) => {
        taken += bytes.length;
      },
    });
    const details = { text: 'x'.repeat(1000) };
    for (let count = 0; count < 5000; count += 1) {
      log.changed('daemon_started', details);
      if (count % 100 === 0) await world.run(world.now + 200);
    }
    expect(taken).to.be.at.most(MAX_PENDING_LOG_BYTES);
    expect(log.dropped.not_taken).to.be.greaterThan(4000);
  });
});

describe('log events', () => {
  it('match the generated page docs/LOGS.md', () => {
    const page = new URL('../../../../docs/LOGS.md', import.meta.url);
    expect(readFileSync(page, 'utf8')).to.equal(renderLogEvents());
  });
});

describe('MetricRegistry', () => {
  it('renders counters, gauges and cumulative histograms as text', () => {
    const registry = new MetricRegistry();
    const counter = registry.counter('requests_total', 'Requests.');
    counter.add({ outcome: 'served' });
    counter.add({ outcome: 'served' }, 2);
    const histogram = registry.histogram('seconds', 'Time.', [0.1, 1]);
    for (const value of [0.05, 0.5, 5]) histogram.observe({ kind: 'a"b' }, value);
    registry.gauge('leases', 'Leases.', () => new Map([['zone-a', 1]]), 'zone');
    const text = registry.render();
    for (const line of [
      '# TYPE requests_total counter',
      'requests_total{outcome="served"} 3',
      'seconds_bucket{kind="a_b",le="0.1"} 1',
      'seconds_bucket{kind="a_b",le="1"} 2',
      'seconds_bucket{kind="a_b",le="+Inf"} 3',
      'seconds_count{kind="a_b"} 3',
      'leases{zone="zone-a"} 1',
    ]) {
      expect(text.split('\n')).to.include(line);
    }
  });

  it('limits the number of series per metric', () => {
    const registry = new MetricRegistry();
    const counter = registry.counter('c_total', 'C.');
    for (let count = 0; count < 1000; count += 1) counter.add({ label: String(count) });
    expect(counter.lines().length).to.be.at.most(200);
  });
});
