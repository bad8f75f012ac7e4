import { expect } from 'chai';
import fc from 'fast-check';
import type { RecordEntry, StorePosition } from '@woodbarrow/protocol';
import { RecordSet } from '../src/index.js';

/** A record set and the records that its handlers received. */
class ObservedSet {
  readonly received = new Map<string, unknown>();
  listings = 0;
  /** Names for which a lower value was received after a higher one; values increase with revisions. */
  readonly regressions: string[] = [];
  private readonly newestReceived = new Map<string, number>();
  readonly set: RecordSet;

  constructor(versionOf: (record: RecordEntry) => number | undefined = () => undefined) {
    const handlers = {
      onList: (records: readonly RecordEntry[]) => {
        this.listings += 1;
        this.received.clear();
        for (const record of records) this.receive(record.name, record.value);
      },
      onChange: (record: RecordEntry) => {
        this.receive(record.name, record.value);
      },
      onRemoved: (name: string) => this.received.delete(name),
    };
    this.set = new RecordSet('things', handlers, { versionOf });
  }

  private receive(name: string, value: unknown): void {
    const newest = this.newestReceived.get(name) ?? 0;
    if (Number(value) < newest) this.regressions.push(name);
    this.newestReceived.set(name, Math.max(newest, Number(value)));
    this.received.set(name, value);
  }
}

interface StoreState {
  readonly revision: number;
  readonly records: ReadonlyMap<string, RecordEntry>;
  readonly changes: readonly RecordEntry[];
}

/** A store whose values are versions, and which can be restored from a copy. */
class RestorableStore {
  era = 1;
  private state: StoreState = { revision: 0, records: new Map(), changes: [] };
  private copy = this.state;
  private version = 0;
  readonly newestValues = new Map<string, number>();

  get writtenNames(): string[] {
    return [...this.newestValues.keys()];
  }

  get at(): StorePosition {
    return { era: this.era, revision: this.state.revision };
  }

  get records(): RecordEntry[] {
    return [...this.state.records.values()];
  }

  /** Returns the changes after a position; undefined if it is of another era or newer than the store. */
  changesAfter({ era, revision }: StorePosition): readonly RecordEntry[] | undefined {
    if (era !== this.era || revision > this.state.revision) return undefined;
    return this.state.changes.filter((change) => change.revision > revision);
  }

  put(name: string): void {
    this.version += 1;
    this.newestValues.set(name, this.version);
    this.putNewest(name);
  }

  /** Writes the last written value of a name again. */
  putNewest(name: string): void {
    const revision = this.state.revision + 1;
    const record = { name, revision, value: this.newestValues.get(name) };
    const records = new Map(this.state.records).set(name, record);
    this.state = { revision, records, changes: [...this.state.changes, record] };
  }

  takeCopy(): void {
    this.copy = this.state;
  }

  restore(): void {
    this.state = this.copy;
    this.era += 1;
  }
}

/** Lists and watches a store for one set. */
class Watcher {
  private from: StorePosition | undefined;

  constructor(
    private readonly followed: ObservedSet,
    private readonly store: RestorableStore,
  ) {}

  list(): void {
    this.followed.set.replaceAll(this.store.records, this.store.at);
    this.from = this.store.at;
  }

  watch(): void {
    const { set } = this.followed;
    if (this.from === undefined || set.position.era !== this.from.era) return;
    const changes = this.store.changesAfter(this.from);
    if (changes === undefined) return;
    for (const change of changes) set.put(change);
    set.markComplete(this.store.at.revision);
    this.from = this.store.at;
  }
}

/** Merges into `to` what it lacks from `from`. */
function fetchUpdate(to: ObservedSet, from: ObservedSet): void {
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

const operationsWithRestorations = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('put' as const), name: names }),
    fc.record({ kind: fc.constant('watch' as const), follower: fc.nat(1) }),
    fc.record({ kind: fc.constant('list' as const), follower: fc.nat(1) }),
    fc.record({ kind: fc.constant('fetch' as const), follower: fc.nat(2) }),
    fc.record({ kind: fc.constant('copy' as const) }),
    fc.record({ kind: fc.constant('restore' as const) }),
  ),
  { maxLength: 40 },
);

