import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import {
  HttpNotSentError,
  NodeBackendClient,
  UnmatchedAnswerError,
  type BackendResponse,
  type UnmatchedAnswer,
} from '../src/index.js';

/** TCP server that responds with raw bytes, including malformed responses. */
class RawBackend {
  readonly sockets: Socket[] = [];
  private readonly server: Server;

  constructor(private readonly onRequest: (socket: Socket, request: string, count: number) => void) {
    let count = 0;
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        count += 1;
        this.onRequest(socket, chunk.toString('latin1'), count);
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

function sendRequest(client: NodeBackendClient, address: string): Promise<BackendResponse> {
  return client.send({
    address,
    method: 'GET',
    target: '/',
    headers: ['Host', 'test'],
    body: new Uint8Array(),
    signal: new AbortController().signal,
    connectTimeoutMs: 1000,
  });
}

async function textOf(response: BackendResponse): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of response.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Aborts a request at the moment at which the last byte of its response is read. */
async function abortAtEnd(client: NodeBackendClient, address: string): Promise<void> {
  const controller = new AbortController();
  const response = await client.send({
    address,
    method: 'GET',
    target: '/',
    headers: ['Host', 'test'],
    body: new Uint8Array(),
    signal: controller.signal,
    connectTimeoutMs: 1000,
  });
  const body = response.body[Symbol.asyncIterator]();
  await body.next();
  controller.abort();
  await new Promise((resolve) => setTimeout(resolve, 5));
}

async function failureOf(promise: Promise<unknown>): Promise<Error | undefined> {
  try {
    await promise;
    return undefined;
  } catch (error) {
    return error as Error;
  }
}

describe('NodeBackendClient', () => {
  let backend: RawBackend;
  afterEach(() => {
    backend.close();
  });

  it('does not end the process when a request is aborted at the end of its response', async () => {
    backend = new RawBackend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello');
    });
    const address = await backend.listen();
    const client = new NodeBackendClient();
    for (let run = 0; run < 20; run += 1) await abortAtEnd(client, address);
  });

  it('accepts a response without a length as complete when its connection ends normally', async () => {
    backend = new RawBackend((socket) => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'));
    const response = await sendRequest(new NodeBackendClient(), await backend.listen());
    expect(await textOf(response)).to.equal('whole');
  });

  it('reports whether the end of the body is the end of the connection, except for responses without a body', async () => {
    const heads = [
      '200 OK\r\n',
      '200 OK\r\nContent-Length: 0\r\n',
      '204 No Content\r\n',
      '304 Not Modified\r\n',
    ];
    const backend = new RawBackend((socket, _request, count) => {
      socket.end(`HTTP/1.1 ${heads[count - 1] ?? ''}Connection: close\r\n\r\n`);
    });
    const address = await backend.listen();
    const client = new NodeBackendClient();
    const results: boolean[] = [];
    for (const head of heads) {
      const response = await sendRequest(client, address);
      await textOf(response);
      expect(head).to.contain(String(response.status));
      results.push(response.endsWithConnection);
    }
    expect(results).to.deep.equal([true, false, false, false]);
    backend.close();
  });

  it('fails a response without a length when its connection is reset, even if the reset arrives with the data', async () => {
    backend = new RawBackend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
      socket.resetAndDestroy();
    });
    const address = await backend.listen();
    const client = new NodeBackendClient();
    const pendingResponse = sendRequest(client, address);
    const failure = await failureOf(pendingResponse.then(textOf));
    expect(failure).to.be.instanceOf(Error);
  });

