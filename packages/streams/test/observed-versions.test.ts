// Guards against a daemon that takes the version it knows for the only one that a stream can have begun at.
import { BackendDirectory, NO_NEARBY_COPIES, type BackEnd } from '@woodbarrow/backends';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { ObservedVersions } from '../src/index.js';

function backEnd(id: string, softwareVersion: string): BackEnd {
  return {
    id,
    name: id,
    service: 'models',
    softwareVersion,
    address: `${id}:80`,
    zone: 'zone-a',
    slots: 8,
    draining: false,
    models: [],
    nearby: NO_NEARBY_COPIES,
  };
}

describe('versions of a service that a daemon has observed', () => {
  let world: SimulatedWorld;
  let clock: SimulatedProcess;
  let directory: BackendDirectory;

  beforeEach(() => {
    world = new SimulatedWorld();
    clock = new SimulatedProcess(world, { name: 'd1', zone: 'z', region: 'r' });
    directory = new BackendDirectory(clock);
  });

  it('are one only after it was observed for the whole period', async () => {
    const versions = new ObservedVersions(directory, clock, () => false);
    directory.put(backEnd('a1', 'v1'));
    await world.run(9000);
    expect(versions.onlyWithin('models', 10_000)).to.equal(undefined);
    await world.run(10_001);
    expect(versions.onlyWithin('models', 10_000)).to.equal('v1');
  });

  it('are known from the start where nothing served before', async () => {
    const versions = new ObservedVersions(directory, clock, () => true);
    directory.put(backEnd('a1', 'v1'));
    await world.run(10);
    expect(versions.onlyWithin('models', 10_000)).to.equal('v1');
  });

  it('include one whose last back end left within the period', async () => {
    const versions = new ObservedVersions(directory, clock, () => true);
    directory.put(backEnd('a1', 'v1'));
    directory.put(backEnd('b1', 'v2'));
    await world.run(1000);
    directory.remove('a1');
    await world.run(10_000);
    expect(versions.onlyWithin('models', 10_000)).to.equal(undefined);
    expect(versions.onlyWith('models', [])).to.equal(undefined);
    await world.run(11_100);
    expect(versions.onlyWithin('models', 10_000)).to.equal('v2');
    expect(versions.onlyWith('models', [])).to.equal(undefined);
  });

  it('keep a version while another of its back ends is present', async () => {
    const versions = new ObservedVersions(directory, clock, () => true);
    for (const id of ['a1', 'a2']) directory.put(backEnd(id, 'v1'));
    directory.put(backEnd('b1', 'v2'));
    await world.run(10);
    directory.remove('a1');
    await world.run(60_000);
    expect(versions.onlyWithin('models', 10_000)).to.equal(undefined);
  });

  it('are not known to be none before a back end has been seen', () => {
    const versions = new ObservedVersions(directory, clock, () => false);
    expect(versions.hasNone('models')).to.equal(false);
  });

  it('are none for a service whose back ends name none', async () => {
    const versions = new ObservedVersions(directory, clock, () => true);
    const { softwareVersion, ...unnamed } = backEnd('a1', 'v1');
    expect(softwareVersion).to.equal('v1');
    directory.put(unnamed);
    await world.run(10);
    expect(versions.hasNone('models')).to.equal(true);
  });
});
