/*
 * Guards against losing the first crash of a content when all daemons are killed after each crash, so
 * that its crashes never add up to a verdict.
 */
import { expect } from 'chai';
import type { CrashBatchRecord, RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment } from './quarantine-deployment.js';

/**
 * Maximum time from a broken response until its crash is stored, in milliseconds: two probes, the
 * write delay and the store call.
 */
const RECORDED_WITHIN_MS = 120 + 500 + 20;

describe('CrashBatchRecords', () => {
  let deployment: QuarantineDeployment;
  let daemons: readonly RequestQuarantine[];

  beforeEach(() => {
    deployment = new QuarantineDeployment();
    daemons = Array.from({ length: 12 }, () => deployment.addDaemon());
  });

  function records(): CrashBatchRecord[] {
    return [...deployment.entries.values()].filter((entry): entry is CrashBatchRecord => 'ends' in entry);
  }

  /** One process ends under many contents, by way of all daemons. */
  function crashUnderMany(processId: string, count: number): string[] {
    const contents = Array.from({ length: count }, (_, index) => `content-${String(index)}`);
    deployment.ended.add(processId);
    contents.forEach((content, index) => {
      deployment.breakOff(
        daemons[index % daemons.length] as RequestQuarantine,
        content,
        processId,
        deployment.world.now,
      );
    });
    return contents;
  }

  it('store the crashes of sixty requests on one process in a few writes by twelve daemons', async () => {
    const contents = crashUnderMany('w1', 60);
    await deployment.advance(RECORDED_WITHIN_MS);
    const kept = new Set(records().flatMap(({ ends }) => ends.map(({ suspect }) => suspect)));
    expect([...kept]).to.have.members(contents);
    // A record for each content would be sixty calls, one for each daemon that saw an end twelve.
    expect(deployment.entries.size).to.be.at.most(8);
  });

  it('lose no crash if all daemons are killed after it has been stored', async () => {
    for (const processId of ['w1', 'w2', 'w3']) {
      const [daemon] = deployment.daemons as [RequestQuarantine];
      deployment.ended.add(processId);
      deployment.breakOff(daemon, 'crashes', processId, deployment.world.now);
      await deployment.advance(RECORDED_WITHIN_MS);
      deployment.killAll();
      deployment.addDaemon();
    }
    expect(deployment.daemons[0]?.verdictOf('crashes')).to.include({ ends: 3 });
  });

  it('lose at most one crash each time all daemons are killed before it is stored', async () => {
    const killedAfterMs = [100, RECORDED_WITHIN_MS, 200, RECORDED_WITHIN_MS, 50, RECORDED_WITHIN_MS];
    for (const [index, afterMs] of killedAfterMs.entries()) {
      const [daemon] = deployment.daemons as [RequestQuarantine];
      const processId = `w${String(index)}`;
      deployment.ended.add(processId);
      deployment.breakOff(daemon, 'crashes', processId, deployment.world.now);
      await deployment.advance(afterMs);
      deployment.killAll();
      deployment.addDaemon();
    }
    expect(deployment.daemons[0]?.verdictOf('crashes')).to.include({ ends: 3 });
  });

  it('are written once the store is back, with all that came meanwhile', async () => {
    deployment.isStoreDown = true;
    const contents = crashUnderMany('w1', 24);
    await deployment.advance(3000);
    expect(deployment.entries.size).to.equal(0);
    deployment.isStoreDown = false;
    await deployment.advance(6000);
    const kept = new Set(records().flatMap(({ ends }) => ends.map(({ suspect }) => suspect)));
    expect([...kept]).to.have.members(contents);
  });

  it('are removed once every content in them has run well', async () => {
    const contents = crashUnderMany('w1', 12);
    await deployment.advance(RECORDED_WITHIN_MS);
    for (const content of contents) daemons[0]?.noteServed(content);
    await deployment.advance(1000);
    expect(deployment.entries.size).to.equal(0);
  });

  it('lead to a stored verdict after every daemon that observed a crash has gone', async () => {
    const [heir, seer] = daemons as [RequestQuarantine, RequestQuarantine];
    deployment.isStoreDown = true;
    for (const processId of ['w1', 'w2', 'w3']) await deployment.crashUnder(seer, 'crashes', processId);
    expect(heir.verdictOf('crashes')).to.include({ ends: 3 });
    deployment.daemons.splice(1, 1);
    seer.abort();
    deployment.isStoreDown = false;
    await deployment.advance(8000);
    expect(deployment.records.get('crashes')).to.include({ foundBy: 'd1', route: '', requestId: '' });
  });
});
