// Guards against streams that go on at a version that they did not begin at, or are refused for nothing, after all daemons were killed.
import { BackendDirectory, NO_NEARBY_COPIES } from '@woodbarrow/backends';
import { silentLog } from '@woodbarrow/observability';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { ObservedVersions, OriginRecorder, RecordedStreams, VersionRecorder } from '../src/index.js';
import { InMemoryStreamRecords } from './in-memory-stream-records.js';

const PERIOD_MS = 30_000;
const SERVICE = 'models';
const MEMBERS = ['d1', 'd2', 'd3', 'd4'].map((id) => ({ id, address: `${id}:1` }));

interface Daemon {
  readonly directory: BackendDirectory;
  readonly recorded: RecordedStreams;
  readonly origins: OriginRecorder;
  readonly stop: () => void;
  isViewCurrent: boolean;
}

class RecordingWorld {
  readonly world = new SimulatedWorld();
  readonly records = new InMemoryStreamRecords();
  readonly daemons = new Map<string, Daemon>();

  /** Starts a daemon. @param records Store that it reaches. */
  add(name: string, isFirstStart = false, records = this.records): Daemon {
    const clock = new SimulatedProcess(this.world, { name, zone: 'z', region: 'r' });
    const directory = new BackendDirectory(clock);
    const versions = new ObservedVersions(directory, clock, () => isFirstStart);
    const shared = { self: name, versions, records, clock, log: silentLog, takeUpPeriodMs: () => PERIOD_MS };
    const recorder = new VersionRecorder({
      ...shared,
      members: () => MEMBERS.filter(({ id }) => this.daemons.has(id)),
      isViewCurrent: () => daemon.isViewCurrent,
    });
    const origins = new OriginRecorder({ ...shared, memberCount: () => this.daemons.size });
    const end = new AbortController();
    const daemon: Daemon = {
      directory,
      recorded: new RecordedStreams(shared),
      origins,
      stop: () => {
        end.abort();
        this.daemons.delete(name);
      },
      isViewCurrent: true,
    };
    this.daemons.set(name, daemon);
    void recorder.run(end.signal);
    void origins.run(end.signal);
    return daemon;
  }

  /** Starts all daemons. */
  start(isFirstStart = false): void {
    for (const { id } of MEMBERS) this.add(id, isFirstStart);
  }

  killAll(): void {
    for (const { stop } of [...this.daemons.values()]) stop();
  }

  addWorker(id: string, softwareVersion: string): void {
    for (const { directory } of this.daemons.values()) {
      directory.put({
        id,
        name: id,
        service: SERVICE,
        softwareVersion,
        address: `${id}:80`,
        zone: 'zone-a',
        slots: 8,
        draining: false,
        models: [],
        nearby: NO_NEARBY_COPIES,
      });
    }
  }

  removeWorker(id: string): void {
    for (const { directory } of this.daemons.values()) directory.remove(id);
  }

  run(ms: number): Promise<void> {
    return this.world.run(this.world.now + ms);
  }

  async onlyVersions(): Promise<(string | undefined)[]> {
    return Promise.all([...this.daemons.values()].map(({ recorded }) => recorded.onlyVersion(SERVICE)));
  }
}

