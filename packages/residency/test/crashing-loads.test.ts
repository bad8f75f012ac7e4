import { expect } from 'chai';
import type { ModelTarget } from '@woodbarrow/backends';
import { CRASHES_FOR_VERDICT, QUARANTINE_MS, loadContent } from '@woodbarrow/quarantine';
import { CrashingLoadsWorld, WORKERS_PER_ZONE, type CoordinatedZone } from './crashing-loads-world.js';
import { SERVICE } from './zone-world.js';

const CRASHING = { model: 'm7' };
const HARMLESS = { model: 'm5' };
const CRASHING_ADAPTER = { model: 'm4', adapter: 'a1', adapterVersion: 2 };
const ZONE_COUNT = 3;
/**
 * Time for which the load is requested, in milliseconds; covers several demand lifetimes and worker restarts.
 */
const REQUEST_PERIOD_MS = 60_000;
/** Time until all daemons know of a crash under a load, in milliseconds; shorter than a load. */
const CRASH_DETECTION_MS = 1000;
/** Time within which a load completes, in milliseconds. */
const LOAD_COMPLETION_MS = 3000;

function isCrashing(target: ModelTarget): boolean {
  return isSame(target, CRASHING) || isSame(target, CRASHING_ADAPTER);
}

function isSame(left: ModelTarget, right: ModelTarget): boolean {
  return loadContent(SERVICE, left) === loadContent(SERVICE, right);
}

