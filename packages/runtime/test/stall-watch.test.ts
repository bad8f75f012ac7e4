// Guards against a process that takes what arrived while it stood still for new.
import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld, StallWatch } from '../src/index.js';

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

  /** Returns whether the process is catching up when it next handles a message. */
  async function whenDelivered(): Promise<boolean> {
    let isCatchingUp: boolean | undefined;
    process.deliver(() => {
      isCatchingUp = stalls.isCatchingUp;
    });
    await world.run(Infinity, () => isCatchingUp !== undefined);
    return isCatchingUp === true;
  }

  it('notices that the process was stopped, until it has caught up', async () => {
    await world.run(2000);
    expect(await whenDelivered()).to.equal(false);
    process.pause(2000);
    expect(await whenDelivered()).to.equal(true);
    await world.run(world.now + 1500);
    expect(await whenDelivered()).to.equal(false);
  });

  it('notices that the machine was suspended', async () => {
    await world.run(2000);
    process.suspend(3000);
    expect(await whenDelivered()).to.equal(true);
  });

  it('does not take a process for stopped that has nothing to do, or is not watched any more', async () => {
    await world.run(10_000);
    expect(await whenDelivered()).to.equal(false);
    stop.abort();
    await world.run(20_000);
    expect(await whenDelivered()).to.equal(false);
  });
});
