import { expect } from 'chai';
import type { QuarantineEntry, RequestQuarantine } from '../src/index.js';
import { QuarantineScene } from './quarantine-scene.js';

const CONTENT = 'crashes';

/**
 * A store that is restored from a copy lacks verdicts and evidence written since, and shows verdicts again that an operator has lifted. A listing without a
 * verdict was taken for its lifting: the content ran again, and ended three more processes.
 */
describe('RequestQuarantine and a store that is restored from a copy', () => {
  let scene: QuarantineScene;
  let first: RequestQuarantine;
  let copy: ReadonlyMap<string, QuarantineEntry>;

  const takeCopy = (): void => {
    copy = new Map(scene.entries);
  };

  const isRefusedEverywhere = (): boolean =>
    scene.daemons.every((daemon) => daemon.verdictOf(CONTENT) !== undefined);

  const prove = async (): Promise<void> => {
    for (const process of ['w1', 'w2', 'w3']) await scene.endUnder(first, CONTENT, process);
  };

  beforeEach(() => {
    scene = new QuarantineScene();
    first = scene.addDaemon();
    scene.addDaemon();
    scene.addDaemon();
    takeCopy();
  });

  it('goes on refusing what the copy does not know, and writes the verdict again', async () => {
    await prove();
    scene.restore(copy);
    expect(isRefusedEverywhere()).to.equal(true);
    await scene.pass(1000);
    expect(scene.records.get(CONTENT)?.processes).to.have.members(['w1', 'w2', 'w3']);
    scene.killAll();
    expect(scene.addDaemon().verdictOf(CONTENT)).not.to.equal(undefined);
  });

  it('keeps a verdict while it is being written again, also when the records are listed meanwhile', async () => {
    await prove();
    scene.isStoreDown = true;
    scene.restore(copy);
    for (const daemon of scene.daemons) daemon.recordsListed([]);
    expect(isRefusedEverywhere()).to.equal(true);
    scene.isStoreDown = false;
    await scene.pass(6000);
    expect([...scene.records.keys()]).to.deep.equal([CONTENT]);
  });

  it('writes evidence again that the copy lacks', async () => {
    await scene.endUnder(first, CONTENT, 'w1');
    await scene.endUnder(first, CONTENT, 'w2');
    const names = [...scene.entries.keys()].sort();
    expect(names).not.to.deep.equal([]);
    scene.restore(copy);
    await scene.pass(1000);
    expect([...scene.entries.keys()].sort()).to.deep.equal(names);
  });

  it('does not take up again what an operator lifted, and removes it from the store', async () => {
    await prove();
    takeCopy();
    scene.lift(CONTENT);
    await scene.pass(2000);
    scene.restore(copy);
    expect(scene.daemons.some((daemon) => daemon.verdictOf(CONTENT) !== undefined)).to.equal(false);
    await scene.pass(1000);
    expect(scene.records.has(CONTENT)).to.equal(false);
  });
});
