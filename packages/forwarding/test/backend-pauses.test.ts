import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { BackendPauses, type NoticeField } from '../src/index.js';

const NONE: NoticeField<number> = { kind: 'none' };
const asked = (value: number): NoticeField<number> => ({ kind: 'said', value });

describe('BackendPauses', () => {
  let world: SimulatedWorld;
  let clock: SimulatedProcess;
  let pauses: BackendPauses;

  beforeEach(() => {
    world = new SimulatedWorld();
    clock = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    pauses = new BackendPauses(clock);
  });

  const hear = (word: NoticeField<number>, sentAt = clock.monotonic()): void => {
    pauses.record('b1', word, sentAt);
  };

  it('grants no permit during a pause, invalidates earlier ones, and returns the remaining time', async () => {
    const early = pauses.acquire('b1');
    hear(asked(3000));
    expect(early?.isValid(), 'a permit from before').to.equal(false);
    await world.run(1000);
    expect(pauses.waitMs('b1')).to.equal(2000);
    expect(pauses.acquire('b1')).to.equal(undefined);
    expect(pauses.waitMs('b2')).to.equal(0);
    expect(pauses.count).to.equal(1);
  });

  it('keeps a pause despite answers to earlier requests or a shorter pause', async () => {
    const sentAt = clock.monotonic();
    hear(asked(3000));
    hear(asked(100));
    hear(NONE, sentAt);
    await world.run(2000);
    hear(NONE, sentAt);
    expect(pauses.waitMs('b1')).to.equal(1000);
  });

  it('allows one request after a pause, and all others once it was answered without a new pause', async () => {
    hear(asked(1000));
    await world.run(1000);
    const first = pauses.acquire('b1');
    expect(first?.isValid()).to.equal(true);
    expect(pauses.acquire('b1')).to.equal(undefined);
    expect(pauses.waitMs('b1')).to.be.above(0);
    hear(NONE);
    expect(first?.isValid()).to.equal(true);
    expect(pauses.acquire('b1')).to.not.equal(undefined);
    expect(pauses.acquire('b1')).to.not.equal(undefined);
  });

  it('starts a new pause when the answer to the first request asks for one', async () => {
    hear(asked(1000));
    await world.run(1000);
    pauses.acquire('b1');
    hear(asked(1000));
    expect(pauses.waitMs('b1')).to.equal(1000);
  });

  it('allows another first request when the first was not answered or not sent', async () => {
    hear(asked(1000));
    await world.run(1000);
    pauses.acquire('b1')?.end();
    pauses.acquire('b1')?.giveBack();
    expect(pauses.acquire('b1')).to.not.equal(undefined);
  });

  it('limits pauses to one hour, and removes them with the back end', () => {
    hear(asked(10 * 365 * 24 * 3_600_000));
    expect(pauses.waitMs('b1')).to.equal(3_600_000);
    pauses.forget('b1');
    expect(pauses.waitMs('b1')).to.equal(0);
  });
});
