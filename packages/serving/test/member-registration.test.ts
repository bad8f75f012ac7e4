import { expect } from 'chai';
import { silentLog } from '@woodbarrow/observability';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { MemberRegistration, type MemberRegistry, type RegisteredMember } from '../src/index.js';

const SELF: RegisteredMember = { id: 'd1', address: '10.0.0.1:1', zone: 'z', capacity: 100 };
const OTHER: RegisteredMember = { id: 'd2', address: '10.0.0.2:1', zone: 'z', capacity: 100 };

/** A member registry that records its calls, and one daemon that registers there. */
class RegistrationWorld {
  readonly world = new SimulatedWorld();
  readonly members: RegisteredMember[] = [];
  readonly calls: string[] = [];
  isReachable: boolean;
  presentCount = 1;
  readonly registration: MemberRegistration;
  private readonly stopped = new AbortController();

  constructor(members: readonly RegisteredMember[] = [], isFirstStart = false, isReachable = true) {
    this.isReachable = isReachable;
    this.members.push(...members);
    const registry: MemberRegistry = {
      list: () => this.call('list', () => [...this.members]),
      join: (member) => this.call('join', () => void this.members.push(member)),
    };
    this.registration = new MemberRegistration({
      self: SELF,
      registry,
      isFirstStart,
      presentCount: () => this.presentCount,
      clock: new SimulatedProcess(this.world, { name: 'd1', zone: 'z', region: 'r' }),
      random: new Random(5),
      log: silentLog,
    });
    void this.registration.run(this.stopped.signal);
  }

  async run(ms: number): Promise<void> {
    await this.world.run(this.world.now + ms);
  }

  stop(): void {
    this.stopped.abort();
  }

  private call<T>(name: string, apply: () => T): Promise<T> {
    this.calls.push(name);
    return this.isReachable ? Promise.resolve(apply()) : Promise.reject(new Error('registry unavailable'));
  }
}

describe('MemberRegistration', () => {
  let world: RegistrationWorld;

  beforeEach(() => {
    world = new RegistrationWorld();
  });

  afterEach(() => {
    world.stop();
  });

  it('registers again exactly once after the store was restored, with a random delay', async () => {
    world.stop();
    world = new RegistrationWorld([SELF, OTHER]);
    world.presentCount = 2;
    await world.run(2000);
    expect(world.calls).not.to.include('join');
    world.members.splice(0);
    for (let kind = 0; kind < 3; kind += 1) world.registration.noteRestored();
    await world.run(100);
    expect(world.calls).not.to.include('join');
    await world.run(6000);
    expect(world.members).to.deep.equal([SELF]);
    await world.run(120_000);
    expect(world.calls.filter((call) => call === 'join')).to.have.length(1);
  });

  it('knows its group soon after an unavailable registry recovers', async () => {
    world.stop();
    world = new RegistrationWorld([SELF, OTHER], false, false);
    await world.run(400);
    expect(world.registration.isGroupKnown).to.equal(false);
    world.isReachable = true;
    await world.run(300);
    expect(world.registration.isGroupKnown).to.equal(true);
    expect(world.calls.length).to.be.at.most(8);
  });

  it('has resolved its peers once one is present, or after a timeout without any', async () => {
    world.stop();
    world = new RegistrationWorld([SELF, OTHER]);
    await world.run(100);
    expect([world.registration.isGroupKnown, world.registration.hasResolvedPeers]).to.deep.equal([
      true,
      false,
    ]);
    world.presentCount = 2;
    expect(world.registration.hasResolvedPeers).to.equal(true);
    world.presentCount = 1;
    await world.run(3000);
    expect(world.registration.hasResolvedPeers).to.equal(true);
  });

  it('registers once and polls until other daemons are present', async () => {
    await world.run(100);
    expect(world.calls).to.deep.equal(['list', 'join']);
    world.members.push(OTHER);
    await world.run(1000);
    expect(world.registration.seeds).to.deep.equal([OTHER.address]);
    world.presentCount = 2;
    await world.run(5000);
    expect(world.calls.filter((call) => call === 'join')).to.have.lengthOf(1);
    expect(world.calls.length).to.be.at.most(4);
  });

  it('does not register again after a restart when it is already listed', async () => {
    world.stop();
    world = new RegistrationWorld([SELF, OTHER]);
    await world.run(100);
    expect(world.calls).to.deep.equal(['list']);
    expect(world.registration.isGroupKnown).to.equal(true);
    expect(world.registration.provisionalMembers).to.deep.equal([OTHER]);
  });

  it('waits at the first start until the registry can be assumed complete', async () => {
    world.stop();
    world = new RegistrationWorld([OTHER], true);
    await world.run(1000);
    expect(world.registration.isGroupKnown).to.equal(false);
    world.members.push({ ...OTHER, id: 'd3', address: '10.0.0.3:1' });
    world.presentCount = 2;
    await world.run(1300);
    expect(world.registration.isGroupKnown).to.equal(true);
    expect(world.registration.provisionalMembers).to.have.lengthOf(2);
    const callCount = world.calls.length;
    await world.run(3000);
    expect(world.calls).to.have.lengthOf(callCount);
  });

  it('registers once the registry becomes available', async () => {
    world.stop();
    world = new RegistrationWorld();
    world.isReachable = false;
    await world.run(1000);
    expect(world.members).to.deep.equal([]);
    world.isReachable = true;
    await world.run(1000);
    expect(world.members).to.deep.equal([SELF]);
  });

  it('assumes to be the only daemon only after a timeout, and drops registered daemons that never become present', async () => {
    expect(world.registration.isGroupKnown).to.equal(false);
    await world.run(3000);
    expect(world.registration.isGroupKnown).to.equal(true);
    world.members.push(OTHER);
    await world.run(1000);
    expect(world.registration.provisionalMembers).to.deep.equal([OTHER]);
    await world.run(3000);
    expect(world.registration.provisionalMembers).to.deep.equal([]);
  });
});
