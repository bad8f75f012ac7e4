import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { CrashMarkTransfer } from '../src/index.js';

const ENTRY = { c: 'content', p: 'w1', b: 10, e: 5 };

describe('CrashMarkTransfer', () => {
  let world: SimulatedWorld;
  let digest: number;
  let transfer: CrashMarkTransfer;

  beforeEach(() => {
    world = new SimulatedWorld();
    digest = 0;
    const marks = {
      get digest() {
        return digest;
      },
      entries: () => [ENTRY],
      merge: () => undefined,
    };
    transfer = new CrashMarkTransfer(
      marks,
      new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' }),
    );
  });

  it('sends marks to a daemon with a different digest, and none to one with the same', () => {
    expect(transfer.reportFor('x')).to.deep.equal({ digest: 0 });
    digest = 7;
    expect(transfer.hasUpdateFor('x')).to.equal(true);
    expect(transfer.reportFor('x')).to.deep.equal({ digest: 7, marks: [ENTRY] });
    transfer.receive('x', { digest: 7 });
    expect(transfer.hasUpdateFor('x')).to.equal(false);
    expect(transfer.reportFor('x')).to.deep.equal({ digest: 7 });
  });

  it('repeats the same marks to a daemon with a different digest at most once a second, and sends newer ones at once', async () => {
    digest = 7;
    transfer.reportFor('x');
    transfer.receive('x', { digest: 5 });
    expect(transfer.reportFor('x').marks).to.have.length(1);
    expect(transfer.reportFor('x').marks).to.equal(undefined);
    expect(transfer.hasUpdateFor('x')).to.equal(false);
    await world.run(1000);
    expect(transfer.hasUpdateFor('x')).to.equal(true);
    expect(transfer.reportFor('x').marks).to.have.length(1);
    digest = 9;
    expect(transfer.reportFor('x').marks).to.have.length(1);
  });
});
