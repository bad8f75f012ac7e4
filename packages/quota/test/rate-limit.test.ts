import { expect } from 'chai';
import {
  RATE_LIMIT_ALLOWANCE,
  RateLimitWorld,
  equalShares,
  sharedPermits,
  type PermitFactory,
} from './rate-limit-world.js';

const DAEMONS = 12;
const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);
const LIMITS = [0.5, 1, 5, 40];
const SIMULATION_MS = 20_000;
/** Ratio of the total demand to the limit. */
const OVERLOAD_FACTOR = 6;

interface Scenario {
  readonly limit: number;
  readonly seed: number;
  readonly daemons?: number;
  /** Fraction of the demand that arrives at the first daemon. */
  readonly uneven?: number;
  readonly createPermits?: PermitFactory;
}

async function limitedWorld({
  limit,
  seed,
  daemons = DAEMONS,
  uneven,
  createPermits = sharedPermits,
}: Scenario): Promise<RateLimitWorld> {
  const world = new RateLimitWorld(createPermits, seed);
  const all = Math.max(4, limit * OVERLOAD_FACTOR);
  world.demand = (index) => {
    if (uneven === undefined) return all / daemons;
    return index === 0 ? all * uneven : (all * (1 - uneven)) / (daemons - 1);
  };
  await world.start(daemons);
  await world.setLimit(limit);
  return world;
}

/** Expects that requests used nearly all of the limit, exceeding it by no more than an initial burst. */
function expectLimitUsed({ arrived }: RateLimitWorld, limit: number, name?: string): void {
  const whole = (limit * SIMULATION_MS) / 1000;
  expect(arrived, name).to.be.within(0.85 * whole, whole * 1.1 + RATE_LIMIT_ALLOWANCE.slack);
}

/** Kills, pauses, partitions and adds daemons, including the one that runs the allocator. */
async function injectFaults(world: RateLimitWorld): Promise<void> {
  const { cluster, random } = world;
  for (let round = 0; round < 10; round += 1) {
    const target = random.next() < 0.4 ? 0 : random.integer(world.daemons.length);
    const daemon = world.daemons[target];
    const fault = random.next();
    if (fault < 0.3) await world.restart(target, random.between(200, 1500));
    else if (fault < 0.6) daemon?.node.process.pause(random.between(500, 6000));
    else if (fault < 0.9) {
      const isCut = (name: string): boolean => name === daemon?.name;
      const heal = cluster.network.cut((from, to) => isCut(from.name) !== isCut(to.name));
      cluster.world.schedule(random.between(500, 6000), heal);
    } else await world.addDaemon();
    await cluster.advance(random.between(300, 3000));
  }
}

describe('deployment-wide rate limits of back ends', () => {
  it('hold in every window and are used almost fully, with even or uneven demand across daemons', async () => {
    for (const limit of LIMITS) {
      for (const uneven of [undefined, 0.9]) {
        const world = await limitedWorld({ limit, seed: 3, ...(uneven === undefined ? {} : { uneven }) });
        await world.cluster.advance(SIMULATION_MS);
        const name = `limit ${String(limit)}, uneven ${String(uneven)}`;
        expect(world.peakUsage(limit), name).to.be.at.most(1);
        expectLimitUsed(world, limit, name);
      }
    }
  });

  it('hold in every window while daemons and allocators are killed, paused, partitioned and added', async () => {
    for (const seed of SEEDS) {
      for (const limit of LIMITS) {
        const world = await limitedWorld({ limit, seed });
        await injectFaults(world);
        expect(world.peakUsage(limit), `limit ${String(limit)} with seed ${String(seed)}`).to.be.at.most(1);
        expect(world.arrived).to.be.above(0);
      }
    }
  });

  it('take effect when lowered, raised and withdrawn', async () => {
    const world = await limitedWorld({ limit: 20, seed: 5 });
    await world.setLimit(1);
    await world.cluster.advance(SIMULATION_MS);
    expect(world.peakUsage(1)).to.be.at.most(1);
    await world.setLimit(20);
    await world.cluster.advance(SIMULATION_MS);
    expectLimitUsed(world, 20);
    world.requestsPerSecond = undefined;
    await world.cluster.advance(3000);
    const [before, asked] = [world.arrived, world.requests];
    await world.cluster.advance(2000);
    expect((world.arrived - before) / (world.requests - asked)).to.be.above(0.9);
  });

  it('are available almost fully to one daemon once the others have no more requests', async () => {
    const world = await limitedWorld({ limit: 1, seed: 4, daemons: 40 });
    world.demand = () => 1.5;
    await world.cluster.advance(10_000);
    world.demand = (index) => (index === 0 ? OVERLOAD_FACTOR : 0);
    await world.cluster.advance(1000);
    const before = world.arrived;
    await world.cluster.advance(10_000);
    expect(world.arrived - before).to.be.at.least(8);
    expect(world.peakUsage(1)).to.be.at.most(1);
  });

  it('hold with many daemons that each rarely have a request', async () => {
    const world = await limitedWorld({ limit: 1, seed: 2, daemons: 120 });
    await world.cluster.advance(SIMULATION_MS);
    expect(world.peakUsage(1)).to.be.at.most(1);
    expectLimitUsed(world, 1);
  });

  /**
   * Compares with equal shares. Each daemon must be allowed one request at once, which exceeds a small
   * limit if there are many daemons; and a daemon with most of the demand is limited to its share.
   */
  it('are used more fully than with equal shares if one daemon has most of the demand', async () => {
    const shared = await limitedWorld({ limit: 1, seed: 2, daemons: 40, createPermits: equalShares(40) });
    await shared.cluster.advance(SIMULATION_MS);
    const few = await limitedWorld({ limit: 1, seed: 2, uneven: 0.9, createPermits: equalShares(DAEMONS) });
    await few.cluster.advance(SIMULATION_MS);
    const own = await limitedWorld({ limit: 1, seed: 2, uneven: 0.9 });
    await own.cluster.advance(SIMULATION_MS);
    expect(few.arrived).to.be.below(own.arrived / 2);
  });
});
