import { expect } from 'chai';
import { startWithHolder, LeaseSimulation, NO_FAULTS, PAUSE_MS } from './lease-simulation.js';

describe('store lease while machines are suspended', () => {
  it('never has two holders act within the pause, with suspensions, restarts and store faults', async () => {
    for (let seed = 400; seed < 460; seed += 1) {
      const simulation = new LeaseSimulation(seed);
      const machines = ['a', 'b', 'c'];
      for (const machine of machines) simulation.start(machine);
      for (let step = 1; step <= 40; step += 1) {
        await simulation.world.run(step * 500);
        const machine = simulation.random.pick(machines) ?? 'a';
        const choice = simulation.random.integer(6);
        if (choice <= 1)
          simulation.runsByMachine.get(machine)?.process.suspend(simulation.random.between(500, 5000));
        if (choice === 2) simulation.start(machine);
        if (choice === 3) simulation.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
        if (choice === 4) simulation.store.faults = { ...NO_FAULTS, refused: 1 };
        if (choice === 5) simulation.store.faults = NO_FAULTS;
      }
      simulation.checkInvariants(PAUSE_MS);
    }
  });

  it('is not used by a holder after a suspension, even before any of its timers or responses runs', async () => {
    const simulation = new LeaseSimulation(17);
    for (const machine of ['a', 'b']) simulation.start(machine);
    await simulation.world.run(1000);
    const holder = simulation.actions[0]?.machine ?? '';
    const run = simulation.runsByMachine.get(holder);
    expect(run?.lease.mayAct()).to.equal(true);
    run?.process.suspend(2500);
    await simulation.world.run(3499);
    expect(run?.lease.mayAct()).to.equal(false);
    expect(run?.lease.actsInMs()).to.equal(Infinity);
  });

  describe('with witnesses', () => {
    it('passes to another machine when its holder is suspended, and the holder does not act on resuming', async () => {
      for (let seed = 500; seed < 530; seed += 1) {
        const { simulation, holder } = await startWithHolder(seed);
        simulation.runsByMachine.get(holder)?.process.suspend(3000 + seed);
        await simulation.world.run(12_000);
        simulation.checkInvariants(PAUSE_MS);
        expect(simulation.actions[simulation.actions.length - 1]?.machine).not.to.equal(holder);
      }
    });

    it('keeps its invariants when witnesses and candidates are suspended and wall clocks are set forward', async () => {
      for (let seed = 600; seed < 640; seed += 1) {
        const { simulation } = await startWithHolder(seed);
        for (let step = 1; step <= 20; step += 1) {
          await simulation.world.run(2000 + step * 400);
          const machine = simulation.random.pick(['a', 'b', 'c', 'd']) ?? 'a';
          const process = simulation.runsByMachine.get(machine)?.process;
          if (simulation.random.integer(2) === 0) process?.suspend(simulation.random.between(300, 3000));
          else process?.stepWall(simulation.random.between(500, 20_000));
        }
        simulation.checkInvariants(PAUSE_MS);
      }
    });
  });
});
