import { expect } from 'chai';
import fc from 'fast-check';
import { RecordSet } from '../src/index.js';

/** A set and what its receiver was told. */
class FollowedSet {
  readonly told = new Map<string, unknown>();
  listings = 0;
  /** Names of which it was told an older value after a newer one; values rise with revisions. */
  readonly wentBack: string[] = [];
  private readonly newestTold = new Map<string, number>();
  readonly set = new RecordSet('things', {
    onList: (records) => {
      this.listings += 1;
      this.told.clear();
      for (const record of records) this.tell(record.name, record.value);
    },
    onChange: (record) => {
      this.tell(record.name, record.value);
    },
    onGone: (name) => this.told.delete(name),
  });

  private tell(name: string, value: unknown): void {
    const newest = this.newestTold.get(name) ?? 0;
    if (Number(value) < newest) this.wentBack.push(name);
    this.newestTold.set(name, Math.max(newest, Number(value)));
    this.told.set(name, value);
  }
}

/** Takes what `to` lacks from `from`. */
function fetch(to: FollowedSet, from: FollowedSet): void {
  const update = from.set.updateFor(to.set.position);
  if (update !== undefined) to.set.merge(update);
}

const names = fc.constantFrom('a', 'b', 'c', 'd');
const operations = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('put' as const), name: names }),
    fc.record({ kind: fc.constant('remove' as const), name: names }),
    fc.record({ kind: fc.constant('watch' as const), follower: fc.nat(1) }),
    fc.record({ kind: fc.constant('list' as const), follower: fc.nat(1) }),
    fc.record({ kind: fc.constant('fetch' as const), follower: fc.nat(2) }),
  ),
  { maxLength: 40 },
);

describe('RecordSet', () => {
  it('ends like the store for all, whoever listed, watched or fetched from whom, and never goes back', () => {
    fc.assert(
      fc.property(operations, (steps) => {
        const store = new Map<string, { name: string; revision: number; value: number }>();
        const log: { revision: number; name: string; gone: boolean; value: number }[] = [];
        let revision = 0;
        const sets = [new FollowedSet(), new FollowedSet(), new FollowedSet()] as const;
        const watchedTo = [0, 0];
        const list = (index: number): void => {
          sets[index]?.set.replaceAll([...store.values()], revision);
          watchedTo[index] = revision;
        };
        const watch = (index: number): void => {
          const { set } = sets[index] ?? sets[0];
          if (!set.isListed) return;
          for (const change of log.filter((each) => each.revision > (watchedTo[index] ?? 0))) {
            if (change.gone) set.remove(change.name, change.revision);
            else set.put({ name: change.name, revision: change.revision, value: change.value });
          }
          set.noteComplete(revision);
          watchedTo[index] = revision;
        };
        for (const step of steps) {
          const before = sets.map(({ set }) => set.position.revision);
          if (step.kind === 'put') {
            revision += 1;
            store.set(step.name, { name: step.name, revision, value: revision });
            log.push({ revision, name: step.name, gone: false, value: revision });
          } else if (step.kind === 'remove' && store.delete(step.name)) {
            revision += 1;
            log.push({ revision, name: step.name, gone: true, value: 0 });
          } else if (step.kind === 'list') list(step.follower);
          else if (step.kind === 'watch') watch(step.follower);
          else if (step.kind === 'fetch') {
            const from = sets[(step.follower + 1) % 2] ?? sets[0];
            fetch(sets[step.follower] ?? sets[2], from);
          }
          sets.forEach(({ set }, index) => {
            expect(set.position.revision).to.be.at.least(before[index] ?? 0);
          });
          expect(sets.flatMap(({ wentBack }) => wentBack)).to.deep.equal([]);
        }
        list(0);
        fetch(sets[1], sets[0]);
        fetch(sets[2], sets[0]);
        const expected = [...store].map(([name, record]) => [name, record.value]).sort();
        for (const { told } of sets) expect([...told].sort()).to.deep.equal(expected);
      }),
      { seed: 11, numRuns: 2000 },
    );
  });

  it('sends nothing to a set that has it all, and only the names when one is gone', () => {
    const [from, to] = [new FollowedSet(), new FollowedSet()];
    const record = (name: string, revision: number) => ({ name, revision, value: revision });
    from.set.replaceAll([record('a', 1), record('b', 2)], 2);
    fetch(to, from);
    expect(from.set.updateFor(to.set.position)).to.equal(undefined);
    from.set.remove('a');
    expect(from.set.updateFor(to.set.position)).to.deep.include({ records: [], names: ['b'] });
    fetch(to, from);
    expect([...to.told.keys()]).to.deep.equal(['b']);
    expect(to.listings).to.equal(1);
  });

  it('does not take the word of a set that is behind', () => {
    const [behind, ahead] = [new FollowedSet(), new FollowedSet()];
    behind.set.replaceAll([], 5);
    ahead.set.replaceAll([{ name: 'a', revision: 7, value: 1 }], 7);
    expect(behind.set.updateFor(ahead.set.position)).to.equal(undefined);
  });

  it('does not take a record up again that it knows to be gone', () => {
    const [behind, ahead] = [new FollowedSet(), new FollowedSet()];
    const record = (name: string, revision: number) => ({ name, revision, value: revision });
    behind.set.replaceAll([record('a', 1), record('b', 2)], 2);
    // In the meantime b was removed, at revision 3.
    ahead.set.replaceAll([record('a', 1)], 3);
    fetch(ahead, behind);
    expect([...ahead.told.keys()]).to.deep.equal(['a']);
  });

  it('does not remove a record for an older removal of its name', () => {
    const follower = new FollowedSet();
    follower.set.replaceAll([{ name: 'a', revision: 4, value: 'new' }], 4);
    follower.set.remove('a', 3);
    expect([...follower.told.keys()]).to.deep.equal(['a']);
    follower.set.remove('a', 5);
    expect([...follower.told.keys()]).to.deep.equal([]);
  });

  it('knows no more than its listing says, whose later pages may be newer', () => {
    const [listing, follower] = [new FollowedSet(), new FollowedSet()];
    // Between two pages of the listing, b was created at revision 8 and c at revision 9.
    const created = { name: 'b', revision: 8, value: 8 };
    listing.set.replaceAll([{ name: 'c', revision: 9, value: 9 }], 7);
    follower.set.replaceAll([created], 8);
    fetch(follower, listing);
    expect([...follower.told.keys()]).to.deep.equal(['b']);
    listing.set.put(created);
    listing.set.put({ name: 'c', revision: 9, value: 9 });
    listing.set.noteComplete(9);
    expect(listing.set.position.revision).to.equal(9);
    fetch(follower, listing);
    expect([...follower.told.keys()].sort()).to.deep.equal(['b', 'c']);
  });
});
