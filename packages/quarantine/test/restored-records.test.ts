import { expect } from 'chai';
import type { QuarantineEntry, RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment } from './quarantine-deployment.js';

const CONTENT = 'crashes';

/**
 * A store that is restored from a copy lacks verdicts and evidence written since, and shows verdicts again that an operator has lifted. A listing without a
 * verdict was taken for its lifting: the content ran again, and ended three more processes.
 */
describe('RequestQuarantine and a store that is restored from a copy', () => {
  let deployment: QuarantineDeployment;
  let first: RequestQuarantine;
  let copy: ReadonlyMap<string, QuarantineEntry>;

  const takeCopy = (): void => {
    copy = new Map(deployment.entries);
  };

  const isRefusedEverywhere = (): boolean =>
    deployment.daemons.every((daemon) => daemon.verdictOf(CONTENT) !== undefined);

  const prove = async (): Promise<void> => {
    for (const process of ['w1', 'w2', 'w3']) await deployment.crashUnder(first, CONTENT, process);
  };

  beforeEach(() => {
    deployment = new QuarantineDeployment();
    first = deployment.addDaemon();
    deployment.addDaemon();
    deployment.addDaemon();
    takeCopy();
  });

  it('goes on refusing what the copy does not know, and writes the verdict again', async () => {
    await prove();
    deployment.restore(copy);
    expect(isRefusedEverywhere()).to.equal(true);
    await deployment.advance(1000);
    expect(deployment.records.get(CONTENT)?.processes).to.have.members(['w1', 'w2', 'w3']);
    deployment.killAll();
    expect(deployment.addDaemon().verdictOf(CONTENT)).not.to.equal(undefined);
  });

  it('keeps a verdict while it is being written again, also when the records are listed meanwhile', async () => {
    await prove();
    deployment.isStoreDown = true;
    deployment.restore(copy);
    for (const daemon of deployment.daemons) daemon.recordsListed([]);
    expect(isRefusedEverywhere()).to.equal(true);
    deployment.isStoreDown = false;
    await deployment.advance(6000);
    expect([...deployment.records.keys()]).to.deep.equal([CONTENT]);
  });

  it('writes evidence again that the copy lacks', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    const names = [...deployment.entries.keys()].sort();
    expect(names).not.to.deep.equal([]);
    deployment.restore(copy);
    await deployment.advance(1000);
    expect([...deployment.entries.keys()].sort()).to.deep.equal(names);
  });

  it('does not take up again what an operator lifted, and removes it from the store', async () => {
    await prove();
    takeCopy();
    deployment.lift(CONTENT);
    await deployment.advance(2000);
    deployment.restore(copy);
    expect(deployment.daemons.some((daemon) => daemon.verdictOf(CONTENT) !== undefined)).to.equal(false);
    await deployment.advance(1000);
    expect(deployment.records.has(CONTENT)).to.equal(false);
  });
});
