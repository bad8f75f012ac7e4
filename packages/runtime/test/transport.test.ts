import { expect } from 'chai';
import { fileURLToPath } from 'node:url';
import { TcpTransport, parseAddress, tlsFromFiles, type Connection, type TlsSource } from '../src/index.js';

function keysOf(name: string): TlsSource {
  const file = (fileName: string): string =>
    fileURLToPath(new URL(`../../test/fixtures/${fileName}`, import.meta.url));
  return tlsFromFiles({
    certificate: file(`${name}.pem`),
    key: file(`${name}.key`),
    authority: file('authority.pem'),
  });
}

async function firstFrame(connection: Connection): Promise<string> {
  for await (const frame of connection.frames) return Buffer.from(frame).toString();
  return 'ended';
}

/** Opens a connection, sends one frame and returns the response. */
async function echo(server: TcpTransport, client: TcpTransport, text: string): Promise<string> {
  const listener = await server.listen('127.0.0.1:0', (connection) => {
    void firstFrame(connection).then((received) => {
      connection.send(Buffer.from(`echo ${received}`));
    });
  });
  try {
    const connection = await client.connect(listener.address, 2000);
    connection.send(Buffer.from(text));
    return await firstFrame(connection);
  } finally {
    await listener.close();
  }
}

describe('TcpTransport', () => {
  it('transfers frames', async () => {
    expect(await echo(new TcpTransport(), new TcpTransport(), 'hello')).to.equal('echo hello');
  });

  it('transfers frames over mutual TLS', async () => {
    const keys = keysOf('daemon');
    expect(await echo(new TcpTransport(keys), new TcpTransport(keys), 'hello')).to.equal('echo hello');
  });

  it('rejects a peer whose certificate was signed by another authority', async () => {
    const stranger = new TcpTransport(keysOf('stranger'));
    const outcome = await echo(new TcpTransport(keysOf('daemon')), stranger, 'hello').catch(() => 'refused');
    expect(outcome).to.be.oneOf(['refused', 'ended']);
  });

  it('parses addresses', () => {
    expect(parseAddress('10.0.0.1:80')).to.deep.equal({ host: '10.0.0.1', port: 80 });
    expect(parseAddress('[::1]:80')).to.deep.equal({ host: '::1', port: 80 });
    expect(() => parseAddress('nowhere')).to.throw();
  });
});
