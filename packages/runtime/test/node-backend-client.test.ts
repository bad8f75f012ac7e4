import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpNotSentError, NodeBackendClient, type BackendResponse } from '../src/index.js';

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
