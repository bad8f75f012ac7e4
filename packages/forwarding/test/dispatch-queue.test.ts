import { expect } from 'chai';
import { FleetOfDaemons, type KindResult, type RequestKind } from './full-workers.js';

const STREAM = { runMs: 1500, tokens: 1000 };
/** Requests for the busiest model of the drafting service (docs/HARD-LOAD.md). */
const KINDS: readonly RequestKind[] = [
  {
    name: 'check',
    share: 0.5,
    priority: 0,
    runMs: 250,
    targetMs: 302,
    tokens: 430,
    value: 1.3,
    lateValue: 0.4,
  },
  { name: 'batch', share: 0.1, priority: 1, targetMs: 2502, value: 20.2, lateValue: 3, ...STREAM },
  { name: 'interactive', share: 0.4, priority: 2, targetMs: 402, value: 1.6, lateValue: 0.48, ...STREAM },
];
const PER_SECOND = 42;
const BURST_FACTOR = 3;
const SEEDS = [1, 2, 3, 4, 5];

interface LoadResult {
  readonly steady: ReadonlyMap<string, KindResult>;
  readonly burst: ReadonlyMap<string, KindResult>;
}

/** Plays the steady load and then the burst on three holders of the model, with several seeds. */
async function playLoad(daemons: number, hasQueue: boolean): Promise<LoadResult> {
  const sums = { steady: new Map<string, KindResult>(), burst: new Map<string, KindResult>() };
  for (const seed of SEEDS) {
    const fleet = new FleetOfDaemons(daemons, 3, hasQueue, seed);
    await fleet.play(PER_SECOND, 10, KINDS);
    const steady = fleet.takeResults();
    await fleet.play(BURST_FACTOR * PER_SECOND, 3, KINDS);
    const burst = fleet.takeResults();
    await fleet.play(PER_SECOND, 5, KINDS);
    await fleet.world.run(fleet.world.now + 15_000);
    addResults(sums.steady, steady);
    addResults(sums.burst, burst);
  }
  return sums;
}

function addResults(sums: Map<string, KindResult>, results: ReadonlyMap<string, KindResult>): void {
  for (const [kind, result] of results) {
    const sum = sums.get(kind) ?? { total: 0, inTime: 0, value: 0, refused: 0, abandoned: 0 };
    for (const key of Object.keys(sum) as (keyof KindResult)[]) sum[key] += result[key];
    sums.set(kind, sum);
  }
}

/** Share of the requests of one kind. */
function share(results: ReadonlyMap<string, KindResult>, kind: string, ...of: (keyof KindResult)[]): number {
  const result = results.get(kind);
  if (result === undefined) return 0;
  return of.reduce((sum, key) => sum + result[key], 0) / result.total;
}

function valueOf(results: ReadonlyMap<string, KindResult>): number {
  return [...results.values()].reduce((sum, { value }) => sum + value, 0);
}

/** Prints what callers got, since the figures of the design note come from here. */
function print(title: string, results: ReadonlyMap<string, KindResult>): void {
  const kinds = KINDS.map(({ name }) => {
    const shares = (['inTime', 'refused', 'abandoned'] as const).map(
      (of) => `${of} ${(100 * share(results, name, of)).toFixed(1)} %`,
    );
    return `${name}: ${shares.join(', ')}`;
  });
  console.log(`      ${title}: ${kinds.join('; ')}; value ${valueOf(results).toFixed(0)}`);
}

describe('DispatchQueue under the load of the drafting service', () => {
  for (const daemons of [1, 12, 74]) {
    it(`serves callers better than sending to full workers, with ${String(daemons)} daemons`, async () => {
      const without = await playLoad(daemons, false);
      const queued = await playLoad(daemons, true);
      print('steady, without the queue', without.steady);
      print('steady, with the queue', queued.steady);
      print('burst, without the queue', without.burst);
      print('burst, with the queue', queued.burst);
      expect(valueOf(queued.steady)).to.be.greaterThan(valueOf(without.steady));
      expect(valueOf(queued.burst)).to.be.greaterThan(valueOf(without.burst));
      expect(share(queued.steady, 'interactive', 'inTime')).to.be.greaterThan(
        share(without.steady, 'interactive', 'inTime'),
      );
      // Urgent requests must not wait behind streams that a worker would preempt for them.
      expect(share(queued.steady, 'check', 'inTime')).to.be.greaterThan(0.99);
      expect(share(queued.burst, 'check', 'inTime')).to.be.greaterThan(0.95);
      expect(share(queued.burst, 'batch', 'inTime')).to.be.at.least(share(without.burst, 'batch', 'inTime'));
      // What cannot be served is refused, instead of left on a full worker until the client gives up.
      expect(share(without.burst, 'interactive', 'abandoned')).to.be.greaterThan(0.45);
      expect(share(queued.burst, 'interactive', 'abandoned')).to.be.lessThan(0.05);
      // The least urgent kind is still served.
      expect(share(queued.burst, 'interactive', 'refused', 'abandoned')).to.be.lessThan(0.7);
    });
  }
});

describe('DispatchQueue without reports of other daemons', () => {
  it('sends by its own counts, so that no request waits for slots that are free', async () => {
    const fleet = new FleetOfDaemons(12, 3, true);
    await fleet.play(PER_SECOND, 5, KINDS);
    fleet.takeResults();
    fleet.areReportsLost = true;
    await fleet.play(PER_SECOND, 10, KINDS);
    const results = fleet.takeResults();
    await fleet.world.run(fleet.world.now + 15_000);
    print('reports lost', results);
    expect(share(results, 'check', 'inTime')).to.be.greaterThan(0.95);
    expect(share(results, 'batch', 'refused', 'abandoned')).to.equal(0);
    expect(fleet.daemons.every(({ queue }) => queue.totals.waiting === 0)).to.equal(true);
  });
});
