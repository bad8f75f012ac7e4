import { expect } from 'chai';
import { WoodbarrowError } from '@woodbarrow/errors';
import { silentLog } from '@woodbarrow/observability';
import { LoadTimes, UncertainOrderTotals, WorkerOrders, type SwapOrder } from '../src/index.js';
import { ZONE, ZoneWorld } from './zone-world.js';

/** Time of a load and of an unload on the test worker, in milliseconds. */
const LOAD_MS = 600;
const UNLOAD_MS = 80;
/** Maximum delay until the end of a load is detected, in milliseconds: one poll interval and a round trip. */
const MAX_NOTICE_DELAY_MS = 45;

describe('WorkerOrders', () => {
  let zone: ZoneWorld;
  let worker: WorkerOrders;
  let mayOrder: boolean;

  beforeEach(async () => {
    mayOrder = true;
    zone = new ZoneWorld(61, 1);
    worker = new WorkerOrders({
      backEndId: 'w0',
      directory: zone.directory,
      loads: zone.loads,
      orders: zone.orders,
      authority: {
        holder: 'daemon',
        currentFence: () => {
          if (!mayOrder) throw new WoodbarrowError('lease_lost', 'no orders now');
          return 1;
        },
        isRevoked: () => false,
      },
      engine: () => zone.engine,
      times: new LoadTimes(),
      quarantine: zone.quarantine.loads,
      uncertainTotals: new UncertainOrderTotals(),
      clock: zone.process,
      log: silentLog,
      signal: new AbortController().signal,
      announce: () => undefined,
    });
    await zone.settle(worker.synchronize());
  });

  async function swapDurationMs(order: Partial<SwapOrder>): Promise<number> {
    const startedAt = zone.world.now;
    const swap = {
      model: 'm5',
      victims: [],
      unloadMs: 0,
      loadMs: LOAD_MS,
      source: 'disk' as const,
      ...order,
    };
    expect(await zone.settle(worker.swap(swap))).to.equal(true);
    return zone.world.now - startedAt;
  }

  it('detects the end of a load promptly, whatever its expected time', async () => {
    for (const [index, loadMs] of [100, LOAD_MS, 5000].entries()) {
      const tookMs = await swapDurationMs({
        model: `m${String(index + 5)}`,
        victims: index === 0 ? [] : [`m${String(index + 4)}`],
        loadMs,
      });
      expect(tookMs, `expected ${String(loadMs)}`).to.be.within(
        LOAD_MS,
        LOAD_MS + UNLOAD_MS + 2 * MAX_NOTICE_DELAY_MS,
      );
    }
    expect(zone.violations()).to.deep.equal([]);
  });

  it('calls back when the worker has accepted the load', async () => {
    let takenAt = 0;
    const startedAt = zone.world.now;
    const onLoadTaken = (): void => {
      takenAt = zone.world.now;
    };
    const tookMs = await swapDurationMs({ victims: ['m0'], onLoadTaken });
    expect(takenAt - startedAt).to.be.within(UNLOAD_MS, UNLOAD_MS + MAX_NOTICE_DELAY_MS);
    expect(tookMs - (takenAt - startedAt)).to.be.within(LOAD_MS, LOAD_MS + MAX_NOTICE_DELAY_MS);
  });

  /** Guards against a lease that is released while an order of its holder is still on its way to a silent worker. */
  it('tells for how long an order without an answer may still arrive, once its call has ended', async () => {
    expect(await zone.settle(worker.settleCalls())).to.equal(0);
    zone.orders.faults = { answerLost: 0, appliedLate: 1 };
    const startedAt = zone.world.now;
    void worker.swap({ model: 'm5', victims: [], unloadMs: 0, loadMs: LOAD_MS, source: 'disk' });
    await zone.world.run(startedAt + 5);
    const remainingMs = await zone.settle(worker.settleCalls());
    const waitedMs = zone.world.now - startedAt;
    expect(waitedMs).to.be.above(300);
    expect(remainingMs + waitedMs).to.be.within(1450, 1550);
  });

  /** Guards against adapters that keep their slot for good after the lease forbade an order for a moment. */
  it('loads adapters again after the lease forbade their orders for a while', async () => {
    const load = (adapter: string): Promise<boolean> =>
      zone.settle(worker.loadAdapter({ model: 'm0', adapter }, 500).catch(() => false));
    for (const adapter of ['a1', 'a2', 'a3']) expect(await load(adapter)).to.equal(true);
    mayOrder = false;
    // The first needs the slot of another one, whose unload is forbidden as well.
    for (const adapter of ['a4', 'a5', 'a6']) expect(await load(adapter)).to.equal(false);
    mayOrder = true;
    await zone.world.run(zone.world.now + 2000);
    for (const adapter of ['a4', 'a1', 'a5', 'a6']) expect(await load(adapter), adapter).to.equal(true);
  });

  it('eventually loads a model when orders are unanswered or executed late', async () => {
    for (let seed = 70; seed < 90; seed += 1) {
      const other = new ZoneWorld(seed);
      other.orders.faults = { answerLost: 0.3, appliedLate: 0.3 };
      const coordinator = await other.coordinator();
      const message = {
        zone: ZONE,
        service: 'models',
        model: 'm7',
        priority: 1,
        without: [],
        mayUseStore: true,
      };
      const answer = await other.settle(coordinator.demand({ ...message, withinMs: 60_000 }));
      expect(answer.held, `seed ${String(seed)}`).to.equal(true);
      expect(other.violations()).to.deep.equal([]);
    }
  });
});