describe('records of the versions at which streams began', () => {
  let world: RecordingWorld;

  beforeEach(() => {
    world = new RecordingWorld();
  });

  async function startWithOneVersion(): Promise<void> {
    world.start(true);
    world.addWorker('a1', 'v1');
    await world.run(1000);
  }

  it('name the only version from the first start on, by one write', async () => {
    await startWithOneVersion();
    await world.run(60_000);
    expect(world.records.versionsOf(SERVICE)).to.deep.equal(['v1']);
    expect(world.records.calls.filter((call) => call === 'writeVersions').length).to.equal(1);
  });

  it('let daemons that have all started anew know the only version', async () => {
    await startWithOneVersion();
    world.killAll();
    world.start();
    world.addWorker('a1', 'v1');
    expect(await world.onlyVersions()).to.deep.equal(['v1', 'v1', 'v1', 'v1']);
  });

  it('name no only version once another one serves, nor for as long as a stream of the old one may last', async () => {
    await startWithOneVersion();
    world.addWorker('b1', 'v2');
    await world.run(100);
    world.removeWorker('a1');
    world.killAll();
    world.start();
    world.addWorker('b1', 'v2');
    await world.run(PERIOD_MS - 1000);
    expect(await world.onlyVersions()).to.deep.equal([undefined, undefined, undefined, undefined]);
    await world.run(3000);
    expect(world.records.versionsOf(SERVICE)).to.deep.equal(['v2']);
    expect(await world.onlyVersions()).to.deep.equal(['v2', 'v2', 'v2', 'v2']);
  });

  it('prove nothing for a version that came while all daemons were away', async () => {
    await startWithOneVersion();
    world.killAll();
    world.start();
    world.addWorker('b1', 'v2');
    expect(await world.onlyVersions()).to.deep.equal([undefined, undefined, undefined, undefined]);
  });

  it('prove nothing after a restore of the store', async () => {
    await startWithOneVersion();
    world.killAll();
    world.records.restore();
    world.start();
    world.addWorker('a1', 'v1');
    await world.run(1000);
    expect(await world.onlyVersions()).to.deep.equal([undefined, undefined, undefined, undefined]);
  });

  it('prove nothing where they were never written, and are not written without the history', async () => {
    world.start();
    world.addWorker('a1', 'v1');
    await world.run(PERIOD_MS - 1000);
    expect(world.records.versionsOf(SERVICE)).to.equal(undefined);
    expect(await world.onlyVersions()).to.deep.equal([undefined, undefined, undefined, undefined]);
  });

  it('keep a version that a daemon may have missed while its view was not current', async () => {
    await startWithOneVersion();
    world.addWorker('b1', 'v2');
    await world.run(100);
    world.removeWorker('b1');
    for (const daemon of world.daemons.values()) daemon.isViewCurrent = false;
    await world.run(PERIOD_MS + 5000);
    for (const daemon of world.daemons.values()) daemon.isViewCurrent = true;
    await world.run(5000);
    expect(world.records.versionsOf(SERVICE)).to.deep.equal(['v1', 'v2']);
  });

  it('are written by another daemon where the first one cannot reach the store', async () => {
    const unreachable = new InMemoryStreamRecords();
    unreachable.isReachable = false;
    for (const { id } of MEMBERS) {
      world = new RecordingWorld();
      for (const member of MEMBERS)
        world.add(member.id, true, member.id === id ? unreachable : world.records);
      world.addWorker('a1', 'v1');
      await world.run(5000);
      expect(world.records.versionsOf(SERVICE), id).to.deep.equal(['v1']);
    }
  });
});

describe('stored origins of streams', () => {
  const ORIGIN = { service: SERVICE, softwareVersion: 'v1' };
  let world: RecordingWorld;
  let daemon: Daemon;

  beforeEach(async () => {
    world = new RecordingWorld();
    daemon = world.add('d1', true);
    world.addWorker('a1', 'v1');
    daemon.origins.add('s1', { origin: ORIGIN, expiresAt: world.world.now + PERIOD_MS });
    await world.run(2000);
  });

  it('are not written while a service has one version', () => {
    expect(world.records.calls).not.to.include('writeOrigins');
  });

  it('are found after all daemons were killed, those from before the second version as well', async () => {
    world.addWorker('b1', 'v2');
    await world.run(1000);
    world.killAll();
    daemon = world.add('d1');
    expect(await daemon.recorded.find('s1')).to.deep.equal(ORIGIN);
    expect(await daemon.recorded.find('s2')).to.equal(undefined);
  });

  it('stay when the daemon that stored them starts again and stores others', async () => {
    world.addWorker('b1', 'v2');
    await world.run(1000);
    world.killAll();
    daemon = world.add('d1');
    for (const [id, version] of [
      ['a1', 'v1'],
      ['b1', 'v2'],
    ] as const)
      world.addWorker(id, version);
    daemon.origins.add('s2', { origin: ORIGIN, expiresAt: world.world.now + PERIOD_MS });
    await world.run(1000);
    expect(world.records.originsOf('d1')?.map(({ i }) => i)).to.deep.equal(['s1', 's2']);
  });

  it('are removed once one version has served alone for as long as a stream may last', async () => {
    world.addWorker('b1', 'v2');
    await world.run(1000);
    world.removeWorker('a1');
    await world.run(PERIOD_MS + 1000);
    expect(world.records.originsOf('d1')).to.equal(undefined);
  });

  it('are bounded in number and in writes', async () => {
    world.addWorker('b1', 'v2');
    for (let index = 0; index < 5000; index += 1) {
      daemon.origins.add(`s${String(index)}`, {
        origin: ORIGIN,
        expiresAt: world.world.now + PERIOD_MS,
      });
      if (index % 500 === 0) await world.run(500);
    }
    await world.run(1000);
    expect(world.records.originsOf('d1')?.length).to.equal(2000);
    expect(world.records.calls.filter((call) => call === 'writeOrigins').length).to.be.within(5, 12);
  });
});
