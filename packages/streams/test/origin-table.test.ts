// Guards against a flood of streams that evicts the origins of streams that may still be taken up.
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { OriginTable } from '../src/index.js';

const V1 = { service: 'models', softwareVersion: 'v1' };
const V2 = { service: 'models', softwareVersion: 'v2' };

describe('table of stream origins', () => {
  let world: SimulatedWorld;
  let table: OriginTable;

  beforeEach(() => {
    world = new SimulatedWorld();
    table = new OriginTable(new SimulatedProcess(world, { name: 'd1', zone: 'z', region: 'r' }), 10);
  });

  it('keeps a stream for its period, and at its first version', async () => {
    table.put('s1', V1, 1000);
    table.put('s1', V2, 5000);
    await world.run(4000);
    expect(table.get('s1')?.origin).to.deep.equal(V1);
    await world.run(5000);
    expect(table.get('s1')).to.equal(undefined);
  });

  it('stores no new stream once it is full, and evicts none', () => {
    const random = new Random(3);
    for (let index = 0; index < 10; index += 1)
      table.put(`s${String(index)}`, V1, random.between(1000, 9000));
    for (let index = 0; index < 1000; index += 1) table.put(`flood${String(index)}`, V2, 60_000);
    for (let index = 0; index < 10; index += 1)
      expect(table.get(`s${String(index)}`)?.origin).to.deep.equal(V1);
    expect(table.size).to.equal(10);
    expect(table.dropped).to.equal(1000);
  });

  it('has room again once streams have expired', async () => {
    for (let index = 0; index < 10; index += 1) table.put(`s${String(index)}`, V1, 1000);
    await world.run(6000);
    table.put('later', V2, 1000);
    expect(table.get('later')?.origin).to.deep.equal(V2);
    expect(table.size).to.equal(1);
  });
});
