/** A proxy before one worker that passes connections on, or resets them all. */
import { connect, createServer } from 'node:net';

export class Proxy {
  isCut = false;
  connections = new Set();

  async listen(ip) {
    this.server = createServer((client) => this.accept(client));
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  /** Address of the worker. */
  set target(address) {
    [this.host, this.port] = address.split(':');
  }

  cut() {
    this.isCut = true;
    for (const connection of this.connections) connection.resetAndDestroy();
  }

  heal() {
    this.isCut = false;
  }

  close() {
    this.server.close();
    for (const connection of this.connections) connection.destroy();
  }

  accept(client) {
    if (this.isCut) {
      client.resetAndDestroy();
      return;
    }
    const server = connect({ host: this.host, port: this.port });
    for (const [from, to] of [
      [client, server],
      [server, client],
    ]) {
      this.connections.add(from);
      from.on('error', () => to.destroy());
      from.on('close', () => {
        this.connections.delete(from);
        to.destroy();
      });
      from.pipe(to);
    }
  }
}
