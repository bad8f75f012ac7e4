/** Guards against two holders that act within the pause after a lease has changed hands more than once in a short time. */
import { expect } from 'chai';
import type { LeaseRecord } from '../src/index.js';
import { LeaseSimulation, NO_FAULTS } from './lease-simulation.js';

const PAUSE_MS = 3000;
const LIFETIME_MS = 10_000;
const STORE_FAULTS = { refused: 0.1, answerLost: 0.4, appliedLate: 0.2 };

function startSimulation(seed: number): LeaseSimulation {
  const simulation = new LeaseSimulation(seed, true, LIFETIME_MS, { witnessCount: 3, pauseMs: PAUSE_MS });
  for (const machine of ['a', 'b', 'c', 'd']) simulation.start(machine);
  return simulation;
}

/** Adds machines that have never witnessed for the holder, long before the first hand-over. */
async function startWithNewWitnesses(seed: number): Promise<{ simulation: LeaseSimulation; holder: string }> {
  const simulation = startSimulation(seed);
  await simulation.world.run(3000);
  for (const machine of ['e', 'f', 'g', 'h', 'i']) simulation.start(machine);
  await simulation.world.run(11_000);
  return { simulation, holder: simulation.actions.at(-1)?.machine ?? '' };
}

function recordedHolder(simulation: LeaseSimulation): string {
  return simulation.store.takeCopy()?.record.holder ?? '';
}

function recordedWitnesses(simulation: LeaseSimulation): string[] {
  return (simulation.store.takeCopy()?.record.witnesses ?? []).map(({ id }) => id);
}

/** @throws Error when the condition does not hold within 4 s. */
async function runUntil({ world }: LeaseSimulation, isMet: () => boolean): Promise<void> {
  const limit = world.now + 4000;
  while (!isMet()) {
    if (world.now > limit) throw new Error('condition not met within 4 s');
    await world.run(world.now + 10);
  }
}

/** Runs until the record names a holder other than the given one; returns its name. */
async function nextRecordedHolder(simulation: LeaseSimulation, holder: string): Promise<string> {
  await runUntil(simulation, () => !['', holder].includes(recordedHolder(simulation)));
  return recordedHolder(simulation);
}

/** Stops a machine as planned: it releases its lease first. */
function stop(simulation: LeaseSimulation, machine: string): void {
  simulation.release(machine);
  simulation.kill(machine);
}

describe('Lease that changes hands in series', () => {
  it('keeps the pause of a holder that was replaced before it knew that it held the lease', async () => {
    for (let seed = 700; seed < 720; seed += 1) {
      const { simulation, holder } = await startWithNewWitnesses(seed);
      simulation.release(holder);
      await simulation.world.run(simulation.world.now + 30);
      simulation.kill(holder);
      simulation.store.losesAnswerTo = () => true;
      const next = await nextRecordedHolder(simulation, holder);
      simulation.kill(next);
      simulation.store.losesAnswerTo = () => false;
      await simulation.world.run(simulation.world.now + 15_000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions.at(-1)?.machine, `seed ${String(seed)}`).not.to.be.oneOf([holder, next]);
    }
  });

  it('keeps the pause after a holder that was killed while it named other witnesses', async () => {
    for (let seed = 720; seed < 740; seed += 1) {
      const { simulation, holder } = await startWithNewWitnesses(seed);
      const named = recordedWitnesses(simulation);
      for (const id of named.slice(0, 2)) simulation.kill(id);
      const namesOthers = ({ witnesses }: LeaseRecord): boolean =>
        witnesses.some(({ id }) => !named.includes(id));
      simulation.store.losesAnswerTo = namesOthers;
      await runUntil(simulation, () => recordedWitnesses(simulation).some((id) => !named.includes(id)));
      simulation.kill(holder);
      simulation.store.losesAnswerTo = () => false;
      await simulation.world.run(simulation.world.now + 15_000);
      simulation.checkInvariants(PAUSE_MS);
      expect(simulation.actions.at(-1)?.machine, `seed ${String(seed)}`).not.to.equal(holder);
    }
  });

  it('keeps the pause after an order that was still on its way when the lease was released', async () => {
    for (let seed = 800; seed < 810; seed += 1) {
      const simulation = startSimulation(seed);
      await simulation.world.run(6000);
      const holder = simulation.actions.at(-1)?.machine ?? '';
      const releasedAt = simulation.world.now;
      const inFlightMs = 1200;
      simulation.release(holder, () => Promise.resolve(inFlightMs));
      await simulation.world.run(releasedAt + 100);
      simulation.kill(holder);
      await simulation.world.run(releasedAt + 12_000);
      const next = simulation.actions.find(({ machine }) => machine !== holder);
      expect(next?.at, `seed ${String(seed)}`).to.be.within(
        releasedAt + inFlightMs + PAUSE_MS,
        releasedAt + inFlightMs + PAUSE_MS + 1000,
      );
    }
  });

  for (const firstSeed of [740, 760, 780]) {
    const lastSeed = firstSeed + 19;
    it(`never has two holders act within the pause, with stops, kills, suspensions, new machines and store faults (seeds ${String(firstSeed)} to ${String(lastSeed)})`, async () => {
      for (let seed = firstSeed; seed <= lastSeed; seed += 1) await playSeries(seed);
    });
  }
});

/** Plays random faults of holders, other machines and the store in quick succession; checks that the lease is used again after them. */
async function playSeries(seed: number): Promise<void> {
  const simulation = startSimulation(seed);
  const { random, world } = simulation;
  await world.run(3000);
  let added = 0;
  for (let step = 1; step <= 30; step += 1) {
    await world.run(world.now + random.between(50, 1500));
    const machines = [...simulation.runsByMachine.keys()];
    const machine = random.pick(machines) ?? 'a';
    const holder = recordedHolder(simulation);
    const target = random.integer(3) === 0 || holder === '' ? machine : holder;
    const choice = random.integer(9);
    if (choice <= 1) stop(simulation, target);
    if (choice === 2) simulation.kill(target);
    if (choice === 3) simulation.runsByMachine.get(target)?.process.suspend(random.between(300, 4000));
    if (choice === 4) simulation.runsByMachine.get(target)?.process.pause(random.between(300, 4000));
    if (choice === 5) simulation.start(machine);
    if (choice === 6) simulation.start(`added-${String((added += 1))}`);
    if (choice === 7) simulation.store.faults = STORE_FAULTS;
    if (choice === 8) simulation.store.faults = NO_FAULTS;
  }
  simulation.store.faults = NO_FAULTS;
  for (const machine of simulation.runsByMachine.keys()) simulation.start(machine);
  const endOfFaults = world.now;
  await world.run(endOfFaults + 25_000);
  simulation.checkInvariants(PAUSE_MS);
  expect(simulation.actions.at(-1)?.at, `seed ${String(seed)}`).to.be.above(endOfFaults + 20_000);
}
