/**
 * Stand-in of a worker of a plain service on a raw socket, so that a case decides about each byte. It serves one request at a time on a
 * connection, works on `slots` requests at once, queues `queue` more and turns the rest away with 503 and `Not-Run`.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { setTimeout } from 'node:timers';

const HEAD_END = Buffer.from('\r\n\r\n');
const PORT = 8080;
const CONNECTION_LIMIT = 100;

export class PlainWorker {
  runs = [];
  running = 0;
  waiting = [];
  connections = new Set();

  /**
   * @param options `id`, `service`, `zone`, `slots`, `queue`, `workMs()`, `note(text)`, and hooks: `beforeRun(connection, request)` may write
   *   to the connection before the request is handled, `answer(connection, request, respond)` may replace the sound answer.
   */
  constructor(options) {
    this.options = { slots: 6, queue: 24, beforeRun: () => undefined, ...options };
    this.server = createServer((socket) => this.accept(socket));
  }

  listen(host) {
    this.address = `${host}:${PORT}`;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(PORT, host, resolve);
    });
  }

  close() {
    for (const { socket } of this.connections) socket.destroy();
    this.server.close();
  }

  record(state = 'ready') {
    const { service, zone, slots } = this.options;
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state,
      coldRemainingMs: 0,
      sequence: 0,
    };
  }

  accept(socket) {
    if (this.connections.size >= CONNECTION_LIMIT) {
      socket.resetAndDestroy();
      return;
    }
    const connection = { socket, pending: Buffer.alloc(0), isBusy: false };
    this.connections.add(connection);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.connections.delete(connection);
      this.waiting = this.waiting.filter((entry) => entry.connection !== connection);
    });
    socket.on('data', (chunk) => {
      connection.pending = Buffer.concat([connection.pending, chunk]);
      this.readNext(connection);
    });
  }

  readNext(connection) {
    if (connection.isBusy) return;
    const end = connection.pending.indexOf(HEAD_END);
    if (end < 0) return;
    const [requestLine, ...lines] = connection.pending.subarray(0, end).toString('latin1').split('\r\n');
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const bodyStart = end + HEAD_END.length;
    const bodyEnd = bodyStart + Number(headers['content-length'] ?? 0);
    if (connection.pending.length < bodyEnd) return;
    const body = connection.pending.subarray(bodyStart, bodyEnd).toString('latin1');
    connection.pending = connection.pending.subarray(bodyEnd);
    connection.isBusy = true;
    const [method, path] = requestLine.split(' ');
    this.handle(connection, { method, path, headers, body, id: headers['request-id'] });
  }

  handle(connection, request) {
    const { id, slots, queue, beforeRun } = this.options;
    if (request.path === '/health') {
      this.respond(connection, 200, { 'Instance-Id': id }, '');
      return;
    }
    if (request.id === undefined) {
      this.respond(connection, 400, { 'Not-Run': '1' }, '');
      return;
    }
    beforeRun(connection, request, this);
    const echo = { 'Request-Id': request.id };
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      this.respond(connection, 421, { ...echo, 'Instance-Id': id }, '', request);
      return;
    }
    if (this.running < slots) this.run(connection, request);
    else if (this.waiting.length < queue) this.waiting.push({ connection, request });
    else this.respond(connection, 503, { ...echo, 'Not-Run': '1' }, '', request);
  }

  run(connection, request) {
    const { id, workMs, answer, note } = this.options;
    this.running += 1;
    this.runs.push(request.id);
    note(`worker ${id} runs ${request.id} ${request.method} ${request.path}`);
    setTimeout(() => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next !== undefined) this.run(next.connection, next.request);
      const respond = (body) => {
        const headers = { 'Request-Id': request.id, 'Server-Stamp': `stamp.${id}.${request.id}` };
        this.respond(connection, 200, headers, body, request);
      };
      if (answer === undefined) respond(`answer to ${request.id}\n`);
      else answer(connection, request, respond, this);
    }, workMs());
  }

  /** Writes a whole answer and goes on with the next request of the connection. */
  respond(connection, status, headers, body, request) {
    const { slots, onAnswer } = this.options;
    const load = { 'Server-Load': `${this.running},${this.waiting.length},${slots}` };
    const text = answerText(status, { ...load, ...headers }, body);
    if (request !== undefined) onAnswer?.(connection, request, text, status);
    if (!connection.socket.destroyed) connection.socket.write(text, 'latin1');
    this.next(connection);
  }

  next(connection) {
    connection.isBusy = false;
    this.readNext(connection);
  }
}

export function answerText(status, headers, body) {
  const lines = Object.entries({ ...headers, 'Content-Length': String(body.length) });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `HTTP/1.1 ${status} Status\r\n${head}\r\n${body}`;
}
