import { expect } from 'chai';
import type { QuarantineEntry, RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment } from './quarantine-deployment.js';

const CONTENT = 'crashes';

/**
 * Guards against taking a record that is missing from a restored store for a lifted verdict, and
 * against restoring lifted verdicts.
 */
describe('RequestQuarantine after its store is restored from a backup', () => {
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

  it('keeps refusing a content whose verdict the backup lacks, and writes the verdict again', async () => {
    await prove();
    deployment.restore(copy);
    expect(isRefusedEverywhere()).to.equal(true);
    await deployment.advance(1000);
    expect(deployment.records.get(CONTENT)?.processes).to.have.members(['w1', 'w2', 'w3']);
    deployment.killAll();
    expect(deployment.addDaemon().verdictOf(CONTENT)).not.to.equal(undefined);
  });

  it('retains a verdict that is being rewritten, even if a listing lacks it', async () => {
    await prove();
    deployment.isStoreDown = true;
    deployment.restore(copy);
    for (const daemon of deployment.daemons) daemon.handleRecordsListed([]);
    expect(isRefusedEverywhere()).to.equal(true);
    deployment.isStoreDown = false;
    await deployment.advance(6000);
    expect([...deployment.records.keys()]).to.deep.equal([CONTENT]);
  });

  it('writes evidence again that the backup lacks', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    const names = [...deployment.entries.keys()].sort();
    expect(names).not.to.deep.equal([]);
    deployment.restore(copy);
    await deployment.advance(1000);
    expect([...deployment.entries.keys()].sort()).to.deep.equal(names);
  });

  it('does not apply a verdict that an operator had lifted, and removes it from the store', async () => {
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
