import { expect } from 'chai';
import fc from 'fast-check';
import {
  Catalog,
  ConfigurationStore,
  modelSchema,
  splitOverZones,
  templateParametersSchema,
  type ModelParameters,
} from '../src/index.js';

function modelWith(maximum: number, maximumPerZone: number): ModelParameters {
  return modelSchema.parse({ name: 'm', memoryGib: 1, replicas: { maximum, maximumPerZone } });
}

const ZONES = ['a', 'b', 'c', 'd', 'e'];

describe('configuration store', () => {
  it('never decreases its revision for any sequence of updates', () => {
    const update = fc.record({
      baseRevision: fc.nat(20),
      revision: fc.integer({ min: 1, max: 25 }),
      entries: fc.array(
        fc.record({
          key: fc.constantFrom('a', 'b'),
          revision: fc.integer({ min: 1, max: 25 }),
          value: fc.constant({}),
        }),
      ),
    });
    fc.assert(
      fc.property(fc.array(update), (updates) => {
        const store = new ConfigurationStore();
        let highest = 0;
        for (const candidate of updates) {
          const applied = store.apply(candidate);
          expect(store.revision).to.be.at.least(highest);
          expect(applied).to.equal(store.revision > highest);
          highest = store.revision;
        }
      }),
      { seed: 1 },
    );
  });

  it('updates a lagging store by incremental changes and an empty store by a snapshot', () => {
    const source = new ConfigurationStore();
    source.apply({ baseRevision: 0, revision: 5, entries: [{ key: 'a', revision: 3, value: { n: 1 } }] });
    const follower = new ConfigurationStore();
    const whole = source.updateSince(0);
    expect(whole?.baseRevision).to.equal(0);
    if (whole !== undefined) follower.apply(whole);
    source.apply({ baseRevision: 5, revision: 6, entries: [{ key: 'b', revision: 6, value: { n: 2 } }] });
    source.apply({ baseRevision: 6, revision: 7, entries: [{ key: 'a', revision: 7, value: null }] });
    const changes = source.updateSince(5);
    expect(changes?.entries.map((entry) => entry.key)).to.deep.equal(['b', 'a']);
    if (changes !== undefined) follower.apply(changes);
    expect(follower.revision).to.equal(7);
    expect(follower.get('a')).to.equal(undefined);
    expect(follower.get('b')).to.deep.equal({ n: 2 });
    expect(follower.updateSince(7)).to.equal(undefined);
  });
});

describe('replica allotments', () => {
  it('sum to the replica maximum within the limit per zone', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 8 }), (maximum, perZone) => {
        const allotments = splitOverZones('t/m', modelWith(maximum, perZone), ZONES);
        const total = allotments.reduce((sum, allotment) => sum + allotment.replicas, 0);
        expect(total).to.equal(Math.min(maximum, perZone * ZONES.length));
        for (const allotment of allotments) expect(allotment.replicas).to.be.within(1, perZone);
      }),
      { seed: 1 },
    );
  });

  it('do not shrink in any zone when the maximum grows, so that no replica moves between zones', () => {
    for (let maximum = 1; maximum < 15; maximum += 1) {
      const before = new Map(
        splitOverZones('t/m', modelWith(maximum, 3), ZONES).map((entry) => [entry.zone, entry.replicas]),
      );
      for (const { zone, replicas } of splitOverZones('t/m', modelWith(maximum + 1, 3), ZONES)) {
        expect(replicas).to.be.at.least(before.get(zone) ?? 0);
      }
    }
  });
});

describe('templates', () => {
  it('report several invalid fields in one result', () => {
    const parsed = templateParametersSchema.safeParse({
      models: [
        { name: 'one', memoryGib: 10, replicas: { minimum: 3, maximum: 1 } },
        { name: 'one', memoryGib: -1, surplus: true },
      ],
      defaultClass: 'missing',
    });
    const text = JSON.stringify(parsed.error?.issues);
    expect(parsed.success).to.equal(false);
    expect(text).to.contain('memoryGib').and.to.contain('surplus');
  });

  it('apply to tenants of the same partner and not to tenants of another partner', () => {
    const store = new ConfigurationStore();
    const parameters = { models: [{ name: 'one', memoryGib: 10, adapters: [{ name: 'tuned' }] }] };
    const entries = [
      { key: 'deployment/deployment', revision: 1, value: { zones: [{ name: 'a', region: 'r' }] } },
      { key: 'templates/t', revision: 2, value: { partner: 'first', parameters } },
      { key: 'tenants/own', revision: 3, value: { partner: 'first', template: 't', tokens: [] } },
      { key: 'tenants/other', revision: 4, value: { partner: 'second', template: 't', tokens: [] } },
    ];
    store.apply({ baseRevision: 0, revision: 4, entries });
    const catalog = new Catalog(store);
    expect([...(catalog.tenant('own')?.targets.keys() ?? [])]).to.deep.equal(['one', 'tuned']);
    expect(catalog.model('own/one')?.allotments).to.deep.equal([{ zone: 'a', replicas: 1 }]);
    expect(catalog.tenant('other')).to.equal(undefined);
  });
});
