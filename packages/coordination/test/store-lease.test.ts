import { expect } from 'chai';
import { CONTACT_LIFETIME_MS } from '../src/index.js';
import {
  startWithHolder,
  LeaseSimulation,
  LIFETIME_MS,
  LONG_LIFETIME_MS,
  NO_FAULTS,
  PAUSE_MS,
} from './lease-simulation.js';

describe('StoreLease', () => {
  it('is acquired immediately when free, by exactly one of several machines', async () => {
    const simulation = new LeaseSimulation(1);
    for (const machine of ['a', 'b', 'c']) simulation.start(machine);
    await simulation.world.run(2000);
    simulation.checkInvariants(PAUSE_MS);
    expect(new Set(simulation.actions.map((act) => act.machine)).size).to.equal(1);
    expect(simulation.actions[0]?.at).to.be.lessThan(200);
  });

  it('is acquired again immediately by its holder after a restart, under a higher fence', async () => {
    const simulation = new LeaseSimulation(2);
    simulation.start('a');
    simulation.start('b');
    await simulation.world.run(1000);
    const holder = simulation.actions[0]?.machine ?? '';
    simulation.start(holder);
    await simulation.world.run(1500);
    simulation.checkInvariants(PAUSE_MS);
    const later = simulation.actions.filter((act) => act.at > 1000);
    expect(later[0]).to.include({ machine: holder, fence: 2 });
    expect((later[0]?.at ?? Infinity) - 1000).to.be.lessThan(200);
  });

  it('passes to another machine once its holder has been down for its lifetime', async () => {
    const simulation = new LeaseSimulation(3);
    simulation.start('a');
    await simulation.world.run(500);
    simulation.start('b');
    await simulation.world.run(1000);
    simulation.kill('a');
    await simulation.world.run(1000 + LIFETIME_MS * 2);
    simulation.checkInvariants(PAUSE_MS);
    expect(simulation.actions[simulation.actions.length - 1]).to.include({ machine: 'b', fence: 2 });
  });

  it('has its lifetime counted from the last confirmation that the holder reported, not from the first read', async () => {
    const simulation = new LeaseSimulation(6);
    simulation.start('a');
    simulation.start('b');
    await simulation.world.run(1000);
    const holder = simulation.actions[0]?.machine ?? '';
    simulation.store.faults = { ...NO_FAULTS, refused: 1 };
    simulation.kill(holder);
    // The other machine cannot read the record for most of the lifetime.
    await simulation.world.run(1000 + LIFETIME_MS * 0.8);
    simulation.store.faults = NO_FAULTS;
    await simulation.world.run(1000 + LIFETIME_MS * 1.4);
    simulation.checkInvariants(PAUSE_MS);
    expect(simulation.actions[simulation.actions.length - 1]?.machine).not.to.equal(holder);
  });

  it('is retained through a store outage shorter than its lifetime less the pause', async () => {
    const simulation = new LeaseSimulation(4);
    simulation.start('a');
    simulation.start('b');
    await simulation.world.run(1000);
    simulation.store.faults = { ...NO_FAULTS, refused: 1 };
    await simulation.world.run(1500);
    const holder = simulation.actions[0]?.machine;
    expect(simulation.actions[simulation.actions.length - 1]).to.include({ machine: holder, fence: 1 });
    expect(simulation.actions[simulation.actions.length - 1]?.at).to.be.greaterThan(1450);
  });

  it('never has two holders act within the pause, with crashes, restarts, pauses and store faults', async () => {
    for (let seed = 100; seed < 160; seed += 1) {
      const simulation = new LeaseSimulation(seed);
      const machines = ['a', 'b', 'c'];
      for (const machine of machines) simulation.start(machine);
      for (let step = 1; step <= 40; step += 1) {
        await simulation.world.run(step * 500);
        const machine = simulation.random.pick(machines) ?? 'a';
        const choice = simulation.random.integer(6);
        if (choice === 0) simulation.start(machine);
        if (choice === 1)
          simulation.runsByMachine.get(machine)?.process.pause(simulation.random.between(100, 4000));
        if (choice === 2) simulation.kill(machine);
        if (choice === 3) simulation.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
        if (choice === 4) simulation.store.faults = { ...NO_FAULTS, refused: 1 };
        if (choice === 5) simulation.store.faults = NO_FAULTS;
      }
      simulation.checkInvariants(PAUSE_MS);
    }
  });

  it('applies the whole pause even if its new holder is restarted meanwhile', async () => {
    for (let seed = 300; seed < 320; seed += 1) {
      const simulation = new LeaseSimulation(seed);
      for (const machine of ['a', 'b']) simulation.start(machine);
      await simulation.world.run(1000);
      const holder = simulation.actions[0]?.machine ?? '';
      const other = holder === 'a' ? 'b' : 'a';
      simulation.release(holder);
      await simulation.world.run(1045);
      simulation.kill(holder);
      for (let step = 1; step <= 3; step += 1) {
        await simulation.world.run(1100 + step * 150);
        simulation.start(other);
      }
      await simulation.world.run(6000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions[simulation.actions.length - 1]?.machine).to.equal(other);
    }
  });

  /**
   * Guards against two holders acting under the same fence after a restore, when the copy lacks the current
   * holder's record or shows an earlier holder.
   */
  describe('of a store that is restored from a copy', () => {
    it('is not taken by another machine while its holder may still act, and then under a higher fence', async () => {
      for (let seed = 400; seed < 420; seed += 1) {
        const simulation = new LeaseSimulation(seed);
        const copy = simulation.store.takeCopy();
        for (const machine of ['a', 'b', 'c']) simulation.start(machine);
        await simulation.world.run(1000);
        const holder = simulation.actions[0]?.machine ?? '';
        if (seed % 2 === 0) simulation.kill(holder);
        simulation.store.restore(copy);
        await simulation.world.run(6000);
        simulation.checkInvariants(PAUSE_MS);
        expect(simulation.actions[simulation.actions.length - 1]?.at).to.be.above(5500);
      }
    });

    it('never has two holders act within the pause, with restores, crashes, pauses and store faults', async () => {
      for (let seed = 500; seed < 620; seed += 1) {
        const simulation = new LeaseSimulation(seed);
        const machines = ['a', 'b', 'c'];
        for (const machine of machines) simulation.start(machine);
        let copy = simulation.store.takeCopy();
        for (let step = 1; step <= 60; step += 1) {
          await simulation.world.run(step * 300);
          const machine = simulation.random.pick(machines) ?? 'a';
          const choice = simulation.random.integer(8);
          if (choice === 0) simulation.start(machine);
          if (choice === 1)
            simulation.runsByMachine.get(machine)?.process.pause(simulation.random.between(100, 4000));
          if (choice === 2) simulation.kill(machine);
          if (choice === 3) simulation.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
          if (choice === 4) simulation.store.faults = { ...NO_FAULTS, refused: 1 };
          if (choice === 5) simulation.store.faults = NO_FAULTS;
          if (choice === 6) copy = simulation.store.takeCopy();
          if (choice === 7) simulation.store.restore(copy);
        }
        simulation.checkInvariants(PAUSE_MS);
      }
    });

    it('is continued by a live holder without a gap and under the same fence', async () => {
      for (const isWitnessed of [false, true]) {
        const simulation = new LeaseSimulation(630, isWitnessed, isWitnessed ? 4000 : LIFETIME_MS);
        const copy = simulation.store.takeCopy();
        for (const machine of ['a', 'b', 'c', 'd']) simulation.start(machine);
        await simulation.world.run(2000);
        simulation.store.restore(copy);
        await simulation.world.run(8000);
        simulation.checkInvariants(PAUSE_MS);
        expect(
          new Set(simulation.actions.map(({ machine, fence }) => `${machine} ${String(fence)}`)).size,
        ).to.equal(1);
        const later = simulation.actions.filter(({ at }) => at > 2000);
        const gaps = later.map(({ at }, index) => at - (later[index - 1]?.at ?? 2000));
        expect(Math.max(...gaps)).to.be.below(100);
      }
    });

    it('is acquired within two lifetimes when its holder is lost with the record', async () => {
      const simulation = new LeaseSimulation(640, true);
      for (const machine of ['a', 'b', 'c', 'd']) simulation.start(machine);
      const copy = simulation.store.takeCopy();
      await simulation.world.run(2000);
      simulation.kill(simulation.actions[0]?.machine ?? '');
      simulation.store.restore(copy);
      await simulation.world.run(2000 + 2 * LIFETIME_MS);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions[simulation.actions.length - 1]?.at).to.be.above(2000 + 2 * LIFETIME_MS - 200);
    });

    it('passes on long before its lifetime ends once every machine refuses the unknown holder', async () => {
      const simulation = new LeaseSimulation(650, true, 60_000);
      for (const machine of ['a', 'b', 'c', 'd']) simulation.start(machine);
      const copy = simulation.store.takeCopy();
      await simulation.world.run(2000);
      const holder = simulation.actions[0]?.machine ?? '';
      simulation.kill(holder);
      simulation.store.restore(copy);
      await simulation.world.run(3000);
      simulation.start(holder);
      await simulation.world.run(8000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions.filter(({ at }) => at > 3000 && at < 6500)).not.to.have.length(0);
    });

    it('does not pass on before its lifetime ends while a lost machine may only be unreachable', async () => {
      const simulation = new LeaseSimulation(660, true, 60_000);
      for (const machine of ['a', 'b', 'c', 'd']) simulation.start(machine);
      const copy = simulation.store.takeCopy();
      await simulation.world.run(2000);
      simulation.kill(simulation.actions[0]?.machine ?? '');
      simulation.store.restore(copy);
      await simulation.world.run(20_000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions.filter(({ at }) => at > 2100)).to.have.length(0);
    });

    it('never has two holders act within the pause, with witnesses, refusals and partitions', async () => {
      for (let seed = 700; seed < 860; seed += 1) {
        const simulation = new LeaseSimulation(seed, true, seed % 2 === 0 ? 60_000 : 4000);
        const machines = ['a', 'b', 'c', 'd'];
        for (const machine of machines) simulation.start(machine);
        let copy = simulation.store.takeCopy();
        for (let step = 1; step <= 60; step += 1) {
          await simulation.world.run(step * 400);
          const machine = simulation.random.pick(machines) ?? 'a';
          const choice = simulation.random.integer(13);
          if (choice === 0) simulation.start(machine);
          if (choice === 1)
            simulation.runsByMachine.get(machine)?.process.pause(simulation.random.between(100, 6000));
          if (choice === 2) simulation.kill(machine);
          if (choice === 3) simulation.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
          if (choice === 4) simulation.store.faults = { ...NO_FAULTS, refused: 1 };
          if (choice === 5) simulation.store.faults = NO_FAULTS;
          if (choice === 6) simulation.partitioned.add(machine);
          if (choice === 7) simulation.partitioned.clear();
          if (choice === 8) simulation.release(machine);
          if (choice === 9) simulation.store.unreachableMachines.add(machine);
          if (choice === 10) simulation.store.unreachableMachines.clear();
          if (choice === 11) copy = simulation.store.takeCopy();
          if (choice === 12) simulation.store.restore(copy);
        }
        simulation.checkInvariants(PAUSE_MS);
      }
    });
  });

  describe('with witnesses', () => {
    it('passes to another machine soon after its holder is lost, long before its lifetime ends', async () => {
      const { simulation, holder } = await startWithHolder(10);
      simulation.kill(holder);
      await simulation.world.run(2000 + CONTACT_LIFETIME_MS + 2000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions[simulation.actions.length - 1]?.machine).not.to.equal(holder);
    });

    it('passes on when its holder is paused, and the holder does not act on resuming', async () => {
      const { simulation, holder } = await startWithHolder(11);
      simulation.runsByMachine.get(holder)?.process.pause(5000);
      await simulation.world.run(12_000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions[simulation.actions.length - 1]?.machine).not.to.equal(holder);
    });

    it('passes on when its holder is partitioned from the others, although the store answers it', async () => {
      const { simulation, holder } = await startWithHolder(12);
      simulation.partitioned.add(holder);
      await simulation.world.run(8000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions[simulation.actions.length - 1]?.machine).not.to.equal(holder);
    });

    it('stays with a holder that the others reach while the store is unavailable', async () => {
      const { simulation, holder } = await startWithHolder(13);
      simulation.store.faults = { ...NO_FAULTS, refused: 1 };
      await simulation.world.run(12_000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions[simulation.actions.length - 1]?.machine).to.equal(holder);
      expect(simulation.actions[simulation.actions.length - 1]?.at).to.be.above(11_500);
    });

    it('never has two holders act within the pause, with crashes, partitions, pauses and store faults', async () => {
      for (let seed = 400; seed < 520; seed += 1) {
        const simulation = new LeaseSimulation(seed, true, seed % 2 === 0 ? LONG_LIFETIME_MS : 4000);
        const machines = ['a', 'b', 'c', 'd'];
        for (const machine of machines) simulation.start(machine);
        for (let step = 1; step <= 40; step += 1) {
          await simulation.world.run(step * 500);
          const machine = simulation.random.pick(machines) ?? 'a';
          const choice = simulation.random.integer(11);
          if (choice === 0) simulation.start(machine);
          if (choice === 1)
            simulation.runsByMachine.get(machine)?.process.pause(simulation.random.between(100, 6000));
          if (choice === 2) simulation.kill(machine);
          if (choice === 3) simulation.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
          if (choice === 4) simulation.store.faults = { ...NO_FAULTS, refused: 1 };
          if (choice === 5) simulation.store.faults = NO_FAULTS;
          if (choice === 6) simulation.partitioned.add(machine);
          if (choice === 7) simulation.partitioned.clear();
          if (choice === 9) simulation.store.unreachableMachines.add(machine);
          if (choice === 10) simulation.store.unreachableMachines.clear();
          if (choice === 8) simulation.release(machine);
        }
        simulation.checkInvariants(PAUSE_MS);
      }
    });
  });

  it('has two holders act too close together without a handover pause, which the invariant check detects', async () => {
    const simulation = new LeaseSimulation(5);
    simulation.start('a', false);
    simulation.start('b', false);
    await simulation.world.run(1000);
    const holder = simulation.actions[0]?.machine ?? '';
    simulation.runsByMachine.get(holder)?.process.pause(50);
    simulation.store.faults = { ...NO_FAULTS, refused: 1 };
    await simulation.world.run(1000 + LIFETIME_MS);
    simulation.store.faults = NO_FAULTS;
    simulation.kill(holder);
    await simulation.world.run(6000);
    expect(() => {
      simulation.checkInvariants(LIFETIME_MS * 2);
    }).to.throw();
  });
});
