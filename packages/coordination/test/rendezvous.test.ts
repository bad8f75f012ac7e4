import { expect } from 'chai';
import fc from 'fast-check';
import { ownerByRendezvous, rankByRendezvous } from '../src/index.js';

const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 2, maxLength: 12 });

describe('rendezvous hashing', () => {
  it('keeps the order of the others when a candidate is removed, for any order of the list', () => {
    fc.assert(
      fc.property(fc.string(), names, fc.nat(), (key, ids, index) => {
        const candidates = ids.map((id) => ({ id }));
        const gone = ids[index % ids.length];
        const ranked = rankByRendezvous(key, candidates);
        const without = rankByRendezvous(
          key,
          [...candidates].reverse().filter(({ id }) => id !== gone),
        );
        expect(without).to.deep.equal(ranked.filter(({ id }) => id !== gone));
        expect(ownerByRendezvous(key, candidates)).to.deep.equal(ranked[0]);
      }),
      { seed: 1 },
    );
  });

  it('distributes keys evenly', () => {
    const candidates = ['a', 'b', 'c', 'd'].map((id) => ({ id }));
    const counts = new Map<string, number>();
    for (let key = 0; key < 4000; key += 1) {
      const owner = ownerByRendezvous(String(key), candidates)?.id ?? '';
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(count).to.be.within(900, 1100);
  });
});
