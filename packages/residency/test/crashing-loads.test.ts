import { expect } from 'chai';
import { CrashingLoadsWorld } from './crashing-loads-world.js';

const CRASHING = { model: 'm7' };
const ZONES = 3;
/** Ends after which a load is known as what ended the workers. */
const ENDS_UNTIL_KNOWN = 3;
/** Time for which the load is asked for, in milliseconds: several lives of a demand, and many restarts of workers. */
const ASKED_MS = 60_000;

function isCrashing({ model, adapter }: { model: string; adapter?: string }): boolean {
  return model === CRASHING.model && adapter === undefined;
}

describe('a load that ends each worker that begins it', () => {
  it('ends three workers and no more, where one coordinator is asked for it again and again', async () => {
    const scene = new CrashingLoadsWorld(1, isCrashing);
    await scene.start(ZONES);
    await scene.keepAsking(CRASHING, ASKED_MS, scene.zones.slice(0, 1));
    expect(scene.ended).to.have.length(ENDS_UNTIL_KNOWN);
  });

  it('ends a worker of each zone and one more at most, where all coordinators begin it at once', async () => {
    const scene = new CrashingLoadsWorld(2, isCrashing);
    await scene.start(ZONES);
    await scene.keepAsking(CRASHING, ASKED_MS);
    expect(scene.ended.length).to.be.within(ENDS_UNTIL_KNOWN, ZONES + 1);
  });
});
