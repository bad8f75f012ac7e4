import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { BackendPauses, type NoticeField } from '../src/index.js';

const NONE: NoticeField<number> = { kind: 'none' };
const asked = (value: number): NoticeField<number> => ({ kind: 'said', value });

describe('pauses that back ends ask for', () => {
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

  it('let nothing through until they end, and say what is left of them', async () => {
    const early = pauses.acquire('b1');
    hear(asked(3000));
    expect(early?.isValid(), 'a permit from before').to.equal(false);
    await world.run(1000);
    expect(pauses.waitMs('b1')).to.equal(2000);
    expect(pauses.acquire('b1')).to.equal(undefined);
    expect(pauses.waitMs('b2')).to.equal(0);
    expect(pauses.count).to.equal(1);
  });

  it('are not ended by answers to what was under way, nor shortened by a shorter one', async () => {
    const sentAt = clock.monotonic();
    hear(asked(3000));
    hear(asked(100));
    hear(NONE, sentAt);
    await world.run(2000);
    hear(NONE, sentAt);
    expect(pauses.waitMs('b1')).to.equal(1000);
  });

  it('let one request through first, and all once that is answered without another one', async () => {
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

  it('begin anew where the first request is declined too', async () => {
    hear(asked(1000));
    await world.run(1000);
    pauses.acquire('b1');
    hear(asked(1000));
    expect(pauses.waitMs('b1')).to.equal(1000);
  });

  it('let another one go first where the first was not answered, or was not sent', async () => {
    hear(asked(1000));
    await world.run(1000);
    pauses.acquire('b1')?.end();
    pauses.acquire('b1')?.giveBack();
    expect(pauses.acquire('b1')).to.not.equal(undefined);
  });

  it('last an hour at most, and no longer than their back end is known', () => {
    hear(asked(10 * 365 * 24 * 3_600_000));
    expect(pauses.waitMs('b1')).to.equal(3_600_000);
    pauses.forget('b1');
    expect(pauses.waitMs('b1')).to.equal(0);
  });
});
