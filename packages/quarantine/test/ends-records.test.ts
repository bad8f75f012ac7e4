/*
 * What was seen: a request that ends each worker was never found out where all daemons were killed after each single end; one play of such a day
 * had seven workers ended and four sends more than allowed. A first end was held in memory alone, so each life of the daemons began at
 * nought. Records of ends are read by a daemon before it serves.
 */
import { expect } from 'chai';
import type { EndsRecord, RequestQuarantine } from '../src/index.js';
import { QuarantineScene } from './quarantine-scene.js';

/** Time from an answer that breaks off until its end stands in the store, in milliseconds: two questions, the longest pause, the write. */
const KEPT_WITHIN_MS = 120 + 500 + 20;

describe('EndsRecords', () => {
  let scene: QuarantineScene;
  let daemons: readonly RequestQuarantine[];

  beforeEach(() => {
    scene = new QuarantineScene();
    daemons = Array.from({ length: 12 }, () => scene.addDaemon());
  });

  function records(): EndsRecord[] {
    return [...scene.entries.values()].filter((entry): entry is EndsRecord => 'ends' in entry);
  }

  /** One process ends under many contents, by way of all daemons. */
  function endUnderMany(processId: string, count: number): string[] {
    const contents = Array.from({ length: count }, (_, index) => `content-${String(index)}`);
    scene.ended.add(processId);
    contents.forEach((content, index) => {
      scene.breakOff(
        daemons[index % daemons.length] as RequestQuarantine,
        content,
        processId,
        scene.world.now,
      );
    });
    return contents;
  }

  it('keep the ends of sixty requests of one process in a few calls, over twelve daemons', async () => {
    const contents = endUnderMany('w1', 60);
    await scene.pass(KEPT_WITHIN_MS);
    const kept = new Set(records().flatMap(({ ends }) => ends.map(({ suspect }) => suspect)));
    expect([...kept]).to.have.members(contents);
    // A record for each content would be sixty calls, one for each daemon that saw an end twelve.
    expect(scene.entries.size).to.be.at.most(8);
  });

  it('lose no end that was found out so long before all daemons were killed', async () => {
    for (const processId of ['w1', 'w2', 'w3']) {
      const [daemon] = scene.daemons as [RequestQuarantine];
      scene.ended.add(processId);
      scene.breakOff(daemon, 'crashes', processId, scene.world.now);
      await scene.pass(KEPT_WITHIN_MS);
      scene.killAll();
      scene.addDaemon();
    }
    expect(scene.daemons[0]?.verdictOf('crashes')).to.include({ ends: 3 });
  });

  it('lose one end at most for each time that all daemons are killed sooner', async () => {
    const killedAfterMs = [100, KEPT_WITHIN_MS, 200, KEPT_WITHIN_MS, 50, KEPT_WITHIN_MS];
    for (const [index, afterMs] of killedAfterMs.entries()) {
      const [daemon] = scene.daemons as [RequestQuarantine];
      const processId = `w${String(index)}`;
      scene.ended.add(processId);
      scene.breakOff(daemon, 'crashes', processId, scene.world.now);
      await scene.pass(afterMs);
      scene.killAll();
      scene.addDaemon();
    }
    expect(scene.daemons[0]?.verdictOf('crashes')).to.include({ ends: 3 });
  });

  it('are written once the store is back, with all that came meanwhile', async () => {
    scene.isStoreDown = true;
    const contents = endUnderMany('w1', 24);
    await scene.pass(3000);
    expect(scene.entries.size).to.equal(0);
    scene.isStoreDown = false;
    await scene.pass(6000);
    const kept = new Set(records().flatMap(({ ends }) => ends.map(({ suspect }) => suspect)));
    expect([...kept]).to.have.members(contents);
  });

  it('are removed once every content in them has run well', async () => {
    const contents = endUnderMany('w1', 12);
    await scene.pass(KEPT_WITHIN_MS);
    for (const content of contents) daemons[0]?.noteServed(content);
    await scene.pass(1000);
    expect(scene.entries.size).to.equal(0);
  });

  it('lead to a record of the verdict though no daemon that saw an end is left', async () => {
    const [heir, seer] = daemons as [RequestQuarantine, RequestQuarantine];
    scene.isStoreDown = true;
    for (const processId of ['w1', 'w2', 'w3']) await scene.endUnder(seer, 'crashes', processId);
    expect(heir.verdictOf('crashes')).to.include({ ends: 3 });
    scene.daemons.splice(1, 1);
    seer.abort();
    scene.isStoreDown = false;
    await scene.pass(8000);
    expect(scene.records.get('crashes')).to.include({ foundBy: 'd1', route: '', requestId: '' });
  });
});