describe('a load that crashes every worker that starts it', () => {
  let scene: CrashingLoadsWorld;
  /** Whether the crashing targets crash their workers. */
  let isBroken: boolean;
  let first: CoordinatedZone;

  async function start(seed: number): Promise<void> {
    isBroken = true;
    scene = new CrashingLoadsWorld(seed, (target) => isBroken && isCrashing(target));
    await scene.start(ZONE_COUNT);
    [first] = scene.zones as [CoordinatedZone];
  }

  async function crashWorkers(count: number): Promise<void> {
    while (scene.exitedWorkers.length < count) await scene.keepAsking(CRASHING, 100, [first]);
  }

  it('crashes only three workers when one coordinator is asked for it repeatedly', async () => {
    await start(1);
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS, [first]);
    expect(scene.exitedWorkers).to.have.length(CRASHES_FOR_VERDICT);
  });

  it('crashes at most one worker per zone and one more when all coordinators start it at once', async () => {
    await start(2);
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS);
    expect(scene.exitedWorkers.length).to.be.within(CRASHES_FOR_VERDICT, ZONE_COUNT + 1);
  });

  it('is tried by one coordinator at a time once a worker has crashed under it', async () => {
    await start(3);
    await crashWorkers(1);
    await scene.advance(CRASH_DETECTION_MS);
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS);
    expect(scene.exitedWorkers).to.have.length(CRASHES_FOR_VERDICT);
  });

  it('is refused at once by every coordinator after the verdict, while other models are loaded', async () => {
    await start(4);
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS, [first]);
    scene.answers.splice(0);
    for (const zone of scene.zones) scene.ask(zone, CRASHING);
    await scene.advance(50);
    expect(scene.answers).to.have.length(ZONE_COUNT);
    for (const { held, reason, retryAfterMs } of scene.answers) {
      expect({ held, reason }).to.deep.equal({ held: false, reason: 'load_quarantined' });
      expect(retryAfterMs).to.be.within(QUARANTINE_MS - 2 * REQUEST_PERIOD_MS, QUARANTINE_MS);
    }
    scene.answers.splice(0);
    scene.ask(first, HARMLESS);
    await scene.advance(LOAD_COMPLETION_MS);
    expect(scene.answers[0]).to.include({ held: true });
  });

  it('is not ordered by coordinators that start after the verdict once all earlier ones are gone', async () => {
    await start(5);
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS, [first]);
    await scene.restartAll();
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS);
    expect(scene.exitedWorkers).to.have.length(CRASHES_FOR_VERDICT);
    expect([...scene.records.values()][0]).to.include({ load: 'models m7', route: '' });
  });

  it('is loaded again once an operator has removed its quarantine', async () => {
    await start(6);
    await scene.keepAsking(CRASHING, REQUEST_PERIOD_MS, [first]);
    isBroken = false;
    await scene.store.remove(loadContent(SERVICE, CRASHING));
    scene.answers.splice(0);
    scene.ask(first, CRASHING);
    await scene.advance(LOAD_COMPLETION_MS);
    expect(scene.answers[0]).to.include({ held: true });
  });

  it('is quarantined per adapter: its model and other versions of the adapter are still loaded', async () => {
    await start(7);
    scene.ask(first, { model: CRASHING_ADAPTER.model });
    await scene.advance(LOAD_COMPLETION_MS);
    await scene.keepAsking(CRASHING_ADAPTER, REQUEST_PERIOD_MS, [first]);
    expect(scene.exitedWorkers).to.have.length(CRASHES_FOR_VERDICT);
    expect(scene.isQuarantined(CRASHING_ADAPTER)).to.equal(true);
    expect(scene.isQuarantined({ model: CRASHING_ADAPTER.model })).to.equal(false);
    scene.answers.splice(0);
    scene.ask(first, { ...CRASHING_ADAPTER, adapterVersion: 3 });
    await scene.advance(LOAD_COMPLETION_MS);
    expect(scene.answers[0]).to.include({ held: true });
  });

  it('is tried on one worker at a time if it is an adapter under which a worker has crashed', async () => {
    await start(11);
    const { model } = CRASHING_ADAPTER;
    for (let count = 0; count < WORKERS_PER_ZONE; count += 1) {
      scene.ask(first, { model }, scene.holdersIn(first, model));
      await scene.advance(LOAD_COMPLETION_MS);
    }
    scene.ask(first, CRASHING_ADAPTER);
    await scene.advance(CRASH_DETECTION_MS);
    const holders = scene.holdersIn(first, model);
    expect(holders).to.have.length(WORKERS_PER_ZONE - 1);
    for (const holder of holders) {
      scene.ask(
        first,
        CRASHING_ADAPTER,
        holders.filter((id) => id !== holder),
      );
    }
    await scene.advance(REQUEST_PERIOD_MS);
    expect(scene.exitedWorkers).to.have.length(CRASHES_FOR_VERDICT);
  });

  it('is no longer a suspect once it has succeeded anywhere', async () => {
    await start(8);
    await crashWorkers(CRASHES_FOR_VERDICT - 1);
    isBroken = false;
    scene.ask(scene.zones[1] as CoordinatedZone, CRASHING);
    await scene.advance(LOAD_COMPLETION_MS);
    for (const { quarantine } of scene.zones) expect(quarantine.loads.totals.suspects).to.equal(0);
  });

  it('is not quarantined when all workers that load it exit at once, as in the failure of a rack', async () => {
    await start(9);
    isBroken = false;
    for (const zone of scene.zones) scene.ask(zone, CRASHING);
    await scene.advance(300);
    for (const worker of scene.workers.values()) worker.exit();
    await scene.advance(CRASH_DETECTION_MS);
    expect(first.quarantine.contents.totals).to.include({ marks: ZONE_COUNT, suspects: 1, quarantined: 0 });
    scene.answers.splice(0);
    scene.ask(first, CRASHING);
    await scene.advance(2 * LOAD_COMPLETION_MS);
    expect(scene.answers[0]).to.include({ held: true });
    expect(first.quarantine.loads.totals).to.deep.equal({ suspects: 0, quarantined: 0, refused: 0 });
  });

  it('is not marked when the worker that exits under it was draining', async () => {
    await start(10);
    isBroken = false;
    scene.ask(first, CRASHING);
    await scene.advance(300);
    const loading = [...scene.workers].filter(([, worker]) => worker.report().busy);
    for (const [id, worker] of loading) {
      const record = scene.directory.get(id);
      if (record !== undefined) scene.directory.put({ ...record, draining: true });
      await scene.advance(50);
      worker.exit();
    }
    await scene.advance(LOAD_COMPLETION_MS);
    expect(scene.exitedWorkers).to.have.length(1);
    expect(first.quarantine.contents.totals.marks).to.equal(0);
  });
});
