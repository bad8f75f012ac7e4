import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { RecordPacker, SentUpdates, unpack } from '../src/index.js';

const LARGE = {
  name: 'main',
  revision: 7,
  value: {
    routes: Array.from({ length: 400 }, (_, index) => ({ name: `route-${String(index)}`, priority: 1 })),
  },
};
const SMALL = { name: 'worker', revision: 8, value: { state: 'ready' } };
const UPDATE = { source: 'settings', revision: 8, records: [LARGE, SMALL], names: ['main', 'worker'] };

describe('packed records', () => {
  it('are unpacked to the original records', () => {
    expect(unpack(new RecordPacker().pack(UPDATE))).to.deep.equal(UPDATE);
  });

  it('are a fraction of the size of large records, and are packed only once for all receivers', () => {
    const packer = new RecordPacker();
    const [first, small] = packer.pack(UPDATE).records;
    expect(first?.packed?.byteLength).to.be.below(JSON.stringify(LARGE.value).length / 5);
    expect(small).to.equal(SMALL);
    expect(packer.pack(UPDATE).records[0]).to.equal(first);
  });

  it('are refused when malformed', () => {
    const records = [{ name: 'main', revision: 1, packed: Buffer.from('no deflated text') }];
    expect(() => unpack({ source: 'settings', revision: 1, records })).to.throw();
  });
});

describe('SentUpdates', () => {
  it('repeats the same update to a daemon only after the resend interval, and sends a newer one at once', async () => {
    const world = new SimulatedWorld();
    const sent = new SentUpdates(new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' }));
    const position = { source: 'settings', revision: 3, names: 1 };
    expect(sent.maySend('a', position)).to.equal(true);
    expect(sent.maySend('a', position)).to.equal(false);
    expect(sent.maySend('b', position)).to.equal(true);
    expect(sent.maySend('a', { ...position, source: 'workers' })).to.equal(true);
    expect(sent.maySend('a', { ...position, revision: 4 })).to.equal(true);
    await world.run(2000);
    expect(sent.maySend('a', { ...position, revision: 4 })).to.equal(true);
  });
});
