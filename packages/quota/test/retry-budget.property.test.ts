// Guards against retries over the budget when processes end, return, stand still and are cut off: what each one spends is known to it alone.
import { expect } from 'chai';
import { RetryWorld, sharedBudget, sharesOfWindow, type BudgetFactory } from './retry-world.js';

const DAEMONS = 6;
const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);
const ROUNDS = 25;
const STEADY_MS = 30_000;

/** Kills, suspends, cuts off, adds and removes daemons, moves clients, and changes traffic and failures. */
async function injectFaults(world: RetryWorld): Promise<void> {
  const { random, cluster } = world;
  for (let round = 0; round < ROUNDS; round += 1) {
    const chosen = random.shuffle(world.alive()).slice(0, 1 + random.integer(DAEMONS));
    const fault = random.next();
    if (fault < 0.25) {
      for (const daemon of chosen) world.kill(daemon);
      await cluster.advance(random.between(50, 1500));
      for (const daemon of chosen) await world.restart(daemon);
    } else if (fault < 0.35) {
      const all = world.alive();
      for (const daemon of all) world.kill(daemon);
      await cluster.advance(random.between(50, 800));
      for (const daemon of all) await world.restart(daemon);
    } else if (fault < 0.5) {
      for (const { node } of chosen) {
        if (random.next() < 0.5) node.process.pause(random.between(300, 6000));
        else node.process.suspend(random.between(300, 6000));
      }
    } else if (fault < 0.65) {
      cluster.world.schedule(random.between(500, 12_000), world.cut(chosen));
    } else if (fault < 0.75) {
      await world.add();
    } else if (fault < 0.8 && world.alive().length > DAEMONS) {
      for (const daemon of chosen.slice(0, 1)) world.kill(daemon);
    } else if (fault < 0.9) {
      world.failingShare = random.pick([0.02, 0.3, 1]) ?? 1;
    } else {
      const preferred = random.pick(world.alive());
      world.choose = () =>
        random.next() < 0.8 && preferred?.node.process.alive === true
          ? preferred
          : random.pick(world.alive());
    }
    if (random.next() < 0.3) world.requestsPerSecond = random.between(40, 160);
    await cluster.advance(random.between(0, 4000));
  }
}

async function worldWithFaults(createBudget: BudgetFactory, seed: number): Promise<RetryWorld> {
  const world = new RetryWorld(createBudget, seed);
  await world.start(DAEMONS);
  await injectFaults(world);
  return world;
}

/** Returns by how many retries each seed exceeds the budget in its worst window. */
async function excesses(createBudget: BudgetFactory): Promise<number[]> {
  const found: number[] = [];
  for (const seed of SEEDS) {
    const world = await worldWithFaults(createBudget, seed);
    const { retries, allowed } = world.worstWindow() ?? { retries: 0, allowed: 0 };
    found.push(retries - allowed);
  }
  return found;
}

describe('the retry budget of a deployment', () => {
  it('holds in every window over all processes, living and ended, whatever happens to them', async () => {
    const found = await excesses(sharedBudget);
    for (const [index, excess] of found.entries())
      expect(excess, `seed ${String(SEEDS[index])}`).to.be.at.most(0);
  });

  it('would not hold with shares by the number of daemons and retries earned long before', async () => {
    const found = await excesses(sharesOfWindow);
    expect(found.filter((excess) => excess > 0)).not.to.have.length(0);
  });

  it('is used by steady daemons as much as with shares and retries earned in the whole window', async () => {
    for (const requestsPerSecond of [5, 60, 200]) {
      const used = { sharedBudget: 0, sharesOfWindow: 0 };
      for (const [name, createBudget] of Object.entries({ sharedBudget, sharesOfWindow })) {
        const world = new RetryWorld(createBudget, 1);
        world.requestsPerSecond = requestsPerSecond;
        await world.start(DAEMONS);
        await world.cluster.advance(STEADY_MS);
        used[name as keyof typeof used] = world.retries;
      }
      expect(used.sharedBudget, `${String(requestsPerSecond)} requests a second`).to.be.at.least(
        used.sharesOfWindow,
      );
    }
  });
});
