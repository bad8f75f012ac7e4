import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { WorkerPaces } from '../src/index.js';

/** Figures of a slow period relative to the worker's own, share of the time, and length of a period in milliseconds. */
const SLOW_FACTOR = 2.5;
const SLOW_SHARE = 0.15;
const PERIOD_MS = 600;

describe('WorkerPaces', () => {
  let world: SimulatedWorld;
  let daemons: WorkerPaces[];

  beforeEach(() => {
    world = new SimulatedWorld();
    const process = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    daemons = [0, 1, 2].map(() => new WorkerPaces(process));
  });

  const daemon = (index: number): WorkerPaces => daemons[index] as WorkerPaces;
  const advance = (ms: number): Promise<void> => world.run(world.now + ms);

  it('returns exactly 1 for a worker without figures', () => {
    daemon(0).record('other', 250);
    expect(daemon(0).paceOf('w')).to.equal(1);
    expect(daemon(0).weightOf('w')).to.equal(0);
  });

  it('does not take one slow moment of a worker for its pace, however many answers report it', () => {
    for (let count = 0; count < 50; count += 1) daemon(0).record('w', 250);
    expect(daemon(0).paceOf('w')).to.be.within(1.2, 1.7);
  });

  it('ranks workers by their own pace in spite of the slow periods', async () => {
    const random = new Random(5);
    const own = new Map(
      [60, 100, 160].flatMap((pace) => [1, 2, 3, 4].map((n) => [`${String(pace)}-${String(n)}`, pace])),
    );
    for (let time = 0; time < 15_000; time += PERIOD_MS) {
      for (const [id, pace] of own) {
        daemon(0).record(id, random.next() < SLOW_SHARE ? pace * SLOW_FACTOR : pace);
      }
      await advance(PERIOD_MS);
    }
    const pacesOf = (pace: number): number[] =>
      [...own].filter(([, each]) => each === pace).map(([id]) => daemon(0).paceOf(id));
    expect(Math.max(...pacesOf(60))).to.be.below(Math.min(...pacesOf(100)));
    expect(Math.max(...pacesOf(100))).to.be.below(Math.min(...pacesOf(160)));
  });

  it('returns to the usual pace as figures fade, and no longer reports them', async () => {
    for (let count = 0; count < 20; count += 1) {
      daemon(0).record('w', 160);
      await advance(PERIOD_MS);
    }
    const before = daemon(0).paceOf('w');
    await advance(60_000);
    expect(daemon(0).paceOf('w')).to.be.within(1, 1 + (before - 1) / 4);
    await advance(60_000);
    expect(daemon(0).ownReport()).to.deep.equal([]);
    expect(daemon(0).paceOf('w')).to.equal(1);
  });

  it('adds up the reports of several daemons and counts repeated reports once', () => {
    daemon(0).record('w', 100);
    daemon(1).record('w', 160);
    daemon(2).record('w', 250);
    for (let time = 0; time < 3; time += 1) daemon(0).acceptReport('1', 'attached', daemon(1).ownReport());
    daemon(0).acceptReport('2', 'relay', daemon(2).ownReport());
    expect(daemon(0).weightOf('w')).to.equal(3);
    expect(daemon(0).combinedReport(['attached', 'relay'])).to.deep.equal([
      { backEndId: 'w', pace: 1.7, weight: 3 },
    ]);
    expect(daemon(0).combinedReport(['attached', 'relay'], '2')[0]?.weight).to.equal(2);
    expect(daemon(0).combinedReport(['attached'])[0]?.weight).to.equal(2);
    expect(daemon(0).ownReport()[0]?.weight).to.equal(1);
  });

  it('uses its own figures, then the usual pace, when the reports of other daemons fail to arrive', async () => {
    const busy = ['1', '2'];
    for (let count = 0; count < 10; count += 1) {
      daemon(1).record('seen only there', 160);
      daemon(1).record('seen by both', 160);
      daemon(0).record('seen by both', 160);
      for (const source of busy) daemon(0).acceptReport(source, 'relay', daemon(1).ownReport());
      await advance(PERIOD_MS);
    }
    expect(daemon(0).paceOf('seen only there')).to.be.above(1.4);
    await advance(12_000);
    expect(daemon(0).paceOf('seen only there')).to.equal(1);
    expect(daemon(0).paceOf('seen by both')).to.be.above(1.2);
    expect(daemon(0).totals().known).to.equal(1);
  });

  it('forgets a worker that is gone, as its successor may be another machine', () => {
    daemon(1).record('w', 400);
    daemon(0).record('w', 400);
    daemon(0).acceptReport('1', 'relay', daemon(1).ownReport());
    daemon(0).forget('w');
    expect(daemon(0).paceOf('w')).to.equal(1);
  });

  it('announces a worker once, with the first figure', async () => {
    const learnt: string[] = [];
    daemon(0).onLearnt = (id, pace, percent) => learnt.push(`${id} ${pace.toFixed(2)} ${String(percent)}`);
    daemon(1).record('reported', 160);
    daemon(0).acceptReport('1', 'relay', daemon(1).ownReport());
    for (let count = 0; count < 3; count += 1) {
      daemon(0).record('w', 250);
      daemon(0).record('reported', 160);
      await advance(PERIOD_MS);
    }
    expect(learnt).to.deep.equal(['w 1.60 250']);
  });

  it('states the number of known workers and the extremes', async () => {
    expect(daemon(0).totals()).to.deep.equal({ known: 0, fastest: 1, slowest: 1 });
    for (let count = 0; count < 5; count += 1) {
      daemon(0).record('fast', 60);
      daemon(0).record('slow', 160);
      await advance(PERIOD_MS);
    }
    const { known, fastest, slowest } = daemon(0).totals();
    expect(known).to.equal(2);
    expect(fastest).to.equal(daemon(0).paceOf('fast'));
    expect(slowest).to.equal(daemon(0).paceOf('slow'));
  });
});
