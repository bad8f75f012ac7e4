import { expect } from 'chai';
import { ContendedWorld, QUOTA, SORTS, type ContendedOptions } from './contended-world.js';

/** Units per second that the tenant sends with all kinds at their full rates. */
const OFFERED = SORTS.reduce((sum, { perSecond, units }) => sum + perSecond * units, 0);
/** Usual load of the tenant as a fraction of its load in the overload. */
const USUAL_LOAD = 110_000 / OFFERED;
const DAEMONS = 30;

/** Plays the usual load, then an overload of 5 s. */
async function overload(
  options: Partial<ContendedOptions>,
  fault?: (world: ContendedWorld) => void,
): Promise<{ world: ContendedWorld; from: number }> {
  const world = new ContendedWorld({ hasPriorities: true, daemons: DAEMONS, ...options });
  await world.start();
  world.load = USUAL_LOAD;
  await world.cluster.advance(3000);
  for (const { name } of SORTS) expect(world.resultOf(name).refusals, `${name}, usual load`).to.equal(0);
  world.resetResults();
  const from = world.now;
  world.load = 1;
  await world.cluster.advance(2000);
  fault?.(world);
  await world.cluster.advance(3000);
  return { world, from };
}

/** Returns the requests of a kind granted per second from the second to the fifth second. */
function servedPerSecond(world: ContendedWorld, name: string): number {
  const { perSecond } = world.resultOf(name);
  return [1, 2, 3, 4].reduce((sum, second) => sum + (perSecond[second] ?? 0), 0) / 4;
}

describe('a tenant that sends a multiple of its limit', () => {
  it('is served by size without priorities, and by urgency with them, with the whole limit used', async () => {
    const without = await overload({ hasPriorities: false });
    expect(servedPerSecond(without.world, 'fault')).to.be.below(60);
    expect(servedPerSecond(without.world, 'relay')).to.be.above(200);

    const { world, from } = await overload({});
    // Shares of 4/8, 2/8 and twice 1/8 of the limit; batch work and orders, of one priority, have a share each.
    expect(servedPerSecond(world, 'fault')).to.be.within(100, 125);
    expect(servedPerSecond(world, 'alarm')).to.be.within(140, 170);
    expect(servedPerSecond(world, 'tariff')).to.be.within(22, 35);
    expect(servedPerSecond(world, 'relay')).to.be.within(110, 140);
    const used = world.unitsBetween(from + 1000, from + 5000) / 4;
    expect(used / QUOTA.ratePerSecond).to.be.within(0.97, 1.03);
    expect(world.peakUsage()).to.be.below(1);
  });

  it('is told retry delays that are true and spread, so that callers do not return at once', async () => {
    const { world } = await overload({});
    for (const { name, targetMs } of SORTS) {
      const { retryDelays } = world.resultOf(name);
      const sorted = [...retryDelays].sort((left, right) => left - right);
      expect(sorted[0], name).to.be.above(Math.min(targetMs - 100, 200));
      expect(sorted[sorted.length - 1], name).to.be.at.most(12_000);
    }
    const without = await overload({ hasPriorities: false });
    const retriesOf = (each: ContendedWorld): number =>
      SORTS.reduce((sum, { name }) => sum + each.resultOf(name).retries, 0);
    expect(retriesOf(world)).to.be.below(retriesOf(without.world) / 3);
  });

  /** An allocator of one zone has only its part of the limit; callers of one zone must get the whole. */
  it('uses the whole limit when all its callers are in one zone', async () => {
    const { world, from } = await overload({ isInOneZone: true });
    const used = world.unitsBetween(from + 1000, from + 5000) / 4;
    expect(used / QUOTA.ratePerSecond).to.be.within(0.95, 1.03);
    expect(servedPerSecond(world, 'fault')).to.be.within(110, 140);
  });

  it('keeps its limit and shares at the other allocators while one does not answer', async () => {
    const { world } = await overload({}, (each) => {
      each.hang(0, 3000);
    });
    expect(world.peakUsage()).to.be.below(1);
    // Two of three allocators answer, and the requests of the hanging daemon are not served.
    for (const [name, whole] of [
      ['fault', 127],
      ['alarm', 173],
      ['tariff', 16],
      ['relay', 71],
    ] as const) {
      const late = world.resultOf(name).perSecond.slice(3, 5);
      for (const served of late) expect(served, name).to.be.above(0.5 * whole);
    }
    expect(world.refusalsWithAllocators).to.include(2);
  });

  it('keeps its limit and shares while an allocator is replaced by an empty one', async () => {
    const { world } = await overload({}, (each) => {
      each.replaceAllocator(0);
    });
    await world.cluster.advance(7000);
    expect(world.peakUsage()).to.be.below(1);
    const at = world.now;
    expect(world.unitsBetween(at - 2000, at) / 2 / QUOTA.ratePerSecond).to.be.within(0.95, 1.05);
    const { perSecond } = world.resultOf('fault');
    expect(perSecond[10]).to.be.within(105, 150);
  });
});

describe('QuotaGate without contended capacity', () => {
  /** The order and the number of grants must not depend on what a caller states as its priority. */
  it('ignores the priorities of requests', async () => {
    const withUrgency = await overload({ hasPriorities: false });
    const equal = SORTS.map((sort) => ({ ...sort, priority: 9 }));
    const withoutUrgency = await overload({ hasPriorities: false, sorts: equal });
    expect(withUrgency.world.runs).to.deep.equal(withoutUrgency.world.runs);
    expect(withUrgency.world.allocatorCalls).to.equal(withoutUrgency.world.allocatorCalls);
  });
});
