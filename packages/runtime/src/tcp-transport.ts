/** Transport over TCP or TLS. Each frame is prefixed by its length as a 4-byte big-endian integer. */
import { createServer, connect as connectTcp, type AddressInfo, type Server, type Socket } from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';
import { AsyncQueue } from './async-queue.js';
import { refreshTls, type TlsSource } from './tls-refresh.js';
import { parseAddress, type Address, type Connection, type Listener, type Transport } from './transport.js';

const LENGTH_BYTES = 4;
/** Maximum size of a frame accepted from a peer; a larger one closes the connection. */
export const MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

class TcpConnection implements Connection {
  readonly remote: Address;
  readonly frames = new AsyncQueue<Uint8Array>();
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly socket: Socket) {
    this.remote = `${socket.remoteAddress ?? 'unknown'}:${String(socket.remotePort ?? 0)}`;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.frames.close();
    });
  }

  send(frame: Uint8Array): void {
    if (this.socket.destroyed) return;
    // One buffer: gathering two in a write costs more than copying a frame.
    const bytes = Buffer.allocUnsafe(LENGTH_BYTES + frame.byteLength);
    bytes.writeUInt32BE(frame.byteLength);
    bytes.set(frame, LENGTH_BYTES);
    this.socket.write(bytes);
  }

  close(): void {
    this.socket.end();
    this.frames.close();
  }

  private receive(chunk: Buffer): void {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    if (this.pendingBytes < LENGTH_BYTES) return;
    let data = this.pending.length === 1 ? chunk : Buffer.concat(this.pending);
    while (data.length >= LENGTH_BYTES) {
      const length = data.readUInt32BE(0);
      if (length > MAXIMUM_FRAME_BYTES) {
        this.socket.destroy();
        return;
      }
      if (data.length < LENGTH_BYTES + length) break;
      this.frames.push(data.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      data = data.subarray(LENGTH_BYTES + length);
    }
    this.pending = data.length > 0 ? [data] : [];
    this.pendingBytes = data.length;
  }
}

/** Transport over TCP, or over mutual TLS when keys are given. */
export class TcpTransport implements Transport {
  /** @param tls Certificate and key for mutual TLS; plain TCP when absent. */
  constructor(private readonly tls?: TlsSource) {}

  listen(address: Address, accept: (connection: Connection) => void): Promise<Listener> {
    const { host, port } = parseAddress(address);
    const sockets = new Set<Socket>();
    const onSocket = (socket: Socket): void => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      accept(new TcpConnection(socket));
    };
    const server = this.createServer(onSocket);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        const bound = server.address() as AddressInfo;
        resolve({
          address: `${host}:${String(bound.port)}`,
          close: () => closeServer(server, sockets),
        });
      });
    });
  }

  connect(address: Address, timeoutMs: number): Promise<Connection> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      const socket =
        this.tls === undefined
          ? connectTcp({ host, port })
          : connectTls({ host, port, ...this.tls(), checkServerIdentity: () => undefined });
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection to ${address} within ${String(timeoutMs)} ms`));
      }, timeoutMs);
      socket.once('error', (error) => {
        clearTimeout(timer);
        reject(error instanceof Error ? error : new Error(String(error)));
      });
      socket.once(this.tls === undefined ? 'connect' : 'secureConnect', () => {
        clearTimeout(timer);
        resolve(new TcpConnection(socket));
      });
    });
  }

  private createServer(onSocket: (socket: Socket) => void): Server {
    if (this.tls === undefined) return createServer(onSocket);
    const server = createTlsServer({ ...this.tls(), requestCert: true, rejectUnauthorized: true }, onSocket);
    const stopRefreshing = refreshTls(server, this.tls);
    server.on('close', stopRefreshing);
    return server;
  }
}

function closeServer(server: Server, sockets: Set<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    for (const socket of sockets) socket.destroy();
  });
}
