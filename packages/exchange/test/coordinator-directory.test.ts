import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { CLAIM_LIFETIME_MS, CoordinatorDirectory, FollowerWatch } from '../src/index.js';

const CLAIM = {
  zone: 'z',
  fence: 3,
  storeLoads: 0,
  loading: [],
  leaseRevision: 7,
  confirmedAgoMs: 100,
  holder: 'holder',
  address: '10.0.0.1:80',
};

describe('reports of other daemons after a suspension of this machine', () => {
  let world: SimulatedWorld;
  let machine: SimulatedProcess;

  beforeEach(() => {
    world = new SimulatedWorld();
    machine = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
  });

  async function suspend(): Promise<void> {
    machine.suspend(CLAIM_LIFETIME_MS + 1);
    await world.run(world.now + CLAIM_LIFETIME_MS + 1);
  }

  it('expire a claim of a zone', async () => {
    const directory = new CoordinatorDirectory(machine, 'd');
    directory.accept('relay', 'relay', [CLAIM]);
    expect(directory.of('z')?.memberId).to.equal('holder');
    await suspend();
    expect(directory.of('z')).to.equal(undefined);
  });

  it("do not make the holder's last confirmation appear older, so its lifetime is waited for in full", async () => {
    const directory = new CoordinatorDirectory(machine, 'd');
    directory.accept('relay', 'relay', [CLAIM]);
    const before = machine.monotonic() - (directory.lastConfirmation('z')?.at ?? 0);
    await suspend();
    expect(machine.monotonic() - (directory.lastConfirmation('z')?.at ?? 0)).to.equal(before);
  });

  it('expire the report that a relay follows the store', async () => {
    const watch = new FollowerWatch(machine);
    watch.recordReport('relay', true);
    expect(watch.isFollowing('relay')).to.equal(true);
    await suspend();
    expect(watch.isFollowing('relay')).to.equal(false);
  });
});
