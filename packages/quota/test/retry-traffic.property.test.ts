// Guards against retries over the budget when traffic rises and falls and failures begin when most retries have been saved: a bound that holds for steady traffic only.
import { expect } from 'chai';
import { FIRST_MEMBER_MS } from '../src/index.js';
import { LIMITS, RetryWorld, sharedBudget, type BudgetFactory } from './retry-world.js';

const DAEMONS = 5;
const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);
const BURSTS = 5;
const QUIET_RATES_PER_SECOND = [2, 20, 40] as const;
const BURST_RATES_PER_SECOND = [60, 100, 140, 250] as const;
const BURST_MS = [600, 2500, 5000] as const;
/** Parts of a window from the start of one burst to the next one, so that the bursts lie in windows that the budget compares. */
const BURST_PERIODS_MS = [5000, 7500, 10_000, 12_500] as const;

/** Draws bursts against the bound: failures begin when most retries are saved, at the end of a burst, and go on in the next one. */
async function runBursts(world: RetryWorld): Promise<void> {
  const { random, cluster } = world;
  world.failingShare = 0;
  const quietRate = random.pick(QUIET_RATES_PER_SECOND) ?? 0;
  world.requestsPerSecond = quietRate;
  // The allocators of the first members leave a part of the fixed allowance out until then.
  await cluster.advance(LIMITS.windowMs + FIRST_MEMBER_MS);
  for (let burst = 0; burst < BURSTS; burst += 1) {
    const burstMs = random.pick(BURST_MS) ?? 0;
    const periodMs = random.pick(BURST_PERIODS_MS) ?? 0;
    world.requestsPerSecond = random.pick(BURST_RATES_PER_SECOND) ?? 0;
    await cluster.advance(burstMs);
    world.requestsPerSecond = quietRate;
    world.failingShare = random.next() < 0.7 ? 1 : 0;
    if (random.next() < 0.2) await endSome(world);
    if (random.next() < 0.2) preferOne(world);
    await cluster.advance(Math.max(0, periodMs - burstMs));
  }
}

async function endSome(world: RetryWorld): Promise<void> {
  const { random } = world;
  const chosen = random.shuffle(world.alive()).slice(0, 1 + random.integer(DAEMONS));
  for (const daemon of chosen) world.kill(daemon);
  for (const daemon of chosen) await world.restart(daemon);
}

/** Sends all clients to one daemon, or to all again. */
function preferOne(world: RetryWorld): void {
  const { random } = world;
  const preferred = random.next() < 0.5 ? random.pick(world.alive()) : undefined;
  world.choose = () => (preferred?.node.process.alive === true ? preferred : random.pick(world.alive()));
}

/** Returns by how many retries a seed exceeds the budget in its worst window. */
async function excessOf(createBudget: BudgetFactory, seed: number): Promise<number> {
  const world = new RetryWorld(createBudget, seed);
  await world.start(DAEMONS);
  await runBursts(world);
  const { retries, allowed } = world.worstWindow() ?? { retries: 0, allowed: 0 };
  return retries - allowed;
}

describe('the retry budget of a deployment whose traffic changes', () => {
  it('holds in every window over all processes, whatever was saved before failures begin', async () => {
    const exceeded: string[] = [];
    for (const seed of SEEDS) {
      const excess = await excessOf(sharedBudget, seed);
      if (excess > 0) exceeded.push(`seed ${String(seed)}: ${String(excess)}`);
    }
    expect(exceeded).to.deep.equal([]);
  });
});
