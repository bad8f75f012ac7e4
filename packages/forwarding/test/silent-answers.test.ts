/*
 * Guards against answers that are cut because their back end is silent for a while: only another run that has been granted may end
 * one, and where none is, the client gets the rest when the back end goes on.
 */
import { expect } from 'chai';
import type { BackendCall } from '@woodbarrow/runtime';
import { ENGINE } from './engines.js';
import { allowanceOf } from './retry-allowances.js';
import { ForwardingWorld, answer, timed, type BackendScript, type Pause } from './simulated-exchange.js';
import type { RetryAllowance, Route } from '../src/index.js';

const GAP_MS = 100;
/** Time without data after which another run is sought: 2.5 times the target gap. */
const LIMIT_MS = 250;
const OVERLAP_MS = 250;
const STREAM: Partial<Route> = {
  kind: 'resumable_stream',
  targetGapMs: GAP_MS,
  clientGapMs: 2000,
  timeoutMs: 10_000,
  maximumAttempts: 2,
};
const NO_RETRIES: RetryAllowance = {
  acquire: () => Promise.resolve({ kind: 'withheld', reason: 'used_up' }),
};

function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += `id: ${String(id)}\ndata: ${String(id)}\n\n`;
  return text;
}

type TimedAnswer = ReturnType<typeof timed>;

/** A world whose back ends answer with the given pieces in turn. */
class SilentWorld {
  readonly world: ForwardingWorld;
  readonly answers: TimedAnswer[] = [];
  readonly sentAt: number[] = [];

  constructor(route: Partial<Route>, ...runs: readonly (readonly (string | Pause)[] | BackendScript)[]) {
    this.world = new ForwardingWorld([{ ...STREAM, ...route }], ENGINE);
    let sends = 0;
    const script: BackendScript = (call, world) => {
      const run = runs[sends] ?? [];
      sends += 1;
      this.sentAt.push(world.world.now);
      return typeof run === 'function' ? run(call, world) : Promise.resolve(this.answerTo(call, run));
    };
    for (const id of ['b1', 'b2', 'b3', 'b4']) this.world.add(id, script, ['m']);
  }

  private answerTo(call: BackendCall, pieces: readonly (string | Pause)[]): TimedAnswer {
    const created = timed(this.world, call, 200, ...pieces);
    this.answers.push(created);
    return created;
  }

  async ask(): Promise<{ body: string; ending: string; status: number; sends: number; tookMs: number }> {
    const startedAt = this.world.world.now;
    const { body, ending, status } = await this.world.ask({ model: 'm' });
    const tookMs = this.world.world.now - startedAt;
    return { body, ending, status, sends: this.world.calls.length, tookMs };
  }
}

const WHOLE = events(1, 4);
const PAUSED = [events(1, 2), { pauseMs: 1000 }, events(3, 4)];

