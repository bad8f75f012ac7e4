import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { get } from 'node:https';
import { connect } from 'node:net';
import { fileURLToPath } from 'node:url';
import {
  HttpNotSentError,
  UndiciHttpClient,
  encodeText,
  jsonResponse,
  parseAddress,
  readText,
  serveHttp,
  tlsFromFiles,
  type HttpHandler,
  type HttpServer,
} from '../src/index.js';

async function withServer(
  handler: HttpHandler,
  test: (server: HttpServer, http: UndiciHttpClient) => Promise<void>,
): Promise<void> {
  const server = await serveHttp({
    address: '127.0.0.1:0',
    handler,
    maximumBodyBytes: 1000,
    headersTimeoutMs: 300,
    requestTimeoutMs: 300,
    onTooLarge: () => jsonResponse(413, { code: 'body_too_large' }),
  });
  const http = new UndiciHttpClient();
  try {
    await test(server, http);
  } finally {
    await http.close();
    await server.close();
  }
}

const echo: HttpHandler = (request) =>
  Promise.resolve(jsonResponse(200, { method: request.method, size: request.body.byteLength }));

describe('HTTP over express and undici', () => {
  it('transfers bodies and rejects those over the limit', async () => {
    await withServer(echo, async (server, http) => {
      const origin = `http://${server.address}`;
      const small = await http.send({ method: 'POST', origin, path: '/', body: new Uint8Array(1000) });
      expect(JSON.parse(await readText(small.body))).to.deep.equal({ method: 'POST', size: 1000 });
      const large = await http.send({ method: 'POST', origin, path: '/', body: new Uint8Array(1001) });
      expect(large.status).to.equal(413);
      expect(await readText(large.body)).to.contain('body_too_large');
    });
  });

  it('notifies the handler when the client disconnects, and the client when a stream is truncated', async () => {
    let gone = false;
    const handler: HttpHandler = (request) => {
      request.signal.addEventListener('abort', () => {
        gone = true;
      });
      async function* chunks(): AsyncGenerator<Uint8Array> {
        yield encodeText('one');
        if (request.path === '/cut') throw new Error('cut off');
        await new Promise<void>((resolve) => {
          request.signal.addEventListener('abort', () => {
            resolve();
          });
        });
      }
      return Promise.resolve({ status: 200, headers: {}, body: chunks() });
    };
    await withServer(handler, async (server, http) => {
      const origin = `http://${server.address}`;
      const cut = await http.send({ method: 'GET', origin, path: '/cut' });
      expect(await readText(cut.body).catch(() => 'failed')).to.equal('failed');
      const leaving = new AbortController();
      const open = await http.send({ method: 'GET', origin, path: '/open', signal: leaving.signal });
      expect(open.status).to.equal(200);
      leaving.abort();
      while (!gone) await new Promise((resolve) => setImmediate(resolve));
      expect(gone).to.equal(true);
    });
  });

  it('fails with HttpNotSentError when the connection is refused', async () => {
    const http = new UndiciHttpClient();
    const sending = http.send({ method: 'GET', origin: 'http://127.0.0.1:1', path: '/' });
    expect(await sending.catch((error: unknown) => error)).to.be.instanceOf(HttpNotSentError);
    await http.close();
  });

  it('serves HTTPS', async () => {
    const file = (name: string): string =>
      fileURLToPath(new URL(`../../test/fixtures/${name}`, import.meta.url));
    const tls = tlsFromFiles({ certificate: file('daemon.pem'), key: file('daemon.key') });
    const server = await serveHttp({ address: '127.0.0.1:0', handler: echo, tls });
    const { host, port } = parseAddress(server.address);
    const ca = readFileSync(file('authority.pem'));
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const options = {
        host,
        port,
        path: '/',
        ca,
        servername: 'daemon',
        checkServerIdentity: () => undefined,
      };
      get(options, (response) => {
        response.resume();
        resolve(response.statusCode);
      }).on('error', reject);
    });
    expect(status).to.equal(200);
    await server.close();
  });

  it('closes connections whose headers are not received in time', async () => {
    await withServer(echo, async (server) => {
      const { host, port } = parseAddress(server.address);
      const response = await new Promise<string>((resolve) => {
        let received = '';
        const socket = connect(port, host, () => socket.write('GET / HTTP/1.1\r\nhost: x\r\nslow:'));
        socket.on('data', (chunk) => (received += chunk.toString()));
        socket.on('close', () => {
          resolve(received);
        });
      });
      expect(response).to.contain('408');
    });
  });
});
