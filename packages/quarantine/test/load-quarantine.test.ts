import { expect } from 'chai';
import { BackendDirectory } from '@woodbarrow/backends';
import { silentLog } from '@woodbarrow/observability';
import { SimulatedProcess } from '@woodbarrow/runtime';
import { CRASHES_FOR_VERDICT, LoadQuarantine, loadContent, type RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment, backEndOf } from './quarantine-deployment.js';

const MODEL = { model: 'm1' };
const ADAPTER = { model: 'm1', adapter: 'a1', adapterVersion: 2 };
/** Service of the simulated back ends. */
const SERVICE = backEndOf('any').service;
/** Signal of a demand whose deadline has not passed. */
const neverAborted = new AbortController().signal;
/** Time in which the state of a process is determined, in milliseconds. */
const PROCESS_CHECK_MS = 300;

describe('LoadQuarantine', () => {
  let deployment: QuarantineDeployment;
  let contents: RequestQuarantine;
  let directory: BackendDirectory;
  let loads: LoadQuarantine;

  beforeEach(() => {
    deployment = new QuarantineDeployment();
    contents = deployment.addDaemon();
    const clock = new SimulatedProcess(deployment.world, { name: 'coordinator', zone: 'a', region: 'r' });
    directory = new BackendDirectory(clock);
    loads = new LoadQuarantine({ contents, directory, clock, log: silentLog });
  });

  function order(id: string, target = MODEL): void {
    const backEnd = backEndOf(id);
    directory.put(backEnd);
    loads.noteOrdered(backEnd, target, deployment.world.now);
  }

  async function crashUnder(id: string, target = MODEL): Promise<void> {
    order(id, target);
    await deployment.advance(50);
    deployment.ended.add(id);
    loads.noteUnanswered(id);
    await deployment.advance(PROCESS_CHECK_MS);
  }

  it('refuses a load that crashed three processes, and names it in the record', async () => {
    for (const id of ['w1', 'w2']) await crashUnder(id);
    expect(loads.verdictOf(SERVICE, MODEL)).to.equal(undefined);
    await crashUnder('w3');
    expect(loads.verdictOf(SERVICE, MODEL)).to.include({ ends: CRASHES_FOR_VERDICT });
    const record = deployment.records.get(loadContent(SERVICE, MODEL));
    expect(record).to.include({ load: `${SERVICE} m1`, route: '', requestId: '' });
    expect(record?.processes).to.deep.equal(['w1', 'w2', 'w3']);
    expect(loads.totals).to.deep.equal({ suspects: 1, quarantined: 1, refused: 0 });
    expect(directory.all()).to.deep.equal([]);
  });

  it('counts the crashes of an adapter apart from its model and its other versions', async () => {
    for (const id of ['w1', 'w2', 'w3']) await crashUnder(id, ADAPTER);
    expect(loads.verdictOf(SERVICE, ADAPTER)).not.to.equal(undefined);
    expect(loads.verdictOf(SERVICE, MODEL)).to.equal(undefined);
    expect(loads.verdictOf(SERVICE, { ...ADAPTER, adapterVersion: 3 })).to.equal(undefined);
  });

  it('records no crash for a worker that is unresponsive, refuses a load or is removed while its process runs', async () => {
    order('w1');
    loads.noteUnanswered('w1');
    order('w2');
    loads.noteFailed(backEndOf('w2'), MODEL);
    order('w3');
    directory.recordVanished('w3');
    await deployment.advance(5000);
    for (const id of ['w1', 'w2', 'w3']) deployment.ended.add(id);
    loads.noteFailed(backEndOf('w2'), MODEL);
    await deployment.advance(PROCESS_CHECK_MS);
    expect(contents.totals.marks).to.equal(0);
    expect(loads.hasLoadInProgress(SERVICE, MODEL)).to.equal(true);
    loads.noteUnanswered('w1');
    await deployment.advance(PROCESS_CHECK_MS);
    expect(contents.totals.marks).to.equal(1);
  });

  it('observes the crash of a process that another daemon reported', async () => {
    const other = deployment.addDaemon();
    order('w1');
    await deployment.crashUnder(other, 'a request', 'w1');
    expect(loads.lastCrashAt(SERVICE, MODEL)).to.be.a('number');
    expect(loads.hasLoadInProgress(SERVICE, MODEL)).to.equal(false);
  });

  it('lets a suspect be loaded again only once the outcome of its last load is known', async () => {
    await crashUnder('w1', ADAPTER);
    const first = await loads.acquireSlot(SERVICE, ADAPTER, neverAborted);
    order('w2', ADAPTER);
    let isNext = false;
    void loads.acquireSlot(SERVICE, ADAPTER, neverAborted).then((turn) => {
      isNext = true;
      turn.release();
    });
    await deployment.advance(1000);
    expect(isNext).to.equal(false);
    deployment.ended.add('w2');
    loads.noteFailed(backEndOf('w2'), ADAPTER);
    first.release();
    await deployment.advance(50);
    expect(isNext).to.equal(false);
    await deployment.advance(PROCESS_CHECK_MS);
    expect(isNext).to.equal(true);
    const aside = await loads.acquireSlot(SERVICE, MODEL, neverAborted);
    aside.release();
  });
});
