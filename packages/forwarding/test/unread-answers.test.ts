/*
 * Guards against a client that stops reading taking the memory for the answers of others, against its answer looking complete
 * when it is ended, and against clients that pause for a moment losing theirs.
 */
import { expect } from 'chai';
import { silentLog, type EventLog } from '@woodbarrow/observability';
import { encodeText } from '@woodbarrow/runtime';
import { UnreadAnswers, UnreadBudget } from '../src/index.js';
import { ENGINE } from './engines.js';
import { SlowClientExchange } from './slow-client.js';
import { ForwardingWorld, answer } from './simulated-exchange.js';

const EVENT_BYTES = 1000;
const EVENT_MS = 100;

const eventOf = (id: number): string => `id: ${String(id)}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`;

/** Daemon whose streams have `events` events; the budget is absent without `budgetBytes`. */
class Daemon {
  readonly logged: { readonly event: string; readonly details: Readonly<Record<string, unknown>> }[] = [];
  readonly world: ForwardingWorld;
  /** Events read from the worker, by request. */
  readonly produced = new Map<string, number>();
  private readonly handled: Promise<void>[] = [];

  constructor(events: number, budgetBytes?: number) {
    const log: EventLog = {
      changed: (event, details = {}) => void this.logged.push({ event, details }),
      warned: (event, details = {}) => void this.logged.push({ event, details }),
    };
    this.world = new ForwardingWorld(
      [{ kind: 'resumable_stream', timeoutMs: 30_000, maximumAttempts: 4 }],
      ENGINE,
      100,
      true,
      budgetBytes === undefined
        ? undefined
        : (clock) => new UnreadAnswers(new UnreadBudget(budgetBytes), clock, log),
    );
    this.world.add(
      'b1',
      (call) => {
        const resumeAfter = Number(call.headers[call.headers.indexOf('resume') + 1] ?? 0);
        const body = this.events(String(this.world.calls.length), resumeAfter + 1, events);
        return Promise.resolve({ ...answer(200, 'data:'), body });
      },
      ['m'],
    );
  }

  /** Starts a request whose client has an address of its own. */
  start(headers: Record<string, string> = {}): SlowClientExchange {
    const id = String(this.handled.length + 1);
    const exchange = new SlowClientExchange({ id, model: 'm', ...headers }, `10.0.0.${id}`);
    this.handled.push(this.world.forwarder.handle(exchange));
    return exchange;
  }

  async run(durationMs: number): Promise<void> {
    await this.world.world.run(this.world.world.now + durationMs, () => false);
  }

  endedRequests(): unknown[] {
    return this.logged
      .filter(({ event }) => event === 'unread_answer_ended')
      .map(({ details }) => details['request']);
  }

  private async *events(send: string, first: number, last: number): AsyncGenerator<Uint8Array> {
    for (let id = first; id <= last; id += 1) {
      await this.world.wait(EVENT_MS);
      this.produced.set(send, (this.produced.get(send) ?? 0) + 1);
      yield encodeText(eventOf(id));
    }
  }
}

const wholeBody = (events: number, first = 1): string =>
  Array.from({ length: events - first + 1 }, (_, index) => eventOf(first + index)).join('');

describe('A client that stops reading', () => {
  it('is ended as incomplete when the budget is exceeded, while the others are served', async () => {
    const daemon = new Daemon(40, 16 * EVENT_BYTES);
    const stopped = daemon.start();
    const others = [daemon.start(), daemon.start(), daemon.start()];
    await daemon.run(550);
    stopped.isReading = false;
    await daemon.run(450);
    const pausing = daemon.start();
    await daemon.run(300);
    pausing.isReading = false;
    await daemon.run(1000);
    pausing.readOn();
    await daemon.run(8000);
    for (const other of [...others, pausing])
      expect(other).to.include({ ending: 'complete', body: wholeBody(40) });
    expect(stopped.ending).to.equal('open');
    expect(daemon.produced.get('1')).to.be.lessThan(15);
    expect(daemon.world.forwarder.unreadTotals).to.include({ paused: 1, ended: 0 });
    // New answers that nobody reads exceed the budget: the one without progress for the longest goes.
    const late = [daemon.start(), daemon.start(), daemon.start()];
    for (const exchange of late) exchange.isReading = false;
    await daemon.run(700);
    expect(stopped.ending).to.equal('aborted');
    expect(stopped.body.length).to.be.lessThan(wholeBody(40).length);
    expect(daemon.endedRequests()[0]).to.equal('1');
  });

  it('stops the reading from its worker before the budget is used up, and resumes it', async () => {
    const daemon = new Daemon(20, 8 * EVENT_BYTES);
    const client = daemon.start();
    client.isReading = false;
    await daemon.run(3000);
    expect(daemon.produced.get('1')).to.be.lessThan(10);
    expect(daemon.world.forwarder.unreadTotals).to.include({ paused: 1, ended: 0 });
    expect(daemon.logged.map(({ event }) => event)).to.deep.equal(['unread_answers_paused']);
    client.readOn();
    await daemon.run(3000);
    expect(client).to.include({ ending: 'complete', body: wholeBody(20) });
    expect(daemon.world.forwarder.unreadTotals).to.deep.equal({ bytes: 0, paused: 0, ended: 0 });
  });

  it('can resume its stream after it was ended', async () => {
    const daemon = new Daemon(10, EVENT_BYTES);
    const client = daemon.start();
    await daemon.run(350);
    client.isReading = false;
    await daemon.run(5000);
    expect(client).to.include({ ending: 'aborted', body: wholeBody(3) });
    const retry = daemon.start({ resume: '3' });
    await daemon.run(3000);
    expect(retry).to.include({ ending: 'complete', body: wholeBody(10, 4) });
  });

  it('does not get a complete answer if it is ended after the last event was written', async () => {
    const daemon = new Daemon(3, 2 * EVENT_BYTES);
    const client = daemon.start();
    client.isReading = false;
    await daemon.run(450);
    expect(client.ending).to.equal('open');
    await daemon.run(4000);
    expect(client).to.include({ ending: 'aborted', body: '' });
    expect(daemon.endedRequests()).to.deep.equal(['1']);
    expect(daemon.world.forwarder.unreadTotals).to.deep.equal({ bytes: 0, paused: 0, ended: 1 });
  });

  it('is ended and counted once, also while its connection is still closing', async () => {
    const { process, world } = new ForwardingWorld([{}]);
    const unread = new UnreadAnswers(new UnreadBudget(1000), process, silentLog);
    let ends = 0;
    const meter = unread.watch({
      requestId: 'x',
      caller: 'client',
      unreadBytes: () => 2000,
      end: () => (ends += 1),
    });
    void meter.admit(2000, undefined);
    await world.run(2000, () => false);
    expect(meter.admit(0, undefined)).to.equal(undefined);
    meter.release();
    await world.run(6000, () => false);
    expect(ends).to.equal(1);
    expect(unread.totals).to.deep.equal({ bytes: 0, paused: 0, ended: 1 });
  });

  it('is neither observed nor paused without a budget', async () => {
    const daemon = new Daemon(10);
    const client = daemon.start();
    client.isReading = false;
    await daemon.run(20_000);
    expect(client).to.include({ ending: 'open', observations: 0 });
    expect(daemon.produced.get('1')).to.equal(10);
    expect(daemon.world.forwarder.unreadTotals).to.deep.equal({ bytes: 0, paused: 0, ended: 0 });
    client.readOn();
    expect(client).to.include({ ending: 'complete', body: wholeBody(10) });
  });
});
