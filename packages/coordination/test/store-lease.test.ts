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
  it('is taken at once when free, and by one of several', async () => {
    const lease = new LeaseSimulation(1);
    for (const machine of ['a', 'b', 'c']) lease.start(machine);
    await lease.world.run(2000);
    lease.checkInvariants(PAUSE_MS);
    expect(new Set(lease.actions.map((act) => act.machine)).size).to.equal(1);
    expect(lease.actions[0]?.at).to.be.lessThan(200);
  });

  it('is taken back at once by a machine whose process was started again, under a higher fence', async () => {
    const lease = new LeaseSimulation(2);
    lease.start('a');
    lease.start('b');
    await lease.world.run(1000);
    const holder = lease.actions[0]?.machine ?? '';
    lease.start(holder);
    await lease.world.run(1500);
    lease.checkInvariants(PAUSE_MS);
    const later = lease.actions.filter((act) => act.at > 1000);
    expect(later[0]).to.include({ machine: holder, fence: 2 });
    expect((later[0]?.at ?? Infinity) - 1000).to.be.lessThan(200);
  });

  it('passes to another once its holder has been gone for its lifetime', async () => {
    const lease = new LeaseSimulation(3);
    lease.start('a');
    await lease.world.run(500);
    lease.start('b');
    await lease.world.run(1000);
    lease.kill('a');
    await lease.world.run(1000 + LIFETIME_MS * 2);
    lease.checkInvariants(PAUSE_MS);
    expect(lease.actions[lease.actions.length - 1]).to.include({ machine: 'b', fence: 2 });
  });

  it('counts its lifetime from the last confirmation that the holder told, not from the first look', async () => {
    const lease = new LeaseSimulation(6);
    lease.start('a');
    lease.start('b');
    await lease.world.run(1000);
    const holder = lease.actions[0]?.machine ?? '';
    lease.store.faults = { ...NO_FAULTS, refused: 1 };
    lease.kill(holder);
    // The other one cannot look at the record for most of the lifetime.
    await lease.world.run(1000 + LIFETIME_MS * 0.8);
    lease.store.faults = NO_FAULTS;
    await lease.world.run(1000 + LIFETIME_MS * 1.4);
    lease.checkInvariants(PAUSE_MS);
    expect(lease.actions[lease.actions.length - 1]?.machine).not.to.equal(holder);
  });

  it('is kept through an outage of the store shorter than its lifetime less the pause', async () => {
    const lease = new LeaseSimulation(4);
    lease.start('a');
    lease.start('b');
    await lease.world.run(1000);
    lease.store.faults = { ...NO_FAULTS, refused: 1 };
    await lease.world.run(1500);
    const holder = lease.actions[0]?.machine;
    expect(lease.actions[lease.actions.length - 1]).to.include({ machine: holder, fence: 1 });
    expect(lease.actions[lease.actions.length - 1]?.at).to.be.greaterThan(1450);
  });

  it('never has two holders act within the pause, whatever stops, comes back, freezes, or is answered late', async () => {
    for (let seed = 100; seed < 160; seed += 1) {
      const lease = new LeaseSimulation(seed);
      const machines = ['a', 'b', 'c'];
      for (const machine of machines) lease.start(machine);
      for (let step = 1; step <= 40; step += 1) {
        await lease.world.run(step * 500);
        const machine = lease.random.pick(machines) ?? 'a';
        const choice = lease.random.integer(6);
        if (choice === 0) lease.start(machine);
        if (choice === 1) lease.runsByMachine.get(machine)?.process.pause(lease.random.between(100, 4000));
        if (choice === 2) lease.kill(machine);
        if (choice === 3) lease.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
        if (choice === 4) lease.store.faults = { ...NO_FAULTS, refused: 1 };
        if (choice === 5) lease.store.faults = NO_FAULTS;
      }
      lease.checkInvariants(PAUSE_MS);
    }
  });

  it('waits out the pause also when its new holder is started again meanwhile', async () => {
    for (let seed = 300; seed < 320; seed += 1) {
      const lease = new LeaseSimulation(seed);
      for (const machine of ['a', 'b']) lease.start(machine);
      await lease.world.run(1000);
      const holder = lease.actions[0]?.machine ?? '';
      const other = holder === 'a' ? 'b' : 'a';
      lease.release(holder);
      await lease.world.run(1045);
      lease.kill(holder);
      for (let step = 1; step <= 3; step += 1) {
        await lease.world.run(1100 + step * 150);
        lease.start(other);
      }
      await lease.world.run(6000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions[lease.actions.length - 1]?.machine).to.equal(other);
    }
  });

  /**
   * A store that was restored from a copy gives out again what it gave before. A holder whose record the copy lacks, or shows under an earlier holder, went on
   * until its next renewal, while the next one began at once with a first record: both acted, under the same fence.
   */
  describe('of a store that is restored from a copy', () => {
    it('is not taken by another while its holder may still act, and then under a higher fence', async () => {
      for (let seed = 400; seed < 420; seed += 1) {
        const lease = new LeaseSimulation(seed);
        const copy = lease.store.takeCopy();
        for (const machine of ['a', 'b', 'c']) lease.start(machine);
        await lease.world.run(1000);
        const holder = lease.actions[0]?.machine ?? '';
        if (seed % 2 === 0) lease.kill(holder);
        lease.store.restore(copy);
        await lease.world.run(6000);
        lease.checkInvariants(PAUSE_MS);
        expect(lease.actions[lease.actions.length - 1]?.at).to.be.above(5500);
      }
    });

    it('never has two holders act within the pause, whatever is restored, stops, freezes or is answered late', async () => {
      for (let seed = 500; seed < 620; seed += 1) {
        const lease = new LeaseSimulation(seed);
        const machines = ['a', 'b', 'c'];
        for (const machine of machines) lease.start(machine);
        let copy = lease.store.takeCopy();
        for (let step = 1; step <= 60; step += 1) {
          await lease.world.run(step * 300);
          const machine = lease.random.pick(machines) ?? 'a';
          const choice = lease.random.integer(8);
          if (choice === 0) lease.start(machine);
          if (choice === 1) lease.runsByMachine.get(machine)?.process.pause(lease.random.between(100, 4000));
          if (choice === 2) lease.kill(machine);
          if (choice === 3) lease.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
          if (choice === 4) lease.store.faults = { ...NO_FAULTS, refused: 1 };
          if (choice === 5) lease.store.faults = NO_FAULTS;
          if (choice === 6) copy = lease.store.takeCopy();
          if (choice === 7) lease.store.restore(copy);
        }
        lease.checkInvariants(PAUSE_MS);
      }
    });

    it('goes on under its holder where that lives, without a gap and under its fence', async () => {
      for (const isWitnessed of [false, true]) {
        const lease = new LeaseSimulation(630, isWitnessed, isWitnessed ? 4000 : LIFETIME_MS);
        const copy = lease.store.takeCopy();
        for (const machine of ['a', 'b', 'c', 'd']) lease.start(machine);
        await lease.world.run(2000);
        lease.store.restore(copy);
        await lease.world.run(8000);
        lease.checkInvariants(PAUSE_MS);
        expect(
          new Set(lease.actions.map(({ machine, fence }) => `${machine} ${String(fence)}`)).size,
        ).to.equal(1);
        const later = lease.actions.filter(({ at }) => at > 2000);
        const gaps = later.map(({ at }, index) => at - (later[index - 1]?.at ?? 2000));
        expect(Math.max(...gaps)).to.be.below(100);
      }
    });

    it('is taken within two lifetimes where its holder is lost with the record', async () => {
      const lease = new LeaseSimulation(640, true);
      for (const machine of ['a', 'b', 'c', 'd']) lease.start(machine);
      const copy = lease.store.takeCopy();
      await lease.world.run(2000);
      lease.kill(lease.actions[0]?.machine ?? '');
      lease.store.restore(copy);
      await lease.world.run(2000 + 2 * LIFETIME_MS);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions[lease.actions.length - 1]?.at).to.be.above(2000 + 2 * LIFETIME_MS - 200);
    });

    it('passes on soon, long before its lifetime ends, once every machine refuses whoever held it', async () => {
      const lease = new LeaseSimulation(650, true, 60_000);
      for (const machine of ['a', 'b', 'c', 'd']) lease.start(machine);
      const copy = lease.store.takeCopy();
      await lease.world.run(2000);
      const holder = lease.actions[0]?.machine ?? '';
      lease.kill(holder);
      lease.store.restore(copy);
      await lease.world.run(3000);
      lease.start(holder);
      await lease.world.run(8000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions.filter(({ at }) => at > 3000 && at < 6500)).not.to.have.length(0);
    });

    it('is not passed on before its lifetime ends while a machine is lost that may be out of reach only', async () => {
      const lease = new LeaseSimulation(660, true, 60_000);
      for (const machine of ['a', 'b', 'c', 'd']) lease.start(machine);
      const copy = lease.store.takeCopy();
      await lease.world.run(2000);
      lease.kill(lease.actions[0]?.machine ?? '');
      lease.store.restore(copy);
      await lease.world.run(20_000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions.filter(({ at }) => at > 2100)).to.have.length(0);
    });

    it('never has two holders act within the pause with witnesses either, which refuse and are cut off meanwhile', async () => {
      for (let seed = 700; seed < 860; seed += 1) {
        const lease = new LeaseSimulation(seed, true, seed % 2 === 0 ? 60_000 : 4000);
        const machines = ['a', 'b', 'c', 'd'];
        for (const machine of machines) lease.start(machine);
        let copy = lease.store.takeCopy();
        for (let step = 1; step <= 60; step += 1) {
          await lease.world.run(step * 400);
          const machine = lease.random.pick(machines) ?? 'a';
          const choice = lease.random.integer(13);
          if (choice === 0) lease.start(machine);
          if (choice === 1) lease.runsByMachine.get(machine)?.process.pause(lease.random.between(100, 6000));
          if (choice === 2) lease.kill(machine);
          if (choice === 3) lease.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
          if (choice === 4) lease.store.faults = { ...NO_FAULTS, refused: 1 };
          if (choice === 5) lease.store.faults = NO_FAULTS;
          if (choice === 6) lease.partitioned.add(machine);
          if (choice === 7) lease.partitioned.clear();
          if (choice === 8) lease.release(machine);
          if (choice === 9) lease.store.unreachableMachines.add(machine);
          if (choice === 10) lease.store.unreachableMachines.clear();
          if (choice === 11) copy = lease.store.takeCopy();
          if (choice === 12) lease.store.restore(copy);
        }
        lease.checkInvariants(PAUSE_MS);
      }
    });
  });

  describe('with witnesses', () => {
    it('passes to another soon after its holder is lost, long before its lifetime ends', async () => {
      const { lease, holder } = await startWithHolder(10);
      lease.kill(holder);
      await lease.world.run(2000 + CONTACT_LIFETIME_MS + 2000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions[lease.actions.length - 1]?.machine).not.to.equal(holder);
    });

    it('passes on when its holder is frozen, which does not act when it goes on', async () => {
      const { lease, holder } = await startWithHolder(11);
      lease.runsByMachine.get(holder)?.process.pause(5000);
      await lease.world.run(12_000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions[lease.actions.length - 1]?.machine).not.to.equal(holder);
    });

    it('passes on when its holder is cut off from the others, though the store answers it', async () => {
      const { lease, holder } = await startWithHolder(12);
      lease.partitioned.add(holder);
      await lease.world.run(8000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions[lease.actions.length - 1]?.machine).not.to.equal(holder);
    });

    it('stays with a holder that the others reach while the store is away', async () => {
      const { lease, holder } = await startWithHolder(13);
      lease.store.faults = { ...NO_FAULTS, refused: 1 };
      await lease.world.run(12_000);
      lease.checkInvariants(PAUSE_MS);
      expect(lease.actions[lease.actions.length - 1]?.machine).to.equal(holder);
      expect(lease.actions[lease.actions.length - 1]?.at).to.be.above(11_500);
    });

    it('never has two holders act within the pause, whatever stops, is cut off, freezes, or is answered late', async () => {
      for (let seed = 400; seed < 520; seed += 1) {
        const lease = new LeaseSimulation(seed, true, seed % 2 === 0 ? LONG_LIFETIME_MS : 4000);
        const machines = ['a', 'b', 'c', 'd'];
        for (const machine of machines) lease.start(machine);
        for (let step = 1; step <= 40; step += 1) {
          await lease.world.run(step * 500);
          const machine = lease.random.pick(machines) ?? 'a';
          const choice = lease.random.integer(11);
          if (choice === 0) lease.start(machine);
          if (choice === 1) lease.runsByMachine.get(machine)?.process.pause(lease.random.between(100, 6000));
          if (choice === 2) lease.kill(machine);
          if (choice === 3) lease.store.faults = { refused: 0.2, answerLost: 0.3, appliedLate: 0.3 };
          if (choice === 4) lease.store.faults = { ...NO_FAULTS, refused: 1 };
          if (choice === 5) lease.store.faults = NO_FAULTS;
          if (choice === 6) lease.partitioned.add(machine);
          if (choice === 7) lease.partitioned.clear();
          if (choice === 9) lease.store.unreachableMachines.add(machine);
          if (choice === 10) lease.store.unreachableMachines.clear();
          if (choice === 8) lease.release(machine);
        }
        lease.checkInvariants(PAUSE_MS);
      }
    });
  });

  it('would break without the pause: the check above sees it', async () => {
    const lease = new LeaseSimulation(5);
    lease.start('a', false);
    lease.start('b', false);
    await lease.world.run(1000);
    const holder = lease.actions[0]?.machine ?? '';
    lease.runsByMachine.get(holder)?.process.pause(50);
    lease.store.faults = { ...NO_FAULTS, refused: 1 };
    await lease.world.run(1000 + LIFETIME_MS);
    lease.store.faults = NO_FAULTS;
    lease.kill(holder);
    await lease.world.run(6000);
    expect(() => {
      lease.checkInvariants(LIFETIME_MS * 2);
    }).to.throw();
  });
});
