import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { StoreLink, type StoreLoad } from '../src/index.js';

/** Configured time of each load, in milliseconds. */
const LOAD_MS = 6000;
const STEP_MS = 50;
/** Interval at which zones report their loads, in milliseconds. */
const LOAD_REPORT_INTERVAL_MS = 300;

interface Transfer {
  readonly load: StoreLoad;
  leftMs: number;
}

/**
 * A shared link on which all transfers slow down in proportion beyond its capacity. Every zone always has
 * loads waiting.
 */
class SharedLink {
  readonly world = new SimulatedWorld();
  readonly zones: StoreLink[] = [];
  completed = 0;
  /** Number of concurrent loads, summed over all steps. */
  private concurrencySum = 0;
  private steps = 0;
  private readonly transfers = new Map<StoreLink, Transfer[]>();
  private readonly reportedLoads = new Map<StoreLink, number>();

  constructor(
    public capacity: number,
    zoneCount: number,
  ) {
    const clock = new SimulatedProcess(this.world, { name: 'd', zone: 'z', region: 'r' });
    for (let index = 0; index < zoneCount; index += 1) {
      const link: StoreLink = new StoreLink({
        clock,
        loadsInOtherZones: () => this.loadsReportedElsewhere(link),
        zoneCount: () => zoneCount,
        random: new Random(index + 1),
      });
      this.zones.push(link);
      this.transfers.set(link, []);
    }
  }

  /** Runs for some seconds and returns the throughput relative to the maximum. */
  async run(seconds: number): Promise<number> {
    const completedBefore = this.completed;
    const steps = (seconds * 1000) / STEP_MS;
    this.concurrencySum = 0;
    this.steps = 0;
    for (let step = 0; step < steps; step += 1) {
      if (step % (LOAD_REPORT_INTERVAL_MS / STEP_MS) === 0) this.reportLoads();
      this.begin();
      this.advance();
      await this.world.run(this.world.now + STEP_MS);
    }
    return ((this.completed - completedBefore) * LOAD_MS) / (seconds * 1000 * this.capacity);
  }

  /** Mean number of concurrent loads in the last run. */
  get meanConcurrency(): number {
    return this.concurrencySum / this.steps;
  }

  private loadsReportedElsewhere(link: StoreLink): number {
    return this.zones.reduce(
      (sum, other) => sum + (other === link ? 0 : (this.reportedLoads.get(other) ?? 0)),
      0,
    );
  }

  private reportLoads(): void {
    for (const link of this.zones) this.reportedLoads.set(link, link.ownLoads);
  }

  private begin(): void {
    for (const link of this.zones) {
      link.accumulateConcurrency();
      if (link.hasCapacity) this.transfers.get(link)?.push({ load: link.begin(LOAD_MS), leftMs: LOAD_MS });
    }
  }

  private advance(): void {
    const all = [...this.transfers.values()].flat();
    this.concurrencySum += all.length;
    this.steps += 1;
    const progressMs = STEP_MS * Math.min(1, this.capacity / Math.max(1, all.length));
    for (const [link, transfers] of this.transfers) {
      for (const transfer of transfers) transfer.leftMs -= progressMs;
      const ended = transfers.filter(({ leftMs }) => leftMs <= 0);
      this.completed += ended.length;
      for (const { load } of ended) load.noteEnded(true);
      this.transfers.set(
        link,
        transfers.filter(({ leftMs }) => leftMs > 0),
      );
    }
  }
}

describe('StoreLink', () => {
  for (const capacity of [1, 4, 8, 50]) {
    it(`estimates a link capacity of ${String(capacity)} concurrent loads and does not exceed it by much`, async () => {
      const link = new SharedLink(capacity, 1);
      await link.run(120);
      expect(await link.run(240)).to.be.at.least(0.9);
      expect(link.meanConcurrency).to.be.at.most(capacity * 1.35 + 1);
    });
  }

  it("shares the link among several zones that learn of each other's loads with a delay", async () => {
    const link = new SharedLink(4, 6);
    await link.run(120);
    expect(await link.run(240)).to.be.at.least(0.9);
    expect(link.meanConcurrency).to.be.at.most(8);
  });

  it("adapts to a change of the link's capacity", async () => {
    const link = new SharedLink(8, 1);
    await link.run(120);
    link.capacity = 2;
    await link.run(90);
    expect(await link.run(240)).to.be.at.least(0.9);
    expect(link.meanConcurrency).to.be.at.most(4);
    link.capacity = 8;
    await link.run(120);
    expect(await link.run(240)).to.be.at.least(0.9);
  });

  it('does not wait for zones that no longer report loads', () => {
    let elsewhere = 20;
    const clock = new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'z', region: 'r' });
    const link = new StoreLink({
      clock,
      loadsInOtherZones: () => elsewhere,
      zoneCount: () => 1,
      random: new Random(1),
    });
    expect(link.hasCapacity).to.equal(false);
    expect(link.waitMs(LOAD_MS)).to.be.within(1, 100 * LOAD_MS);
    elsewhere = 0;
    expect(link.hasCapacity).to.equal(true);
    expect(link.waitMs(LOAD_MS)).to.equal(0);
  });

  it('does not update the limit from failed loads', async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
    const link = new StoreLink({
      clock,
      loadsInOtherZones: () => 0,
      zoneCount: () => 1,
      random: new Random(1),
    });
    const before = link.loadLimit;
    const load = link.begin(LOAD_MS);
    await world.run(world.now + 10 * LOAD_MS);
    load.noteEnded(false);
    expect(link.loadLimit).to.equal(before);
    expect(link.ownLoads).to.equal(0);
  });

  it('does not count the wait for an eviction as a slow load', async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
    const link = new StoreLink({
      clock,
      loadsInOtherZones: () => 0,
      zoneCount: () => 1,
      random: new Random(1),
    });
    const before = link.loadLimit;
    for (let load = 0; load < 8; load += 1) {
      const transfer = link.begin(LOAD_MS);
      await world.run(world.now + LOAD_MS);
      transfer.noteAccepted();
      await world.run(world.now + LOAD_MS);
      transfer.noteEnded(true);
    }
    expect(link.loadLimit).to.equal(before);
  });
});
