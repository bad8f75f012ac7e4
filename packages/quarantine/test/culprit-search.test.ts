import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { CrashMarks, CulpritSearch, EVIDENCE_SETTLE_MS } from '../src/index.js';
import { NeighboursSimulation, type NeighboursResult } from './neighbours-simulation.js';

/** Sends of a culprit that the users allow later than 3 s after its third end. */
const MAX_LATE_SENDS = 3;
/** Ends of one culprit at most: as many as a verdict needs, and those of its trials. */
const MAX_CRASHES_PER_CULPRIT = 6;

describe('CulpritSearch', () => {
  let world: SimulatedWorld;
  let marks: CrashMarks;
  let search: CulpritSearch;
  let crashes = 0;

  beforeEach(() => {
    world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    marks = new CrashMarks(clock);
    search = new CulpritSearch(marks, clock);
    crashes = 0;
  });

  /** A process ends under contents that began after the one before had ended; of a trial, the first of them was tried. */
  async function crashUnder(contents: readonly string[], isTrial = false): Promise<void> {
    crashes += 1;
    const endedAt = world.now;
    contents.forEach((content, index) => {
      const processId = `w${String(crashes)}`;
      marks.add({
        content,
        processId,
        begunAt: endedAt - 1,
        endedAt,
        isCleared: false,
        isTrial: isTrial && index === 0,
      });
    });
    await world.run(world.now + EVIDENCE_SETTLE_MS);
  }

  it('proves what ended three processes beside requests that had not run on another', async () => {
    for (const neighbour of ['a', 'b', 'c']) await crashUnder(['culprit', neighbour]);
    expect(search.isProven('culprit')).to.equal(true);
    expect(search.isProven('a')).to.equal(false);
  });

  it('accuses all that ran beside each other three times, and proves none of them', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'neighbour']);
    for (const content of ['culprit', 'neighbour']) {
      expect(search.requiresTrial(content)).to.equal(true);
      expect(search.isProven(content)).to.equal(false);
    }
  });

  it('proves the one whose trial ends a process, and holds nothing against the others from then on', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'neighbour']);
    await crashUnder(['culprit', 'bystander'], true);
    expect(search.isProven('culprit')).to.equal(true);
    // It runs once by itself before its callers are let in together: it may be a second culprit.
    expect(search.requiresTrial('neighbour')).to.equal(true);
    expect(search.mustWaitForRivals('neighbour')).to.equal(false);
    expect(search.unexplainedCrashes('neighbour')).to.have.length(0);
    expect(search.unexplainedCrashes('bystander')).to.have.length(0);
  });

  it('finds out a second culprit that ran beside the first each time by one more end', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['first', 'second']);
    await crashUnder(['first'], true);
    expect(search.isProven('first')).to.equal(true);
    expect(search.requiresTrial('second')).to.equal(true);
    await crashUnder(['second', 'bystander'], true);
    expect(search.isProven('second')).to.equal(true);
  });

  it('proves the one that is left when all its neighbours have run well', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'a', 'b']);
    marks.clear('a');
    expect(search.isProven('culprit')).to.equal(false);
    marks.clear('b');
    expect(search.isProven('culprit')).to.equal(true);
  });

  it('does not put two culprits down to one request that ran beside both', async () => {
    await crashUnder(['first', 'neighbour']);
    await crashUnder(['first', 'neighbour']);
    await crashUnder(['second', 'neighbour']);
    expect(search.isProven('neighbour')).to.equal(false);
    expect(search.requiresTrial('neighbour')).to.equal(true);
  });

  it('lets the one with the most ends wait until the others have run well, and proves it without a trial', async () => {
    for (const neighbour of ['a', 'b']) await crashUnder(['culprit', neighbour]);
    await crashUnder(['culprit', 'a', 'b']);
    expect(search.requiresTrial('culprit')).to.equal(true);
    expect(search.mustWaitForRivals('culprit')).to.equal(true);
    marks.clear('a');
    expect(search.isProven('culprit')).to.equal(false);
    marks.clear('b');
    expect(search.isProven('culprit')).to.equal(true);
  });

  it('lets the one with the most ends wait for two minutes at most', async () => {
    for (const other of ['a', 'b']) await crashUnder(['neighbour', other]);
    await crashUnder(['neighbour', 'a', 'b']);
    expect(search.mustWaitForRivals('neighbour')).to.equal(true);
    await world.run(world.now + 121_000);
    expect(search.mustWaitForRivals('neighbour')).to.equal(false);
    expect(search.requiresTrial('neighbour')).to.equal(true);
  });

  it('proves what ended four processes, whatever ran beside it each time', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'neighbour', 'third']);
    expect(search.isProven('culprit')).to.equal(false);
    await crashUnder(['culprit', 'another']);
    expect(search.isProven('culprit')).to.equal(true);
    expect(search.isProven('neighbour')).to.equal(false);
  });

  it('counts an end only when all have had time to tell what ran there', async () => {
    for (let end = 0; end < 2; end += 1) await crashUnder(['culprit']);
    const told = { c: 'neighbour', p: 'w2', b: 10, e: 5 };
    await crashUnder(['culprit']);
    expect(search.isProven('culprit')).to.equal(true);
    marks.merge([told]);
    expect(search.isProven('neighbour')).to.equal(false);
  });

  /*
   * Callers that come back at once meet the culprit again where few workers hold a model. Three ends as the only proof refused 0.3 harmless contents
   * for an hour with three workers and one culprit, 3.1 with four and two, 0.3 with nine and two (means of 40 seeds); 9 at most.
   */
  describe('among callers that come back at once', () => {
    async function play(workers: number, culprits: number): Promise<NeighboursResult[]> {
      const results: NeighboursResult[] = [];
      for (let seed = 1; seed <= 6; seed += 1)
        results.push(await new NeighboursSimulation({ seed, workers, culprits, innocents: 300 }).simulate());
      return results;
    }

    for (const [workers, culprits] of [
      [3, 1],
      [4, 2],
      [9, 2],
    ] as const) {
      it(`refuses ${String(culprits)} of ${String(workers)} workers' requests for an hour, and the others not`, async () => {
        for (const result of await play(workers, culprits)) {
          expect(result).to.include({ innocentsRefused: 0, culpritsRefused: culprits });
          expect(result.workersEnded).to.be.at.most(MAX_CRASHES_PER_CULPRIT * culprits);
          expect(result.lateSends).to.be.at.most(MAX_LATE_SENDS);
        }
      });
    }
  });
});
