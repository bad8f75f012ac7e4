import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  ABSENCE_GRACE_MS,
  ANNOUNCEMENT_PRECEDENCE_MS,
  BackendDirectory,
  NO_NEARBY_COPIES,
  RESTORED_ABSENCE_GRACE_MS,
  RESTORED_LEAVING_MS,
  PEER_LEAVING_TTL_MS,
  type BackEnd,
} from '../src/index.js';

function worker(id: string, models: readonly string[] = [], draining = false): BackEnd {
  return {
    id,
    name: id,
    service: 'models',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 4,
    draining,
    models: models.map((name) => ({ name, adapters: [] })),
    nearby: NO_NEARBY_COPIES,
  };
}

/** Number of random operations in the comparison of the holder index with a scan of all back ends. */
const INDEX_STEPS = 4000;

describe('BackendDirectory', () => {
  let world: SimulatedWorld;
  let directory: BackendDirectory;
  let machine: SimulatedProcess;

  beforeEach(() => {
    world = new SimulatedWorld();
    machine = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    directory = new BackendDirectory(machine);
  });

  it('removes a back end whose record vanished after the grace period', async () => {
    directory.put(worker('one'));
    directory.recordVanished('one');
    await world.run(world.now + ABSENCE_GRACE_MS - 1);
    expect(directory.get('one')).to.exist;
    await world.run(world.now + 1);
    expect(directory.get('one')).to.equal(undefined);
  });

  describe('after the store was restored from a copy', () => {
    it('removes a back end that the copy lacks only after the longer grace period', async () => {
      directory.put(worker('one'));
      directory.restoreAll([]);
      await world.run(world.now + RESTORED_ABSENCE_GRACE_MS - 1);
      expect(directory.get('one')).to.exist;
      await world.run(world.now + 1);
      expect(directory.get('one')).to.equal(undefined);
    });

    it('does not mark a back end as draining that the copy lacks and that is recorded again after the grace', async () => {
      directory.put(worker('one'));
      directory.restoreAll([]);
      await world.run(world.now + RESTORED_ABSENCE_GRACE_MS + 100);
      directory.put(worker('one'));
      expect(directory.get('one')?.draining).to.equal(false);
    });

    it('keeps a leaving back end marked as draining when the copy shows it as ready', () => {
      directory.put(worker('one'));
      directory.put(worker('one', [], true));
      directory.restoreAll([worker('one')]);
      expect(directory.get('one')?.draining).to.equal(true);
    });

    it('marks a back end that had vanished before as draining until its listed record must be current', async () => {
      directory.put(worker('one'));
      directory.recordVanished('one');
      await world.run(world.now + ABSENCE_GRACE_MS);
      directory.restoreAll([worker('one'), worker('two')]);
      expect(directory.get('one')?.draining).to.equal(true);
      expect(directory.get('two')?.draining).to.equal(false);
      await world.run(world.now + RESTORED_LEAVING_MS + 1);
      expect(directory.get('one')?.draining).to.equal(false);
    });

    it('does not mark a back end as draining that vanished and returned without a restoration', async () => {
      directory.put(worker('one'));
      directory.recordVanished('one');
      await world.run(world.now + ABSENCE_GRACE_MS);
      directory.replaceAll([worker('one')]);
      expect(directory.get('one')?.draining).to.equal(false);
    });
  });

  it('marks a back end that announced its leaving as draining, also after its record vanished and returned', async () => {
    const seen: boolean[] = [];
    directory.put(worker('one', ['m']));
    directory.events.on('changed', ({ draining }) => void seen.push(draining));
    expect(directory.markLeaving('one', 'answer')).to.equal(true);
    expect(directory.markLeaving('one', 'answer')).to.equal(false);
    expect(directory.holdersOf('models', { model: 'm' })).to.deep.equal([]);
    expect(directory.ofService('models').map(({ draining }) => draining)).to.deep.equal([true]);
    directory.put(worker('one', ['m']));
    expect(directory.get('one')?.draining).to.equal(true);
    directory.recordVanished('one');
    await world.run(world.now + 2 * ABSENCE_GRACE_MS);
    directory.put(worker('one', ['m']));
    expect(directory.get('one')?.draining).to.equal(true);
    await world.run(world.now + 1);
    expect(seen).to.deep.equal([true, true, true]);
  });

  it('expires a leaving notice from a peer, but not one from the back end itself', async () => {
    directory.put(worker('one'));
    directory.markLeaving('one', 'peer');
    directory.put(worker('one'));
    await world.run(world.now + PEER_LEAVING_TTL_MS - 1);
    expect(directory.get('one')?.draining).to.equal(true);
    await world.run(world.now + 10);
    expect(directory.get('one')?.draining).to.equal(false);
    directory.markLeaving('one', 'peer');
    directory.markLeaving('one', 'answer');
    await world.run(world.now + 2 * PEER_LEAVING_TTL_MS);
    expect(directory.get('one')?.draining).to.equal(true);
  });

  it('keeps a back end whose record returns within the grace period, and adds it again afterwards', async () => {
    directory.put(worker('one'));
    directory.recordVanished('one');
    await world.run(world.now + ABSENCE_GRACE_MS / 2);
    directory.put(worker('one'));
    await world.run(world.now + ABSENCE_GRACE_MS * 2);
    expect(directory.get('one')).to.exist;
    directory.recordVanished('one');
    await world.run(world.now + ABSENCE_GRACE_MS * 2);
    directory.put(worker('one'));
    expect(directory.ofService('models')).to.have.length(1);
  });

  it('ignores records of an incarnation that has ended', () => {
    directory.put(worker('one'));
    directory.remove('one');
    directory.put(worker('one'));
    expect(directory.get('one')).to.equal(undefined);
  });

  it('prefers an announcement to a stale record until the announcement expires', async () => {
    directory.put(worker('one', ['m1']));
    directory.announce('one', { model: 'm2' }, true);
    directory.announce('one', { model: 'm1' }, false);
    directory.put(worker('one', ['m1']));
    expect(directory.holds('one', { model: 'm2' })).to.equal(true);
    expect(directory.holdersOf('models', { model: 'm1' })).to.have.length(0);
    await world.run(world.now + ANNOUNCEMENT_PRECEDENCE_MS + 1);
    expect(directory.holds('one', { model: 'm2' })).to.equal(false);
    expect(directory.holds('one', { model: 'm1' })).to.equal(true);
  });

  it('ignores an announcement that expired while the machine was suspended', async () => {
    directory.put(worker('one'));
    directory.announce('one', { model: 'm' }, true);
    machine.suspend(ANNOUNCEMENT_PRECEDENCE_MS + 1);
    await world.run(ANNOUNCEMENT_PRECEDENCE_MS + 1);
    expect(directory.holds('one', { model: 'm' })).to.equal(false);
  });

  it('distinguishes versions of an adapter, and accepts any version for a target without one', () => {
    const adapters = [{ name: 'a1', version: 1 }, { name: 'a2' }];
    directory.put({ ...worker('one'), models: [{ name: 'm', adapters }] });
    const holds = (adapter: string, adapterVersion?: number): boolean =>
      directory.holds('one', {
        model: 'm',
        adapter,
        ...(adapterVersion === undefined ? {} : { adapterVersion }),
      });
    expect([holds('a1'), holds('a1', 1), holds('a1', 2)]).to.deep.equal([true, true, false]);
    expect([holds('a2'), holds('a2', 1)]).to.deep.equal([true, false]);
    directory.announce('one', { model: 'm', adapter: 'a1', adapterVersion: 1 }, false);
    expect([holds('a1'), holds('a1', 1)]).to.deep.equal([false, false]);
    directory.announce('one', { model: 'm', adapter: 'a1', adapterVersion: 3 }, true);
    expect([holds('a1'), holds('a1', 1), holds('a1', 3)]).to.deep.equal([true, false, true]);
  });

  it('excludes draining back ends, and adapters whose base model is not resident', () => {
    directory.put(worker('one', ['m1'], true));
    directory.put(worker('two', []));
    directory.announce('two', { model: 'm1', adapter: 'a1' }, true);
    expect(directory.holdersOf('models', { model: 'm1' })).to.have.length(0);
    expect(directory.holds('two', { model: 'm1', adapter: 'a1' })).to.equal(false);
  });

  it('returns the same holders as a scan of all back ends, under random records, announcements and delays', async () => {
    const random = new Random(5);
    const ids = ['w1', 'w2', 'w3', 'w4'];
    const models = ['a', 'b', 'c'];
    const some = (names: readonly string[]): string[] => names.filter(() => random.next() < 0.5);
    const one = (names: readonly string[]): string => names[Math.floor(random.next() * names.length)] ?? '';
    for (let step = 0; step < INDEX_STEPS; step += 1) {
      const action = random.next();
      if (action < 0.3) directory.put(worker(one(ids), some(models), random.next() < 0.2));
      else if (action < 0.6) directory.announce(one(ids), { model: one(models) }, random.next() < 0.5);
      else if (action < 0.65) directory.recordVanished(one(ids));
      else await world.run(world.now + random.next() * ANNOUNCEMENT_PRECEDENCE_MS);
      const model = one(models);
      const found = directory
        .ofService('models')
        .filter((backEnd) => !backEnd.draining && directory.holds(backEnd.id, { model }));
      expect(directory.holdersOf('models', { model })).to.have.members(found);
    }
  });
});