describe('An answer whose back end is silent', () => {
  it('is not cut while no retry is granted, and goes on with the data of its own run', async () => {
    const silent = new SilentWorld({}, PAUSED);
    silent.world.allowance = NO_RETRIES;
    expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete', sends: 1 });
  });

  it('is not cut when no attempt is left, however long the back end is silent', async () => {
    for (const pauseMs of [600, 1400, 4000]) {
      const silent = new SilentWorld({ maximumAttempts: 1 }, [events(1, 2), { pauseMs }, events(3, 4)]);
      expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete', sends: 1 });
    }
  });

  it('is not cut when each of several back ends falls silent in turn', async () => {
    const second = [events(3, 3), { pauseMs: 1500 }, events(4, 4)];
    const silent = new SilentWorld({}, PAUSED, second);
    expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete', sends: 2 });
  });

  it('is not cut when its only back end pauses several times', async () => {
    const pauses = [events(1, 1), { pauseMs: 1200 }, events(2, 2), { pauseMs: 1200 }, events(3, 4)];
    const silent = new SilentWorld({}, pauses);
    silent.world.allowance = NO_RETRIES;
    expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete', sends: 1 });
  });

  it('goes on elsewhere as soon as another run is granted', async () => {
    const silent = new SilentWorld({}, [events(1, 2), { pauseMs: 60_000 }], [events(3, 4)]);
    const { body, ending, sends, tookMs } = await silent.ask();
    expect({ body, ending, sends }).to.deep.equal({ body: WHOLE, ending: 'complete', sends: 2 });
    expect(tookMs).to.be.within(LIMIT_MS, LIMIT_MS + 50);
    expect(silent.answers[0]?.givenUpAt()).to.equal(silent.sentAt[1]);
  });

  it('goes on elsewhere when a retry is granted later, while its back end is still silent', async () => {
    const silent = new SilentWorld({}, [events(1, 2), { pauseMs: 60_000 }], [events(3, 4)]);
    const { world } = silent;
    world.allowance = NO_RETRIES;
    world.process.schedule(900, () => {
      world.allowance = allowanceOf(1, 10_000, world.process);
    });
    const { body, ending, tookMs } = await silent.ask();
    expect({ body, ending }).to.deep.equal({ body: WHOLE, ending: 'complete' });
    expect(tookMs).to.be.within(900, 1300);
  });

  it('goes on with its own run when the other back end turns the request away or fails', async () => {
    const refusals: BackendScript[] = [
      () => Promise.resolve(answer(503)),
      () => Promise.resolve(answer(500, 'failed')),
      () => Promise.resolve(answer(404, 'no such thing')),
      () => Promise.reject(new Error('reset')),
    ];
    for (const refuses of refusals) {
      const silent = new SilentWorld({ maximumAttempts: 3 }, PAUSED, refuses, refuses, refuses);
      expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete' });
      expect(silent.answers[0]?.givenUpAt()).to.equal(undefined);
    }
  });

  it('is given up within the overlap when the other back end does not answer, as only one may work on it', async () => {
    const neverAnswers: BackendScript = () => new Promise(() => undefined);
    const silent = new SilentWorld({}, [events(1, 2), { pauseMs: 5000 }, events(3, 4)], neverAnswers);
    await silent.ask();
    const keptMs = (silent.answers[0]?.givenUpAt() ?? Infinity) - (silent.sentAt[1] ?? 0);
    expect(keptMs).to.be.within(OVERLAP_MS, OVERLAP_MS + 5);
  });

  it('uses no more retries than are granted, and gives back those that it did not need', async () => {
    const silent = new SilentWorld({}, [events(1, 2), { pauseMs: LIMIT_MS + 60 }, events(3, 4)]);
    const { world } = silent;
    let refunds = 0;
    world.allowance = {
      acquire: async () => {
        await world.wait(100);
        return {
          kind: 'allowed',
          permit: { source: 'granted', isValid: () => true, refund: () => (refunds += 1) },
        };
      },
    };
    expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete', sends: 1 });
    await world.world.run(world.world.now + 500);
    expect(refunds).to.equal(1);
    expect(world.calls).to.have.length(1);
  });

  it('ends when its process is known to have ended', async () => {
    const silent = new SilentWorld({ maximumAttempts: 1 }, [events(1, 2), { pauseMs: 60_000 }]);
    silent.world.probe = () => 'replaced';
    const { body, ending, tookMs } = await silent.ask();
    expect({ body, ending }).to.deep.equal({ body: events(1, 2), ending: 'aborted' });
    expect(tookMs).to.be.below(1000);
  });

  it('ends at the time-out of its route', async () => {
    const route = { maximumAttempts: 1, timeoutMs: 2000 };
    const silent = new SilentWorld(route, [events(1, 2), { pauseMs: 60_000 }]);
    const { ending, tookMs } = await silent.ask();
    expect(ending).to.equal('aborted');
    expect(tookMs).to.be.within(1990, 2010);
  });

  it('is not cut while the daemon stops', async () => {
    const silent = new SilentWorld({}, PAUSED);
    silent.world.process.schedule(100, () => {
      silent.world.stop.abort();
    });
    expect(await silent.ask()).to.include({ body: WHOLE, ending: 'complete', sends: 1 });
  });
});

describe('An answer that has not begun, or that no other run can go on with', () => {
  const LARGE = 'x'.repeat(70_000);

  it('of a repeatable request is awaited when no retry is granted', async () => {
    const late: BackendScript = async (_call, world) => {
      await world.wait(900);
      return answer(200, 'served');
    };
    const silent = new SilentWorld({ kind: 'repeatable', timeoutMs: 3000 }, late);
    silent.world.allowance = NO_RETRIES;
    expect(await silent.ask()).to.include({ status: 200, body: 'served', ending: 'complete', sends: 1 });
  });

  it('comes from another back end when a retry is granted', async () => {
    const neverAnswers: BackendScript = () => new Promise(() => undefined);
    const serves: BackendScript = () => Promise.resolve(answer(200, 'served'));
    const silent = new SilentWorld({ kind: 'repeatable', timeoutMs: 3000 }, neverAnswers, serves);
    const { body, sends, tookMs } = await silent.ask();
    expect({ body, sends }).to.deep.equal({ body: 'served', sends: 2 });
    expect(tookMs).to.be.below(400);
  });

  it('is not ended by silence once a part of a large body has been passed on', async () => {
    const silent = new SilentWorld({ kind: 'repeatable' }, [LARGE, { pauseMs: 1500 }, 'end']);
    const { body, ending, sends } = await silent.ask();
    expect({ length: body.length, ending, sends }).to.deep.equal({
      length: LARGE.length + 3,
      ending: 'complete',
      sends: 1,
    });
  });

  it('never reaches more back ends than the route allows', async () => {
    const neverAnswers: BackendScript = () => new Promise(() => undefined);
    for (const maximumAttempts of [1, 2, 3]) {
      const route = { kind: 'repeatable', maximumAttempts, timeoutMs: 3000 } as const;
      const silent = new SilentWorld(route, neverAnswers, neverAnswers, neverAnswers, neverAnswers);
      expect(await silent.ask()).to.include({ status: 504, sends: maximumAttempts });
    }
  });
});
