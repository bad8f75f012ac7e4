import { expect } from 'chai';
import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { UndiciHttpClient, readText } from '@woodbarrow/runtime';
import { EngineClient, type CompletionStart } from '../src/index.js';

const INVENTORY = {
  workerId: 'worker-1',
  accelerators: 1,
  memoryGib: 80,
  fence: 1,
  generation: 1,
  draining: false,
  cacheGeneration: 1,
  models: [],
};

/** How the engine answers a request, apart from its head. */
interface Answer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: unknown;
}

const DECLINED: Answer = { status: 503, headers: { 'x-not-started': 'true' }, body: {} };
const COMPLETED: Answer = { status: 200, body: { id: 'completed' } };

/** Behaviour of a {@link RepeatingEngine}. */
interface EngineBehaviour {
  /** Answers to the requests, in their order; then each is completed. */
  readonly answers?: readonly Answer[];
  /** Whether answers repeat the id of their call. @default true */
  readonly namesCalls?: boolean;
  /** Whether a second answer to the request before is sent when the next one arrives on the same connection. @default true */
  readonly repeats?: boolean;
  readonly sendsEarlyHints?: boolean;
}

/** Engine that sends late second answers. */
class RepeatingEngine {
  readonly sockets = new Set<Socket>();
  /** Requests received. */
  requests = 0;
  /** Second answers sent. */
  repeated = 0;
  private readonly server: Server;

  constructor(private readonly behaviour: EngineBehaviour) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      let lastAnswer = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        const head = chunk.toString('latin1');
        const closes = /^connection: close/im.test(head);
        const answer = this.answerTo(head);
        if (lastAnswer === '' || this.behaviour.repeats === false) socket.write(answer);
        else {
          this.repeated += 1;
          socket.write(lastAnswer);
          // The true answer follows in a packet of its own.
          setTimeout(() => socket.write(answer), 20);
        }
        lastAnswer = answer;
        if (closes) socket.end();
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private answerTo(head: string): string {
    const { answers = [], namesCalls = true, sendsEarlyHints = false } = this.behaviour;
    const answer = answers[this.requests] ?? COMPLETED;
    this.requests += 1;
    const [, callId] = /^x-call-id: (.*)$/im.exec(head) ?? [];
    const body = JSON.stringify(answer.body);
    const named = namesCalls && callId !== undefined ? { 'x-call-id': callId.trim() } : {};
    const headers = { ...answer.headers, ...named, 'content-length': String(body.length) };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const hints = sendsEarlyHints ? 'HTTP/1.1 103 Early Hints\r\nlink: </>\r\n\r\n' : '';
    return `${hints}HTTP/1.1 ${String(answer.status)} Status\r\n${lines.join('')}\r\n${body}`;
  }
}

function complete(client: EngineClient, origin: string, requestId: string): Promise<CompletionStart> {
  return client.complete({
    origin,
    path: '/v1/completions',
    body: new Uint8Array([0x7b, 0x7d]),
    requestId,
    model: 'm0',
    adapter: '',
    priority: 0,
    signal: new AbortController().signal,
    headTimeoutMs: 2000,
  });
}

async function failureOf(promise: Promise<unknown>): Promise<string | undefined> {
  try {
    await promise;
    return undefined;
  } catch (error) {
    return (error as Error).message;
  }
}

