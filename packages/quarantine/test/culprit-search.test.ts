import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { CrashMarks, CulpritSearch, EVIDENCE_SETTLE_MS } from '../src/index.js';
import { NeighboursSimulation, type NeighboursResult } from './neighbours-simulation.js';

/** Maximum number of times that a culprit may be sent once its third crash is known everywhere. */
const MAX_LATE_SENDS = 3;
/** Maximum number of crashes by one culprit: those for a verdict and those of its trials. */
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

  /**
   * Ends a process under contents that started after the previous crash. In a trial, the first content
   * is the one tried.
   */
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

  it('proves a content that crashed three processes beside contents that ran on no other one', async () => {
    for (const neighbour of ['a', 'b', 'c']) await crashUnder(['culprit', neighbour]);
    expect(search.isProven('culprit')).to.equal(true);
    expect(search.isProven('a')).to.equal(false);
  });

  it('requires trials of all contents that ran together on three crashed processes, and proves none', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'neighbour']);
    for (const content of ['culprit', 'neighbour']) {
      expect(search.requiresTrial(content)).to.equal(true);
      expect(search.isProven(content)).to.equal(false);
    }
  });

  it('proves a content that crashes a process in its trial, and no longer counts its crashes against others', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'neighbour']);
    await crashUnder(['culprit', 'bystander'], true);
    expect(search.isProven('culprit')).to.equal(true);
    // It still needs a trial, because it may be a second culprit.
    expect(search.requiresTrial('neighbour')).to.equal(true);
    expect(search.mustWaitForRivals('neighbour')).to.equal(false);
    expect(search.unexplainedCrashes('neighbour')).to.have.length(0);
    expect(search.unexplainedCrashes('bystander')).to.have.length(0);
  });

  it('proves a second culprit that always ran beside the first by one more crash', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['first', 'second']);
    await crashUnder(['first'], true);
    expect(search.isProven('first')).to.equal(true);
    expect(search.requiresTrial('second')).to.equal(true);
    await crashUnder(['second', 'bystander'], true);
    expect(search.isProven('second')).to.equal(true);
  });

  it('proves the only remaining content after all others on its processes have been served', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'a', 'b']);
    marks.clear('a');
    expect(search.isProven('culprit')).to.equal(false);
    marks.clear('b');
    expect(search.isProven('culprit')).to.equal(true);
  });

  it('does not attribute the crashes of two culprits to one content that ran beside both', async () => {
    await crashUnder(['first', 'neighbour']);
    await crashUnder(['first', 'neighbour']);
    await crashUnder(['second', 'neighbour']);
    expect(search.isProven('neighbour')).to.equal(false);
    expect(search.requiresTrial('neighbour')).to.equal(true);
  });

  it('makes the content with the most crashes wait until its rivals have been served, and proves it without a trial', async () => {
    for (const neighbour of ['a', 'b']) await crashUnder(['culprit', neighbour]);
    await crashUnder(['culprit', 'a', 'b']);
    expect(search.requiresTrial('culprit')).to.equal(true);
    expect(search.mustWaitForRivals('culprit')).to.equal(true);
    marks.clear('a');
    expect(search.isProven('culprit')).to.equal(false);
    marks.clear('b');
    expect(search.isProven('culprit')).to.equal(true);
  });

  it('makes the content with the most crashes wait for at most two minutes', async () => {
    for (const other of ['a', 'b']) await crashUnder(['neighbour', other]);
    await crashUnder(['neighbour', 'a', 'b']);
    expect(search.mustWaitForRivals('neighbour')).to.equal(true);
    await world.run(world.now + 121_000);
    expect(search.mustWaitForRivals('neighbour')).to.equal(false);
    expect(search.requiresTrial('neighbour')).to.equal(true);
  });

  it('proves a content that crashed four processes, whatever ran beside it', async () => {
    for (let end = 0; end < 3; end += 1) await crashUnder(['culprit', 'neighbour', 'third']);
    expect(search.isProven('culprit')).to.equal(false);
    await crashUnder(['culprit', 'another']);
    expect(search.isProven('culprit')).to.equal(true);
    expect(search.isProven('neighbour')).to.equal(false);
  });

  it('counts a crash only once all daemons have had time to report the contents of the process', async () => {
    for (let end = 0; end < 2; end += 1) await crashUnder(['culprit']);
    const told = { c: 'neighbour', p: 'w2', b: 10, e: 5 };
    await crashUnder(['culprit']);
    expect(search.isProven('culprit')).to.equal(true);
    marks.merge([told]);
    expect(search.isProven('neighbour')).to.equal(false);
  });

  /*
   * Guards against verdicts on harmless contents whose callers retry at once and so run beside the
   * culprit again.
   */
  describe('with callers that retry at once', () => {
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
      it(`refuses the ${String(culprits)} culprits among requests on ${String(workers)} workers, and no others`, async () => {
        for (const result of await play(workers, culprits)) {
          expect(result).to.include({ innocentsRefused: 0, culpritsRefused: culprits });
          expect(result.workersEnded).to.be.at.most(MAX_CRASHES_PER_CULPRIT * culprits);
          expect(result.lateSends).to.be.at.most(MAX_LATE_SENDS);
        }
      });
    }
  });
});
