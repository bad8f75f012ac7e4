import { expect } from 'chai';
import { startWithHolder, LeaseSimulation, NO_FAULTS, PAUSE_MS } from './lease-simulation.js';

describe('a lease while machines are suspended', () => {
  it('never has two holders act within the pause, whatever is suspended, stops or is answered late', async () => {
    for (let seed = 400; seed < 460; seed += 1) {
      const lease = new LeaseSimulation(seed);
      const machines = ['a', 'b', 'c'];
      for (const machine of machines) lease.start(machine);
      for (let step = 1; step <= 40; step += 1) {
        await lease.world.run(step * 500);
        const machine = lease.random.pick(machines) ?? 'a';
        const choice = lease.random.integer(6);
        if (choice <= 1) lease.runsByMachine.get(machine)?.process.suspend(lease.random.between(500, 5000));
        if (choice === 2) lease.start(machine);
        if (choice === 3) lease.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
        if (choice === 4) lease.store.faults = { ...NO_FAULTS, refused: 1 };
        if (choice === 5) lease.store.faults = NO_FAULTS;
      }
      lease.checkInvariants(PAUSE_MS);
    }
  });

  it('is not used by a holder that wakes from a suspension, before any timer or answer of it', async () => {
    const lease = new LeaseSimulation(17);
    for (const machine of ['a', 'b']) lease.start(machine);
    await lease.world.run(1000);
    const holder = lease.actions[0]?.machine ?? '';
    const run = lease.runsByMachine.get(holder);
    expect(run?.lease.mayAct()).to.equal(true);
    run?.process.suspend(2500);
    await lease.world.run(3499);
    expect(run?.lease.mayAct()).to.equal(false);
    expect(run?.lease.actsInMs()).to.equal(Infinity);
  });

  describe('with witnesses', () => {
    it('passes on when its holder is suspended, which does not act when it wakes', async () => {
      for (let seed = 500; seed < 530; seed += 1) {
        const { lease, holder } = await startWithHolder(seed);
        lease.runsByMachine.get(holder)?.process.suspend(3000 + seed);
        await lease.world.run(12_000);
        lease.checkInvariants(PAUSE_MS);
        expect(lease.actions[lease.actions.length - 1]?.machine).not.to.equal(holder);
      }
    });

    it('stays safe when witnesses and candidates are suspended, and when their time of day is set forward', async () => {
      for (let seed = 600; seed < 640; seed += 1) {
        const { lease } = await startWithHolder(seed);
        for (let step = 1; step <= 20; step += 1) {
          await lease.world.run(2000 + step * 400);
          const machine = lease.random.pick(['a', 'b', 'c', 'd']) ?? 'a';
          const process = lease.runsByMachine.get(machine)?.process;
          if (lease.random.integer(2) === 0) process?.suspend(lease.random.between(300, 3000));
          else process?.stepWall(lease.random.between(500, 20_000));
        }
        lease.checkInvariants(PAUSE_MS);
      }
    });
  });
});
