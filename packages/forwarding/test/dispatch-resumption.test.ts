/** Guards against streams under way that wait for a place behind new requests; their clients see a pause. */
import { expect } from 'chai';
import { BackendDirectory, LoadTracker, NO_NEARBY_COPIES, type BackEnd } from '@woodbarrow/backends';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  DispatchQueue,
  LESS_URGENT_EVERY,
  noopJournal,
  type DispatchOutcome,
  type DispatchRequest,
} from '../src/index.js';
import { FULL_ENGINE } from './full-workers.js';

const WORKER: BackEnd = {
  id: 'w',
  name: 'w',
  service: 'service',
  address: 'w',
  zone: 'a',
  slots: FULL_ENGINE.slots,
  draining: false,
  models: [{ name: 'm', adapters: [] }],
  nearby: NO_NEARBY_COPIES,
};
const SIZE = { promptTokens: 1, outputTokens: 0 };

describe('A stream under way that waits for a place', () => {
  const clock = new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'a', region: 'r' });
  let loads: LoadTracker;
  let outcomes: Map<string, DispatchOutcome>;

  beforeEach(() => {
    loads = new LoadTracker(clock);
    outcomes = new Map();
  });

  function createQueue(daemons: number): DispatchQueue {
    const directory = new BackendDirectory(clock);
    directory.put(WORKER);
    return new DispatchQueue(directory, loads, noopJournal, () => daemons, new Random(1), clock);
  }

  function ask(queue: DispatchQueue, request: Partial<DispatchRequest> & { readonly id: string }): void {
    void queue
      .wait({
        service: 'service',
        target: { model: 'm' },
        engine: FULL_ENGINE,
        tokens: 1,
        priority: 0,
        targetBy: clock.monotonic() + 1000,
        startBy: clock.monotonic() + 5000,
        isResumption: false,
        signal: new AbortController().signal,
        holders: () => [WORKER],
        cheapest: ([holder]) => holder,
        onQueued: () => undefined,
        ...request,
      })
      .then((outcome) => outcomes.set(request.id, outcome));
  }

  function fill(requests: number): (() => void)[] {
    return Array.from({ length: requests }, () => {
      const ticket = loads.start('w', { model: 'm' }, SIZE);
      return () => {
        ticket.ended();
      };
    });
  }

  async function kindOf(id: string): Promise<string | undefined> {
    await new Promise(setImmediate);
    return outcomes.get(id)?.kind;
  }

  it('takes a free slot although the share of this daemon is used up', async () => {
    fill(FULL_ENGINE.slots - 1);
    const waiting = { backEndId: 'waiting/0/m', target: '', requests: 1000, unreadTokens: 0, heldTokens: 0 };
    loads.acceptReport('relay', 'all', { loads: [{ ...waiting, endsInMs: 0 }], demand: [] });
    const queue = createQueue(1000);
    ask(queue, { id: 'new' });
    expect(await kindOf('new')).to.equal(undefined);
    ask(queue, { id: 'resumed', isResumption: true });
    expect(await kindOf('resumed')).to.equal('placed');
  });

  it('is not passed by a less urgent new request whose turn it is', async () => {
    const queue = createQueue(1);
    const running = fill(FULL_ENGINE.slots);
    ask(queue, { id: 'batch', priority: 2 });
    for (let place = 1; place < LESS_URGENT_EVERY; place += 1) {
      ask(queue, { id: `urgent-${String(place)}` });
      running.pop()?.();
      queue.noteEnded('service', 0, 100);
      expect(await kindOf(`urgent-${String(place)}`)).to.equal('placed');
    }
    ask(queue, { id: 'resumed', priority: 1, isResumption: true });
    running.pop()?.();
    queue.noteEnded('service', 0, 100);
    expect(await kindOf('resumed')).to.equal('placed');
    expect(await kindOf('batch')).to.equal(undefined);
  });
});