describe('RecordSet', () => {
  it('converges to the store without regressions, for any order of listing, watching and fetching', () => {
    fc.assert(
      fc.property(operations, (steps) => {
        const store = new Map<string, { name: string; revision: number; value: number }>();
        const log: { revision: number; name: string; gone: boolean; value: number }[] = [];
        let revision = 0;
        const sets = [new ObservedSet(), new ObservedSet(), new ObservedSet()] as const;
        const watchedTo = [0, 0];
        const list = (index: number): void => {
          sets[index]?.set.replaceAll([...store.values()], { era: 0, revision });
          watchedTo[index] = revision;
        };
        const watch = (index: number): void => {
          const { set } = sets[index] ?? sets[0];
          if (!set.isListed) return;
          for (const change of log.filter((each) => each.revision > (watchedTo[index] ?? 0))) {
            if (change.gone) set.remove(change.name, change.revision);
            else set.put({ name: change.name, revision: change.revision, value: change.value });
          }
          set.markComplete(revision);
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
            fetchUpdate(sets[step.follower] ?? sets[2], from);
          }
          sets.forEach(({ set }, index) => {
            expect(set.position.revision).to.be.at.least(before[index] ?? 0);
          });
          expect(sets.flatMap(({ regressions }) => regressions)).to.deep.equal([]);
        }
        list(0);
        fetchUpdate(sets[1], sets[0]);
        fetchUpdate(sets[2], sets[0]);
        const expected = [...store].map(([name, record]) => [name, record.value]).sort();
        for (const { received } of sets) expect([...received].sort()).to.deep.equal(expected);
      }),
      { seed: 11, numRuns: 2000 },
    );
  });

  it('converges over restores of the store, and never reverts to a lower version', () => {
    fc.assert(
      fc.property(operationsWithRestorations, (steps) => {
        const store = new RestorableStore();
        const sets = [0, 1, 2].map(() => new ObservedSet((record) => Number(record.value)));
        const [first, second, third] = sets as [ObservedSet, ObservedSet, ObservedSet];
        const watchers = [new Watcher(first, store), new Watcher(second, store)];
        for (const step of steps) {
          if (step.kind === 'put') store.put(step.name);
          else if (step.kind === 'list') watchers[step.follower]?.list();
          else if (step.kind === 'watch') watchers[step.follower]?.watch();
          else if (step.kind === 'fetch')
            fetchUpdate(sets[step.follower] ?? third, sets[(step.follower + 1) % 2] ?? first);
          else if (step.kind === 'copy') store.takeCopy();
          else store.restore();
          expect(sets.flatMap(({ regressions }) => regressions)).to.deep.equal([]);
        }
        // The writers of the records that the copy lacks write them again.
        for (const name of store.writtenNames) store.putNewest(name);
        for (const watcher of watchers) watcher.list();
        fetchUpdate(third, first);
        for (const { received } of sets)
          expect([...received].sort()).to.deep.equal([...store.newestValues].sort());
      }),
      { seed: 12, numRuns: 2000 },
    );
  });

  it('starts over with the listing of a restored store, even if its revisions are lower', () => {
    const [follower, other] = [new ObservedSet(), new ObservedSet()];
    follower.set.replaceAll([{ name: 'a', revision: 161, value: 'before' }], { era: 1, revision: 161 });
    fetchUpdate(other, follower);
    follower.set.replaceAll([{ name: 'b', revision: 90, value: 'copy' }], { era: 2, revision: 109 });
    follower.set.put({ name: 'c', revision: 110, value: 'after' });
    expect([...follower.received.keys()]).to.deep.equal(['b', 'c']);
    fetchUpdate(other, follower);
    expect([...other.received.keys()]).to.deep.equal(['b', 'c']);
    expect(other.set.position).to.deep.include({ era: 2, revision: 110 });
  });

  it('ignores listings and updates from before a restore', () => {
    const [follower, late] = [new ObservedSet(), new ObservedSet()];
    late.set.replaceAll([{ name: 'a', revision: 161, value: 'before' }], { era: 1, revision: 161 });
    follower.set.replaceAll([{ name: 'a', revision: 90, value: 'copy' }], { era: 2, revision: 109 });
    expect(
      follower.set.replaceAll([{ name: 'a', revision: 170, value: 'late' }], { era: 1, revision: 170 }),
    ).to.equal(false);
    expect(late.set.updateFor(follower.set.position)).to.equal(undefined);
    const update = late.set.updateFor({ source: 'things', era: 1, revision: 0, names: 0 });
    if (update !== undefined) follower.set.merge(update);
    expect([...follower.received]).to.deep.equal([['a', 'copy']]);
  });

  it('sends the newer version of a record to a daemon that read an older one from a restored copy', () => {
    const versionOf = (record: RecordEntry): number => Number(record.value);
    const [knows, late] = [new ObservedSet(versionOf), new ObservedSet(versionOf)];
    knows.set.replaceAll([{ name: 'a', revision: 161, value: 20 }], { era: 1, revision: 161 });
    const copy = [{ name: 'a', revision: 90, value: 8 }];
    knows.set.replaceAll(copy, { era: 2, revision: 109 });
    late.set.replaceAll(copy, { era: 2, revision: 115 });
    expect([...knows.received]).to.deep.equal([['a', 20]]);
    fetchUpdate(late, knows);
    expect([...late.received]).to.deep.equal([['a', 20]]);
    late.set.put({ name: 'a', revision: 116, value: 15 });
    expect([...late.received]).to.deep.equal([['a', 20]]);
  });

  it('treats a position without an era as one of the same era', () => {
    const follower = new ObservedSet();
    follower.set.replaceAll([{ name: 'a', revision: 4, value: 'here' }], { era: 3, revision: 4 });
    expect(follower.set.updateFor({ source: 'things', revision: 2, names: 0 })?.records).to.have.length(1);
    follower.set.merge({
      source: 'things',
      revision: 6,
      records: [{ name: 'b', revision: 6, value: 'told' }],
    });
    expect([...follower.received.keys()]).to.deep.equal(['a', 'b']);
  });

  it('sends nothing to a set that is up to date, and only the names after a removal', () => {
    const [from, to] = [new ObservedSet(), new ObservedSet()];
    const record = (name: string, revision: number) => ({ name, revision, value: revision });
    from.set.replaceAll([record('a', 1), record('b', 2)], { era: 0, revision: 2 });
    fetchUpdate(to, from);
    expect(from.set.updateFor(to.set.position)).to.equal(undefined);
    from.set.remove('a');
    expect(from.set.updateFor(to.set.position)).to.deep.include({ records: [], names: ['b'] });
    fetchUpdate(to, from);
    expect([...to.received.keys()]).to.deep.equal(['b']);
    expect(to.listings).to.equal(1);
  });

  it('has no update for a set that is newer', () => {
    const [stale, newer] = [new ObservedSet(), new ObservedSet()];
    stale.set.replaceAll([], { era: 0, revision: 5 });
    newer.set.replaceAll([{ name: 'a', revision: 7, value: 1 }], { era: 0, revision: 7 });
    expect(stale.set.updateFor(newer.set.position)).to.equal(undefined);
  });

  it('does not restore a record that has been removed', () => {
    const [stale, newer] = [new ObservedSet(), new ObservedSet()];
    const record = (name: string, revision: number) => ({ name, revision, value: revision });
    stale.set.replaceAll([record('a', 1), record('b', 2)], { era: 0, revision: 2 });
    // Meanwhile b was removed at revision 3.
    newer.set.replaceAll([record('a', 1)], { era: 0, revision: 3 });
    fetchUpdate(newer, stale);
    expect([...newer.received.keys()]).to.deep.equal(['a']);
  });

  it('does not remove a record for an older removal of its name', () => {
    const follower = new ObservedSet();
    follower.set.replaceAll([{ name: 'a', revision: 4, value: 'new' }], { era: 0, revision: 4 });
    follower.set.remove('a', 3);
    expect([...follower.received.keys()]).to.deep.equal(['a']);
    follower.set.remove('a', 5);
    expect([...follower.received.keys()]).to.deep.equal([]);
  });

  it('is complete only up to the revision of its listing, whose later pages may be newer', () => {
    const [listing, follower] = [new ObservedSet(), new ObservedSet()];
    // Between two pages of the listing, b was created at revision 8 and c at revision 9.
    const created = { name: 'b', revision: 8, value: 8 };
    listing.set.replaceAll([{ name: 'c', revision: 9, value: 9 }], { era: 0, revision: 7 });
    follower.set.replaceAll([created], { era: 0, revision: 8 });
    fetchUpdate(follower, listing);
    expect([...follower.received.keys()]).to.deep.equal(['b']);
    listing.set.put(created);
    listing.set.put({ name: 'c', revision: 9, value: 9 });
    listing.set.markComplete(9);
    expect(listing.set.position.revision).to.equal(9);
    fetchUpdate(follower, listing);
    expect([...follower.received.keys()].sort()).to.deep.equal(['b', 'c']);
  });
});
