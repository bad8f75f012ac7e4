import { expect } from 'chai';
import { LoadTracker, RunTimes, remainingMs } from '../src/index.js';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';

describe('remainingMs', () => {
  it('is the time until the expected end', () => {
    expect(remainingMs(6000, 1000)).to.equal(5000);
  });

  it('grows with the elapsed time of overdue work', () => {
    expect(remainingMs(6000, 8000)).to.equal(2000);
    expect(remainingMs(6000, 16_000)).to.equal(4000);
  });

  it('has a positive minimum while the work is in progress', () => {
    expect(remainingMs(200, 200)).to.be.at.least(100);
    expect(remainingMs(200, 199.9)).to.be.at.least(100);
  });
});

describe('run times', () => {
  it('estimates by the time per expected token of a model, and by that of all models for an unknown one', () => {
    const times = new RunTimes();
    for (let count = 0; count < 30; count += 1) {
      times.recordRun('slow', 100, 1000);
      times.recordRun('fast', 100, 200);
    }
    expect(times.expectedMs('slow', 50)).to.be.within(490, 510);
    expect(times.expectedMs('fast', 50)).to.be.within(95, 105);
    expect(times.expectedMs('unknown', 100)).to.be.within(500, 700);
  });

  it('uses the average run when a client states no expected tokens', () => {
    const times = new RunTimes();
    for (let count = 0; count < 30; count += 1) times.recordRun('m', undefined, 700);
    expect(times.expectedMs('m', undefined)).to.be.within(690, 710);
  });
});

describe('load tracker', () => {
  it('estimates when the last run of a model ends on a back end, including runs reported by others', async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
    const [own, other] = [new LoadTracker(clock), new LoadTracker(clock)];
    const size = { promptTokens: 1, outputTokens: 1 };
    const ticket = own.start('w', { model: 'm' }, { ...size, expectedMs: 500 });
    other.start('w', { model: 'm', adapter: 'a' }, { ...size, expectedMs: 2000 });
    own.acceptReport('other', 'attached', other.ownReport());
    expect(own.endsInMs('w', 'm')).to.equal(2000);
    await world.run(world.now + 1500);
    expect(own.endsInMs('w', 'm')).to.be.within(400, 500);
    own.acceptReport('other', 'attached', { loads: [], demand: [] });
    expect(own.endsInMs('w', 'm')).to.be.within(300, 400);
    ticket.ended();
    expect(own.endsInMs('w', 'm')).to.equal(0);
  });
});