describe('late second answers of engines', () => {
  let engine: RepeatingEngine;
  let http: UndiciHttpClient;
  beforeEach(() => {
    http = new UndiciHttpClient({ connections: 1 });
  });
  afterEach(async () => {
    await http.close();
    engine.close();
  });

  /** Checks that second answers were sent, unless each call had a connection of its own. */
  function expectRepeats(namesCalls: boolean): void {
    if (namesCalls) expect(engine.repeated, 'second answers').to.be.above(0);
    else expect(engine.sockets.size, 'connections').to.equal(engine.requests);
  }

  // Guards against a run that is started again at another engine because the answer to an earlier call declined it.
  for (const namesCalls of [true, false])
    it(`do not decline the next completion of an engine that names ${namesCalls ? '' : 'no '}calls`, async () => {
      engine = new RepeatingEngine({ namesCalls, answers: [COMPLETED, DECLINED, COMPLETED] });
      const origin = await engine.listen();
      const client = new EngineClient(http);
      const outcomes: string[] = [];
      for (const id of ['r1', 'r2', 'r3']) {
        const start = await complete(client, origin, id);
        outcomes.push(start.outcome);
        if (start.outcome === 'started') await readText(start.response.body);
      }
      expect(engine.requests).to.equal(3);
      expect(outcomes[2], outcomes.join(', ')).to.not.equal('not_run');
      expectRepeats(namesCalls);
    });

  // Guards against the answer to one request that reaches the caller of another.
  for (const namesCalls of [true, false])
    it(`do not reach the caller of the next completion if the engine names ${namesCalls ? '' : 'no '}calls`, async () => {
      const bodies = ['one', 'two', 'three'].map((id) => ({ status: 200, body: { id } }));
      engine = new RepeatingEngine({ namesCalls, answers: bodies });
      const origin = await engine.listen();
      const client = new EngineClient(http);
      for (const { body } of bodies) {
        const start = await complete(client, origin, body.id);
        if (start.outcome === 'started')
          expect(JSON.parse(await readText(start.response.body))).to.deep.equal(body);
      }
      expectRepeats(namesCalls);
    });

  // Guards against an order that counts as executed although the engine has refused it.
  for (const namesCalls of [true, false])
    it(`do not confirm the next order to an engine that names ${namesCalls ? '' : 'no '}calls`, async () => {
      const done = { status: 200, body: { ...INVENTORY, hostCache: [], diskCache: [] } };
      engine = new RepeatingEngine({ namesCalls, answers: [done, done, { status: 507, body: {} }] });
      const origin = await engine.listen();
      const client = new EngineClient(http);
      const order = { type: 'unload', model: 'm0' } as const;
      await client.order(origin, 1, order);
      await failureOf(client.order(origin, 2, order));
      expect(await failureOf(client.order(origin, 3, order))).to.not.equal(undefined);
      expectRepeats(namesCalls);
    });

  // Guards against a new connection for every call.
  it('cost no connection while there are none, if the engine names calls', async () => {
    engine = new RepeatingEngine({ repeats: false });
    const origin = await engine.listen();
    const client = new EngineClient(http);
    for (let call = 0; call < 10; call += 1) {
      const start = await complete(client, origin, `r${String(call)}`);
      expect(start.outcome).to.equal('started');
      if (start.outcome === 'started') await readText(start.response.body);
    }
    expect(engine.sockets.size).to.be.at.most(2);
  });

  // Guards against a call that fails because its engine announced the response first.
  it('are not mistaken for informational responses, which name no call', async () => {
    engine = new RepeatingEngine({ repeats: false, sendsEarlyHints: true });
    const origin = await engine.listen();
    const client = new EngineClient(http);
    for (const id of ['r1', 'r2', 'r3']) {
      const start = await complete(client, origin, id);
      expect(start.outcome).to.equal('started');
      if (start.outcome === 'started') await readText(start.response.body);
    }
  });

  it('are counted and reported', async () => {
    engine = new RepeatingEngine({});
    const origin = await engine.listen();
    const reported: string[] = [];
    const client = new EngineClient(http, {
      onUnmatchedAnswer: ({ match, call }) => {
        reported.push(`${match} ${call}`);
      },
    });
    for (const id of ['r1', 'r2', 'r3']) {
      const start = await complete(client, origin, id);
      if (start.outcome === 'started') await readText(start.response.body);
    }
    expect(reported).to.deep.equal(['other_call completion']);
    expect(client.counters.unmatchedAnswers).to.equal(1);
  });
});