  it('fails a response that is shorter than its length', async () => {
    backend = new RawBackend((socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart'));
    const response = await sendRequest(new NodeBackendClient(), await backend.listen());
    expect(await failureOf(textOf(response))).to.be.instanceOf(Error);
  });

  it('reuses connections, except one that received data while idle', async () => {
    backend = new RawBackend((socket, _request, count) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      if (count === 2) setImmediate(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'));
    });
    const address = await backend.listen();
    const client = new NodeBackendClient();
    for (let index = 0; index < 2; index += 1)
      expect(await textOf(await sendRequest(client, address))).to.equal('ok');
    expect(client.connectionsOpened).to.equal(1);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(await textOf(await sendRequest(client, address))).to.equal('ok');
    expect(client.connectionsOpened).to.equal(2);
  });

  it('fails with HttpNotSentError when the connection is refused', async () => {
    backend = new RawBackend(() => undefined);
    const address = await backend.listen();
    backend.close();
    expect(await failureOf(sendRequest(new NodeBackendClient(), address))).to.be.instanceOf(HttpNotSentError);
  });
});

/** Text of an answer that names a call. */
function answerTo(id: string | undefined, body = `answer to ${id ?? 'nobody'}`, status = '200 OK'): string {
  const name = id === undefined ? '' : `Call-Id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${name}Content-Length: ${String(body.length)}\r\n\r\n${body}`;
}

function idIn(request: string): string | undefined {
  return /^Call-Id: (\S+)\r$/m.exec(request)?.[1];
}

describe('NodeBackendClient that matches answers with calls', () => {
  let backend: RawBackend;
  let unmatched: UnmatchedAnswer[];
  let client: NodeBackendClient;

  beforeEach(() => {
    unmatched = [];
    client = new NodeBackendClient({
      answeredId: (headers) => headers['call-id'],
      onUnmatched: (answer) => unmatched.push(answer),
    });
  });

  afterEach(() => {
    backend.close();
  });

  function call(
    address: string,
    id?: string,
    signal = new AbortController().signal,
    target = '/',
  ): Promise<BackendResponse> {
    return client.send({
      address,
      ...(id === undefined ? {} : { requestId: id }),
      method: 'GET',
      target,
      headers: id === undefined ? ['Host', 'test'] : ['Host', 'test', 'Call-Id', id],
      body: new Uint8Array(),
      signal,
      connectTimeoutMs: 1000,
    });
  }

  /** Answers the first call, and to the second one sends `text` in place of the answer. */
  function listenWithSecond(text: (id: string) => string | undefined, then = ''): Promise<string> {
    backend = new RawBackend((socket, request, count) => {
      const id = idIn(request) ?? '';
      if (count !== 2) {
        socket.write(answerTo(id));
        return;
      }
      socket.write(text(id) ?? '');
      if (then !== '') setTimeout(() => socket.write(then.replaceAll('CALL', id)), 30);
    });
    return backend.listen();
  }

  it('skips a late second answer to the call before, and returns the answer to the call itself', async () => {
    const address = await listenWithSecond(() => answerTo('a', 'late', '503 Busy'), answerTo('CALL', 'own'));
    expect(await textOf(await call(address, 'a'))).to.equal('answer to a');
    const response = await call(address, 'b');
    expect([response.status, await textOf(response)]).to.deep.equal([200, 'own']);
    expect(unmatched).to.have.length(1);
    expect(unmatched[0]).to.include({ match: 'repeated', isSkipped: true, requestId: 'b', answeredId: 'a' });
    // No call may use the connection on which answers were repeated, and it must not stay open either.
    expect(await textOf(await call(address, 'c'))).to.equal('answer to c');
    expect(client.connectionsOpened).to.equal(2);
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(backend.sockets.map(({ destroyed }) => destroyed)).to.deep.equal([true, false]);
  });

  it('returns a response without a length after a skipped answer, and fails it when the connection is reset', async () => {
    const unframed = 'HTTP/1.1 200 OK\r\nCall-Id: CALL\r\nConnection: close\r\n\r\npart';
    for (const ending of ['end', 'reset'] as const) {
      const address = await listenWithSecond(() => answerTo('a'), unframed);
      await textOf(await call(address, 'a'));
      const pending = call(address, 'b').then(textOf);
      setTimeout(() => {
        for (const socket of backend.sockets)
          if (ending === 'end') socket.end();
          else socket.resetAndDestroy();
      }, 80);
      if (ending === 'end') expect(await pending).to.equal('part');
      else expect(await failureOf(pending)).to.be.instanceOf(Error);
      backend.close();
    }
  });

  it('fails a call when a second answer and its own arrive together, as it cannot tell where the latter begins', async () => {
    const address = await listenWithSecond((id) => answerTo('a', 'late') + answerTo(id, 'own'));
    await textOf(await call(address, 'a'));
    expect(await failureOf(call(address, 'b')))
      .to.be.instanceOf(Error)
      .and.not.instanceOf(HttpNotSentError);
  });

  it('skips one answer for a call at most, of limited size and with a known end', async () => {
    const texts: Record<string, string> = {
      large: answerTo('a', 'x'.repeat(100_000)),
      'without a length': 'HTTP/1.1 200 OK\r\nCall-Id: a\r\n\r\nlate',
    };
    for (const [kind, text] of Object.entries(texts)) {
      const address = await listenWithSecond(() => text, answerTo('CALL'));
      await textOf(await call(address, 'a'));
      expect(await failureOf(call(address, 'b')), kind).to.be.instanceOf(UnmatchedAnswerError);
      backend.close();
    }
    const address = await listenWithSecond(() => answerTo('a'), answerTo('a'));
    await textOf(await call(address, 'a'));
    expect(await failureOf(call(address, 'b')), 'two').to.be.instanceOf(UnmatchedAnswerError);
  });

  it('fails a call whose answer names an unknown call, or none on a connection that carried another call', async () => {
    const answers: [string, string | undefined][] = [
      ['other_call', 'unknown'],
      ['no_call', undefined],
    ];
    for (const [match, id] of answers) {
      unmatched.length = 0;
      const address = await listenWithSecond(() => answerTo(id, '', '503 Busy'));
      await textOf(await call(address, 'a'));
      const failure = await failureOf(call(address, 'b'));
      expect(failure).to.be.instanceOf(UnmatchedAnswerError);
      expect(unmatched).to.have.length(1);
      expect(unmatched[0]).to.include({ match, isSkipped: false, requestId: 'b', status: 503 });
      backend.close();
    }
  });

  it('accepts an answer that names no call as the only one of its connection, which is then closed', async () => {
    backend = new RawBackend((socket) => socket.write(answerTo(undefined, 'only')));
    const address = await backend.listen();
    for (const id of ['a', 'b']) expect(await textOf(await call(address, id))).to.equal('only');
    expect(client.connectionsOpened).to.equal(2);
    expect(unmatched.map(({ match }) => match)).to.deep.equal(['sole', 'sole']);
  });

  it('sends a call without an id only on a connection whose last call was of another kind', async () => {
    backend = new RawBackend((socket, request) => {
      socket.write(answerTo(idIn(request), request.split(' ')[1]));
    });
    const address = await backend.listen();
    const opened: [string, number][] = [];
    for (const target of ['/order', '/order', '/report', '/order', '/report', '/report', '/report']) {
      expect(await textOf(await call(address, undefined, undefined, target))).to.equal(target);
      opened.push([target, client.connectionsOpened]);
    }
    expect(opened).to.deep.equal([
      ['/order', 1],
      ['/order', 2],
      ['/report', 2],
      ['/order', 2],
      ['/report', 2],
      ['/report', 2],
      ['/report', 3],
    ]);
  });

  it('sends a call again under its id on another connection, where no answer to the first send can come', async () => {
    backend = new RawBackend((socket, request, count) => {
      if (count === 2 && socket === backend.sockets[0]) socket.write(answerTo('a', 'late', '421 Elsewhere'));
      socket.write(answerTo(idIn(request), 'own'));
    });
    const address = await backend.listen();
    for (const sends of [1, 2]) {
      expect(await textOf(await call(address, 'a'))).to.equal('own');
      expect(client.connectionsOpened).to.equal(sends);
    }
  });

  it('skips an answer without an id that is the same as the one before, for a call without an id', async () => {
    backend = new RawBackend((socket, request, count) => {
      if (count === 2) socket.write(answerTo(undefined, 'first'));
      setTimeout(() => socket.write(answerTo(undefined, count === 1 ? 'first' : 'the second')), 20);
    });
    const address = await backend.listen();
    expect(await textOf(await call(address, undefined, undefined, '/order'))).to.equal('first');
    expect(await textOf(await call(address, undefined, undefined, '/report'))).to.equal('the second');
    expect(client.connectionsOpened).to.equal(1);
    expect(unmatched[0]).to.include({ match: 'repeated', isSkipped: true });
  });

  it('ends a call that is aborted while a second answer is skipped, or afterwards', async () => {
    const beginnings = { inside: answerTo('a', 'late').slice(0, -2), afterwards: answerTo('a', 'late') };
    for (const [moment, text] of Object.entries(beginnings)) {
      const address = await listenWithSecond(() => text);
      await textOf(await call(address, 'a'));
      const controller = new AbortController();
      setTimeout(() => {
        controller.abort();
      }, 50);
      expect(await failureOf(call(address, 'b', controller.signal)), moment).to.be.instanceOf(Error);
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(
        backend.sockets.every((socket) => socket.destroyed || socket.readableEnded),
        moment,
      ).to.equal(true);
      backend.close();
    }
  });
});
