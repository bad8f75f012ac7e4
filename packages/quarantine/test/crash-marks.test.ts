import { expect } from 'chai';
import fc from 'fast-check';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { CrashMarks, CulpritSearch, MARK_LIFETIME_MS, MAX_MARKS, type CrashMark } from '../src/index.js';

function mark(content: string, processId: string, endedAt: number, isCleared = false): CrashMark {
  return { content, processId, begunAt: endedAt - 50, endedAt, isCleared };
}

describe('CrashMarks', () => {
  function create(): { marks: CrashMarks; search: CulpritSearch; world: SimulatedWorld } {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    const marks = new CrashMarks(clock);
    return { marks, search: new CulpritSearch(marks, clock), world };
  }

  it('converge on all replicas, in whatever order and however often they are merged', () => {
    const anyMark = fc.record({
      content: fc.constantFrom('a', 'b', 'c'),
      processId: fc.constantFrom('w1', 'w2', 'w3', 'w4'),
      begunAt: fc.integer({ min: -2000, max: -1 }),
      endedAt: fc.integer({ min: -1500, max: 0 }),
      isCleared: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(anyMark), fc.array(anyMark), (left, right) => {
        const [first, second] = [create(), create()];
        const [one, other] = [first.marks, second.marks];
        for (const each of left) one.add(each);
        for (const each of right) other.add(each);
        one.merge(other.entries());
        other.merge(one.entries());
        one.merge(other.entries());
        expect(one.digest).to.equal(other.digest);
        for (const content of ['a', 'b', 'c']) {
          expect(one.processesOf(content)).to.have.members(other.processesOf(content));
          expect(first.search.isProven(content)).to.equal(second.search.isProven(content));
        }
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it('expire after their lifetime and no longer affect the digest', async () => {
    const { marks, world } = create();
    marks.add(mark('a', 'w1', 0));
    expect(marks.digest).to.not.equal(0);
    await world.run(MARK_LIFETIME_MS + 1);
    expect(marks.digest).to.equal(0);
    expect(marks.totals).to.deep.equal({ marks: 0, suspects: 0 });
  });

  it('drop the oldest marks beyond the maximum', () => {
    const { marks } = create();
    for (let index = 0; index < MAX_MARKS + 10; index += 1)
      marks.add(mark(`c${String(index)}`, 'w', index - 100_000));
    expect(marks.totals.marks).to.equal(MAX_MARKS);
    expect(marks.crashCountOf('c9')).to.equal(0);
    expect(marks.crashCountOf('c10')).to.equal(1);
    const told = { c: 'older', p: 'w', b: 200_050, e: 200_000 };
    expect(marks.merge([told])).to.deep.equal([]);
  });
});
