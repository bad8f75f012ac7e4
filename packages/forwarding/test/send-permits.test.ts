import { expect } from 'chai';
import { UNLIMITED_PERMIT, type SendPermits } from '../src/index.js';
import { ENGINE } from './engines.js';
import { ForwardingWorld, answer, type BackendScript } from './simulated-exchange.js';

const serve: BackendScript = () => Promise.resolve(answer(200, 'served'));
const fail: BackendScript = () => Promise.resolve(answer(500, 'failed'));
const WAIT_MS = 300;

/** Grants a limited number of permits for some back ends, and unlimited ones for all others. */
class CountedPermits implements SendPermits {
  readonly requested: string[] = [];
  readonly refunded: string[] = [];
  private readonly closed = new Set<string>();

  constructor(private readonly remaining: Map<string, number>) {}

  waitMs(backEndId: string): number {
    return this.closed.has(backEndId) ? WAIT_MS : 0;
  }

  acquire({ id }: { readonly id: string }): ReturnType<SendPermits['acquire']> {
    this.requested.push(id);
    const left = this.remaining.get(id) ?? Infinity;
    if (left <= 0) {
      this.closed.add(id);
      return Promise.resolve(undefined);
    }
    this.remaining.set(id, left - 1);
    return Promise.resolve({
      isValid: () => true,
      refund: () => void this.refunded.push(id),
      end: () => undefined,
    });
  }
}

describe('SendPermits', () => {
  const worldWith = (
    left: Readonly<Record<string, number>>,
    ...options: ConstructorParameters<typeof ForwardingWorld>
  ): { readonly world: ForwardingWorld; readonly permits: CountedPermits } => {
    const world = new ForwardingWorld(...options);
    const permits = new CountedPermits(new Map(Object.entries(left)));
    world.permits = permits;
    return { world, permits };
  };

  it('are acquired for each send, including retries', async () => {
    const { world, permits } = worldWith({}, [{ kind: 'repeatable', maximumAttempts: 3 }]);
    for (const id of ['b1', 'b2', 'b3']) world.add(id, fail);
    await world.ask();
    expect(world.calls.map(({ address }) => address)).to.deep.equal(permits.requested);
    expect(permits.requested).to.have.length(3);
  });

  it('direct requests to other back ends when one grants no more', async () => {
    const { world } = worldWith({ b1: 1 }, [{ kind: 'once' }]);
    world.add('b1', serve);
    world.add('b2', serve);
    for (let index = 0; index < 6; index += 1) expect((await world.ask()).status).to.equal(200);
    expect(world.calls.filter(({ address }) => address === 'b1')).to.have.length(1);
  });

  it('lead to an immediate refusal with the shortest wait when no back end grants one', async () => {
    const { world } = worldWith({ b1: 0, b2: 0 }, [{ kind: 'once' }]);
    world.add('b1', serve);
    world.add('b2', serve);
    const startedAt = world.world.now;
    const exchange = await world.ask();
    expect(exchange.status).to.equal(503);
    expect(exchange.answerHeaders).to.deep.equal(['retry', String(WAIT_MS / 1000)]);
    expect(world.world.now - startedAt).to.be.below(5);
    expect(world.refusals).to.deep.equal(['not_accepting']);
    expect(world.calls).to.have.length(0);
  });

  it('are acquired for a resumed stream', async () => {
    const { world, permits } = worldWith({ b1: 1, b2: 1 }, [{ kind: 'resumable_stream' }], ENGINE);
    const script: BackendScript = (call) =>
      Promise.resolve(
        (call.headers[3] ?? '') === ''
          ? answer(200, 'id: 0\ndata: a\n\n', new Error('cut'))
          : answer(200, 'id: 1\ndata: b\n\n'),
      );
    world.add('b1', script, ['m']);
    world.add('b2', script, ['m']);
    expect((await world.ask({ model: 'm' })).ending).to.equal('complete');
    expect([...permits.requested].sort()).to.deep.equal(['b1', 'b2']);
  });

  it('cause a load on another worker when the holders grant no more', async () => {
    const { world } = worldWith({ b1: 0 }, [{ kind: 'stream' }], ENGINE);
    world.add('b1', serve, ['m']);
    world.add('b2', () => Promise.resolve(answer(200, 'data: a\n\n')), []);
    world.residency = () => {
      world.directory.announce('b2', { model: 'm' }, true);
      return Promise.resolve({ held: true, backEndId: 'b2' });
    };
    expect((await world.ask({ model: 'm' })).status).to.equal(200);
    expect(world.demands.map(({ without }) => without)).to.deep.equal([['b1']]);
  });

  it('are acquired after waiting for a load, when the worker may grant no more', async () => {
    const { world } = worldWith({ b1: 0 }, [{ kind: 'stream' }], ENGINE);
    world.add('b1', serve);
    world.residency = async ({ without }) => {
      if (without.includes('b1')) return { held: false, retryAfterMs: 900, reason: 'none' };
      await world.wait(500);
      world.directory.announce('b1', { model: 'm' }, true);
      return { held: true, backEndId: 'b1' };
    };
    const exchange = await world.ask({ model: 'm' });
    expect(exchange.status).to.equal(503);
    expect(exchange.answerHeaders).to.deep.equal(['retry', String(WAIT_MS / 1000)]);
    expect(world.calls).to.have.length(0);
  });

  it('are returned when the request did not reach the back end', async () => {
    const { world, permits } = worldWith({}, [{ kind: 'once' }]);
    world.add('b1', serve);
    world.scripts.delete('b1');
    expect((await world.ask()).status).to.equal(503);
    expect(permits.refunded).to.deep.equal(['b1']);
  });

  it('are returned when they arrive after the deadline of the request', async () => {
    const { world, permits } = worldWith({}, [{ kind: 'once', timeoutMs: 400 }]);
    world.add('b1', serve);
    world.permits = {
      waitMs: () => 0,
      acquire: async (backEnd) => {
        await world.wait(500);
        return permits.acquire(backEnd);
      },
    };
    const startedAt = world.world.now;
    expect((await world.ask()).status).to.equal(503);
    expect(world.world.now - startedAt).to.be.at.most(400);
    await world.world.run(1000);
    expect(world.calls).to.have.length(0);
    expect(permits.refunded).to.deep.equal(['b1']);
  });

  /**
   * Guards against sending to a back end that started draining, or disappeared, while the request waited for its permit.
   */
  it('are not used for a back end that started draining or disappeared after it was chosen', async () => {
    for (const isGone of [false, true]) {
      const { world } = worldWith({}, [{ kind: 'stream' }], ENGINE);
      const holder = world.add('b1', serve, ['m']);
      world.permits = {
        waitMs: () => 0,
        acquire: async () => {
          await world.wait(200);
          if (isGone) world.directory.remove('b1');
          else world.directory.put({ ...holder, draining: true });
          return UNLIMITED_PERMIT;
        },
      };
      expect((await world.ask({ model: 'm' })).status).to.equal(503);
      expect(world.calls).to.have.length(0);
    }
  });
});
