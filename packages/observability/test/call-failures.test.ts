import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { CallFailures, type EventDetails } from '../src/index.js';

describe('CallFailures', () => {
  it('counts every failure and logs at most one line per second for each kind of call', async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
    const lines: EventDetails[] = [];
    const log = {
      changed: () => undefined,
      warned: (_: string, details: EventDetails = {}) => lines.push(details),
    };
    const failures = new CallFailures(clock, log);
    for (let count = 0; count < 5; count += 1) failures.record('report', 'peer', new Error('no answer'));
    failures.record('attach', 'peer', new Error('no answer'));
    expect(lines.map(({ call }) => call)).to.deep.equal(['report', 'attach']);
    await world.run(1500);
    failures.record('report', 'other', new Error('reset'));
    expect(lines[2]).to.deep.equal({ call: 'report', peer: 'other', cause: 'reset', failures: 5 });
    expect(failures.totals()).to.deep.equal(
      new Map([
        ['report', 6],
        ['attach', 1],
      ]),
    );
  });
});
