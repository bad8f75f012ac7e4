// Guards against a process that takes what arrived while it stood still for new.
import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld, StallWatch } from '../src/index.js';

/** Longest time without a note that is no stall. */
const USUAL_AGE_MS = 250;

describe('StallWatch', () => {
  let world: SimulatedWorld;
  let process: SimulatedProcess;
  let stalls: StallWatch;
  let stop: AbortController;

  beforeEach(() => {
    world = new SimulatedWorld();
    process = new SimulatedProcess(world, { name: 'p', zone: 'z', region: 'r' });
    stalls = new StallWatch(process);
    stop = new AbortController();
    void stalls.run(stop.signal);
  });

  /** Returns how long ago what the process handles next may have arrived. */
  async function ageWhenDelivered(): Promise<number> {
    let ageMs: number | undefined;
    process.deliver(() => {
      ageMs = process.elapsed() - stalls.arrivedFrom;
    });
    await world.run(Infinity, () => ageMs !== undefined);
    return ageMs ?? 0;
  }

  it('notices that the process was stopped, until it has caught up', async () => {
    await world.run(2000);
    expect(await ageWhenDelivered()).to.equal(USUAL_AGE_MS);
    process.pause(2000);
    expect(await ageWhenDelivered()).to.be.at.least(2000);
    await world.run(world.now + 1500);
    expect(await ageWhenDelivered()).to.equal(USUAL_AGE_MS);
  });

  it('notices that the machine was suspended', async () => {
    await world.run(2000);
    process.suspend(3000);
    expect(await ageWhenDelivered()).to.be.at.least(3000);
  });

  it('counts from the first of several stalls while what arrived in it may still be unread', async () => {
    await world.run(2000);
    process.pause(2000);
    await ageWhenDelivered();
    process.pause(600);
    expect(await ageWhenDelivered()).to.be.at.least(2600);
  });

  it('does not take a process for stopped that has nothing to do, or is not watched any more', async () => {
    await world.run(10_000);
    expect(await ageWhenDelivered()).to.equal(USUAL_AGE_MS);
    stop.abort();
    await world.run(20_000);
    expect(await ageWhenDelivered()).to.equal(USUAL_AGE_MS);
  });
});
