import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpNotSentError, NodeBackendClient, type BackendAnswer } from '../src/index.js';

/** A back end that answers with raw bytes. */
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

function sendRequest(client: NodeBackendClient, address: string): Promise<BackendAnswer> {
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

async function textOf(answer: BackendAnswer): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of answer.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
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

  it('takes an answer without a length that ends with its connection for complete', async () => {
    backend = new RawBackend((socket) => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'));
    const answer = await sendRequest(new NodeBackendClient(), await backend.listen());
    expect(await textOf(answer)).to.equal('whole');
  });

  it('tells whether a body ends with its connection, which one that never comes does not', async () => {
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
    const told: boolean[] = [];
    for (const head of heads) {
      const answer = await sendRequest(client, address);
      await textOf(answer);
      expect(head).to.contain(String(answer.status));
      told.push(answer.endsWithConnection);
    }
    expect(told).to.deep.equal([true, false, false, false]);
    backend.close();
  });

  it('sees that an answer without a length was reset, also when the reset comes together with the data', async () => {
    backend = new RawBackend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
      socket.resetAndDestroy();
    });
    const address = await backend.listen();
    const client = new NodeBackendClient();
    const answered = sendRequest(client, address);
    const broken = await failureOf(answered.then(textOf));
    expect(broken).to.be.instanceOf(Error);
  });

  it('sees that an answer with a length broke off', async () => {
    backend = new RawBackend((socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart'));
    const answer = await sendRequest(new NodeBackendClient(), await backend.listen());
    expect(await failureOf(textOf(answer))).to.be.instanceOf(Error);
  });

  it('keeps connections, and never uses one again on which bytes came unasked', async () => {
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

  it('says that a request was not sent when no connection could be made', async () => {
    backend = new RawBackend(() => undefined);
    const address = await backend.listen();
    backend.close();
    expect(await failureOf(sendRequest(new NodeBackendClient(), address))).to.be.instanceOf(HttpNotSentError);
  });
});
