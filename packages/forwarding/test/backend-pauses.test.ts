import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { BackendPauses, type NoticeField } from '../src/index.js';

const NONE: NoticeField<number> = { kind: 'none' };
const pauseOf = (value: number): NoticeField<number> => ({ kind: 'said', value });

describe('BackendPauses', () => {
  let world: SimulatedWorld;
  let clock: SimulatedProcess;
  let pauses: BackendPauses;

  beforeEach(() => {
    world = new SimulatedWorld();
    clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    pauses = new BackendPauses(clock);
  });

  const receive = (field: NoticeField<number>, sentAt = clock.monotonic()): void => {
    pauses.record('b1', field, sentAt);
  };

  it('grants no permit during a pause, invalidates earlier ones, and returns the remaining time', async () => {
    const early = pauses.acquire('b1');
    receive(pauseOf(3000));
    expect(early?.isValid(), 'a permit from before').to.equal(false);
    await world.run(1000);
    expect(pauses.waitMs('b1')).to.equal(2000);
    expect(pauses.acquire('b1')).to.equal(undefined);
    expect(pauses.waitMs('b2')).to.equal(0);
    expect(pauses.count).to.equal(1);
  });

  it('keeps a pause despite answers to earlier requests or a shorter pause', async () => {
    const sentAt = clock.monotonic();
    receive(pauseOf(3000));
    receive(pauseOf(100));
    receive(NONE, sentAt);
    await world.run(2000);
    receive(NONE, sentAt);
    expect(pauses.waitMs('b1')).to.equal(1000);
  });

  it('allows one request after a pause, and all others once it was answered without a new pause', async () => {
    receive(pauseOf(1000));
    await world.run(1000);
    const first = pauses.acquire('b1');
    expect(first?.isValid()).to.equal(true);
    expect(pauses.acquire('b1')).to.equal(undefined);
    expect(pauses.waitMs('b1')).to.be.above(0);
    receive(NONE);
    expect(first?.isValid()).to.equal(true);
    expect(pauses.acquire('b1')).to.not.equal(undefined);
    expect(pauses.acquire('b1')).to.not.equal(undefined);
  });

  it('starts a new pause when the answer to the first request asks for one', async () => {
    receive(pauseOf(1000));
    await world.run(1000);
    pauses.acquire('b1');
    receive(pauseOf(1000));
    expect(pauses.waitMs('b1')).to.equal(1000);
  });

  it('allows another first request when the first was not answered or not sent', async () => {
    receive(pauseOf(1000));
    await world.run(1000);
    pauses.acquire('b1')?.end();
    pauses.acquire('b1')?.refund();
    expect(pauses.acquire('b1')).to.not.equal(undefined);
  });

  it('limits pauses to one hour, and removes them with the back end', () => {
    receive(pauseOf(10 * 365 * 24 * 3_600_000));
    expect(pauses.waitMs('b1')).to.equal(3_600_000);
    pauses.forget('b1');
    expect(pauses.waitMs('b1')).to.equal(0);
  });
});
