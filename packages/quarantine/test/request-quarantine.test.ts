import { expect } from 'chai';
import { MARK_LIFETIME_MS, QUARANTINE_MS, type RequestQuarantine } from '../src/index.js';
import { backEndOf, QuarantineDeployment } from './quarantine-deployment.js';

const CONTENT = 'crashes';
/** Of a request that has time left. */
const neverAborted = new AbortController().signal;

function isRefused(daemon: RequestQuarantine, content = CONTENT): boolean {
  return daemon.verdictOf(content) !== undefined;
}

describe('RequestQuarantine', () => {
  let deployment: QuarantineDeployment;
  let first: RequestQuarantine;
  let second: RequestQuarantine;
  let third: RequestQuarantine;

  /** Content and process of each end that stands in a record of ends. */
  function recordedCrashes(): string[] {
    const records = [...deployment.entries.values()].flatMap((entry) => ('ends' in entry ? entry.ends : []));
    return records.map(({ suspect, processId }) => `${suspect} ${processId}`);
  }

  beforeEach(() => {
    deployment = new QuarantineDeployment();
    first = deployment.addDaemon();
    second = deployment.addDaemon();
    third = deployment.addDaemon();
  });

  it('refuses at one daemon what one client sent again until three processes had ended', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    expect(isRefused(first)).to.equal(false);
    await deployment.crashUnder(first, CONTENT, 'w3');
    expect(first.verdictOf(CONTENT)).to.include({ ends: 3 });
    expect(first.verdictOf(CONTENT)?.retryAfterMs).to.be.within(QUARANTINE_MS - 5000, QUARANTINE_MS);
    expect(isRefused(first, 'another')).to.equal(false);
  });

  it('refuses it at every daemon within a second, whichever of them saw the ends', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(second, CONTENT, 'w2');
    await deployment.crashUnder(third, CONTENT, 'w3');
    expect(deployment.daemons.every((daemon) => isRefused(daemon))).to.equal(true);
    expect(deployment.records.get(CONTENT)?.processes).to.have.members(['w1', 'w2', 'w3']);
  });

  it('finds out a content that was sent by three daemons at once to three processes, at its next end', async () => {
    await Promise.all([
      deployment.crashUnder(first, CONTENT, 'w1'),
      deployment.crashUnder(second, CONTENT, 'w2'),
      deployment.crashUnder(third, CONTENT, 'w3'),
    ]);
    expect(isRefused(first)).to.equal(false);
    await deployment.crashUnder(second, CONTENT, 'w4');
    expect(deployment.daemons.every((daemon) => isRefused(daemon))).to.equal(true);
  });

  it('is known to a daemon that starts after the verdict, before it serves', async () => {
    for (const id of ['w1', 'w2', 'w3']) await deployment.crashUnder(first, CONTENT, id);
    expect(isRefused(deployment.addDaemon())).to.equal(true);
  });

  it('is known after all daemons were killed right after the third end was found out', async () => {
    for (const id of ['w1', 'w2']) await deployment.crashUnder(first, CONTENT, id);
    const sentAt = deployment.world.now;
    await deployment.advance(50);
    deployment.ended.add('w3');
    deployment.breakOff(second, CONTENT, 'w3', sentAt);
    await deployment.advance(150);
    deployment.killAll();
    expect(isRefused(deployment.addDaemon())).to.equal(true);
  });

  /*
   * What users saw: a request under which ten and twelve workers ended, sent six times more than allowed, while all daemons were
   * killed every six seconds. Two ends were known each time, and forgotten with all daemons: marks lived in memory until the verdict.
   */
  it('is found out though all daemons are killed again and again before the third end', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    await deployment.advance(100);
    deployment.killAll();
    const next = deployment.addDaemon();
    expect(isRefused(next)).to.equal(false);
    await deployment.crashUnder(next, CONTENT, 'w3');
    expect(isRefused(next)).to.equal(true);
    await deployment.advance(100);
    deployment.killAll();
    expect(isRefused(deployment.addDaemon())).to.equal(true);
  });

  it('is found out though all daemons are killed after each single end', async () => {
    let daemon = first;
    for (const id of ['w1', 'w2', 'w3']) {
      await deployment.crashUnder(daemon, CONTENT, id);
      await deployment.advance(100);
      deployment.killAll();
      daemon = deployment.addDaemon();
    }
    expect(isRefused(daemon)).to.equal(true);
  });

  it('is found out by daemons that were cut from each other, once they hear of each other again', async () => {
    deployment.partitioned.add(third);
    deployment.isStoreDown = true;
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    await deployment.crashUnder(third, CONTENT, 'w3');
    expect(deployment.daemons.some((daemon) => isRefused(daemon))).to.equal(false);
    deployment.partitioned.clear();
    deployment.publishFrom(third);
    deployment.publishFrom(first);
    expect(deployment.daemons.every((daemon) => isRefused(daemon))).to.equal(true);
    deployment.isStoreDown = false;
    await deployment.advance(6000);
    expect(deployment.records.has(CONTENT)).to.equal(true);
  });

  it('is found out by a daemon that is cut from the others, by what the store keeps', async () => {
    deployment.partitioned.add(third);
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    await deployment.crashUnder(third, CONTENT, 'w3');
    expect(isRefused(third)).to.equal(true);
  });

  it('keeps evidence from the first end on, until the content has run well', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    expect(recordedCrashes()).to.deep.equal([`${CONTENT} w1`]);
    expect(deployment.entries.size).to.equal(1);
    await deployment.crashUnder(second, CONTENT, 'w2');
    await deployment.advance(100);
    expect(recordedCrashes()).to.deep.equal([`${CONTENT} w1`]);
    expect([...deployment.entries.keys()].slice(1)).to.deep.equal([`suspect-${CONTENT}`]);
    third.noteServed(CONTENT);
    await deployment.advance(200);
    expect(deployment.entries.size).to.equal(0);
    await deployment.crashUnder(first, CONTENT, 'w3');
    expect(deployment.daemons.some((daemon) => isRefused(daemon))).to.equal(false);
  });

  it('removes evidence once its marks have run out', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(first, CONTENT, 'w2');
    await deployment.advance(100);
    expect(deployment.entries.size).to.equal(2);
    await deployment.advance(MARK_LIFETIME_MS + 120_000);
    expect(deployment.entries.size).to.equal(0);
  });

  it('is refused while the store is down, and kept as soon as the store is back', async () => {
    deployment.isStoreDown = true;
    for (const id of ['w1', 'w2', 'w3']) await deployment.crashUnder(first, CONTENT, id);
    expect(isRefused(third)).to.equal(true);
    expect(deployment.records.size).to.equal(0);
    deployment.isStoreDown = false;
    await deployment.advance(6000);
    expect(deployment.records.has(CONTENT)).to.equal(true);
  });

  it('holds nothing against 60 requests that were under way in a rack that failed, nor against those that came again', async () => {
    const rack = ['w1', 'w2', 'w3', 'w4', 'w5'];
    const contents = Array.from({ length: 60 }, (_, index) => `innocent-${String(index)}`);
    const sentAt = deployment.world.now;
    await deployment.advance(200);
    for (const id of rack) deployment.ended.add(id);
    contents.forEach((content, index) => {
      deployment.breakOff(first, content, rack[index % rack.length] as string, sentAt);
      // One that many send at once was on each of them.
      deployment.breakOff(second, 'popular', rack[index % rack.length] as string, sentAt);
    });
    await deployment.advance(1000);
    // Their clients come again, and one more process ends under all of them.
    await Promise.all(
      [...contents, 'popular'].slice(0, 60).map((content) => deployment.crashUnder(third, content, 'w6')),
    );
    for (const content of contents) expect(isRefused(first, content)).to.equal(false);
  });

  it('holds nothing against a content that many send at once, when a rack fails under it', async () => {
    const sentAt = deployment.world.now;
    await deployment.advance(200);
    for (const id of ['w1', 'w2', 'w3', 'w4']) {
      deployment.ended.add(id);
      deployment.breakOff(first, 'popular', id, sentAt);
    }
    await deployment.advance(1000);
    expect(deployment.daemons.some((daemon) => isRefused(daemon, 'popular'))).to.equal(false);
  });

  it('holds nothing against requests whose connections were reset while the processes live on', async () => {
    for (const id of ['w1', 'w2', 'w3', 'w4']) {
      deployment.breakOff(first, CONTENT, id, deployment.world.now);
      await deployment.advance(500);
    }
    expect(first.totals).to.deep.equal({ marks: 0, suspects: 0, quarantined: 0 });
  });

  it('holds nothing against requests of processes that ended because they were leaving', async () => {
    for (const processId of ['w1', 'w2', 'w3']) {
      deployment.ended.add(processId);
      first.noteBroken({
        content: CONTENT,
        requestId: 'r',
        route: 'route',
        backEnd: backEndOf(processId),
        wasLeaving: true,
        sentAt: deployment.world.now,
      });
      await deployment.advance(500);
    }
    expect(isRefused(first)).to.equal(false);
  });

  it('clears a content at a good run between two ends, at every daemon', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await deployment.crashUnder(second, CONTENT, 'w2');
    third.noteServed(CONTENT);
    await deployment.advance(1000);
    await deployment.crashUnder(first, CONTENT, 'w3');
    expect(deployment.daemons.some((daemon) => isRefused(daemon))).to.equal(false);
    expect(first.totals.suspects).to.equal(1);
  });

  it('lets a content run again once its record is lifted, until it has ended three more', async () => {
    for (const id of ['w1', 'w2', 'w3']) await deployment.crashUnder(first, CONTENT, id);
    deployment.entries.delete(CONTENT);
    for (const daemon of deployment.daemons) daemon.recordGone(CONTENT);
    expect(deployment.daemons.some((daemon) => isRefused(daemon))).to.equal(false);
    for (const id of ['w4', 'w5', 'w6']) await deployment.crashUnder(second, CONTENT, id);
    expect(deployment.daemons.every((daemon) => isRefused(daemon))).to.equal(true);
  });

  it('forgets a verdict that no store has taken once its marks have run out', async () => {
    deployment.isStoreDown = true;
    for (const id of ['w1', 'w2', 'w3']) await deployment.crashUnder(first, CONTENT, id);
    expect(isRefused(first)).to.equal(true);
    await deployment.advance(MARK_LIFETIME_MS + 120_000);
    await deployment.crashUnder(first, CONTENT, 'w4');
    expect(deployment.daemons.some((daemon) => isRefused(daemon))).to.equal(false);
  });

  it('removes a record whose time is over', async () => {
    for (const id of ['w1', 'w2', 'w3']) await deployment.crashUnder(first, CONTENT, id);
    await deployment.advance(QUARANTINE_MS + 61_000);
    expect(deployment.records.size).to.equal(0);
    expect(isRefused(second)).to.equal(false);
  });

  it('lets one attempt of a suspect run at a time, and the next one only when the fate of the last is known', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    const turn = await first.takeTurn(CONTENT, neverAborted);
    let hasNext = false;
    void first.takeTurn(CONTENT, neverAborted).then(() => (hasNext = true));
    await deployment.advance(100);
    expect(hasNext).to.equal(false);
    deployment.ended.add('w2');
    deployment.breakOff(first, CONTENT, 'w2', deployment.world.now);
    turn.release();
    await deployment.advance(50);
    expect(hasNext).to.equal(false);
    await deployment.advance(150);
    expect(hasNext).to.equal(true);
  });

  it('lets nobody wait for a turn beyond its time', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    await first.takeTurn(CONTENT, neverAborted);
    const expired = new AbortController();
    let hasEnded = false;
    void first.takeTurn(CONTENT, expired.signal).then(() => (hasEnded = true));
    await deployment.advance(100);
    expect(hasEnded).to.equal(false);
    expired.abort();
    await deployment.advance(1);
    expect(hasEnded).to.equal(true);
  });

  it('lets all that wait for a turn go on once the content has run well', async () => {
    await deployment.crashUnder(first, CONTENT, 'w1');
    const turn = await first.takeTurn(CONTENT, neverAborted);
    let going = 0;
    for (let index = 0; index < 5; index += 1)
      void first.takeTurn(CONTENT, neverAborted).then(() => (going += 1));
    await deployment.advance(100);
    expect(going).to.equal(0);
    first.noteServed(CONTENT);
    turn.release();
    await deployment.advance(1);
    expect(going).to.equal(5);
  });

  it('keeps two contents that have ended several processes each off the same one', async () => {
    for (const content of ['a', 'b']) {
      for (const id of ['w1', 'w2']) await deployment.crashUnder(first, content, `${content}-${id}`);
    }
    const turn = await first.takeTurn('a', neverAborted);
    turn.sentTo('w9');
    expect(first.processesToAvoid('b')).to.deep.equal(['w9']);
    expect(first.processesToAvoid('a')).to.deep.equal([]);
    turn.release();
    expect(first.processesToAvoid('b')).to.deep.equal([]);
  });
});
