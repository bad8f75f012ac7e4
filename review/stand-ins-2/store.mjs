/** Stand-in of the platform's store: objects by kind and name, one revision counter, conditional writes, watches. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout, clearTimeout } from 'node:timers';

/** A store on one loopback address. */
export class StoreStandIn {
  revision = 0;
  kinds = new Map();
  history = [];
  waiting = new Set();
  /** Connections that have lost an answer; they say nothing more. */
  mute = new WeakSet();
  /** Decides whether the answer of a write that was done is lost. */
  losesAnswer = () => false;
  /** Called with each write that was done. */
  onWrite = () => undefined;

  async listen(ip) {
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  objects(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  /** Writes an object as the operator or a worker does. */
  put(kind, name, specification) {
    const before = this.objects(kind).get(name);
    if (before !== undefined && JSON.stringify(before.specification) === JSON.stringify(specification))
      return;
    this.store(kind, name, { specification, status: before?.status ?? null });
  }

  store(kind, name, content) {
    this.revision += 1;
    const object = {
      metadata: { name, revision: this.revision, made: 0, finalizers: [], deleting: false },
      ...content,
    };
    this.objects(kind).set(name, object);
    this.note(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.objects(kind).get(name);
    if (object === undefined) return;
    this.revision += 1;
    this.objects(kind).delete(name);
    const metadata = { ...object.metadata, revision: this.revision };
    this.note(kind, { ...object, metadata }, true);
  }

  note(kind, object, gone) {
    this.history.push({ kind, revision: this.revision, event: { object, gone } });
    for (const wake of [...this.waiting]) wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    const [, , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const body = text === '' ? undefined : JSON.parse(text);
    if (request.method === 'GET' && url.searchParams.has('watch')) {
      await this.watch(kind, url.searchParams, request, response);
      return;
    }
    const [status, result, isWrite] = this.carryOut(request.method, kind, name, url.searchParams, body);
    if (isWrite) this.onWrite({ method: request.method, kind, name: name ?? body?.metadata?.name, body });
    const write = { kind, name: name ?? body?.metadata?.name, specification: body?.specification };
    if (this.mute.has(request.socket)) return;
    if (isWrite && this.losesAnswer(write)) {
      this.mute.add(request.socket);
      return;
    }
    answer(response, status, result);
  }

  carryOut(method, kind, name, query, body) {
    const objects = this.objects(kind);
    if (method === 'GET' && name === undefined) {
      const after = query.get('after') ?? '';
      const names = [...objects.keys()].sort().filter((each) => each > after);
      const items = names.slice(0, 500).map((each) => objects.get(each));
      return [200, { items, more: names.length > 500, at: this.revision }, false];
    }
    if (method === 'POST') {
      const wanted = body.metadata.name;
      if (objects.has(wanted)) return [409, objects.get(wanted), false];
      return [201, this.store(kind, wanted, { specification: body.specification, status: null }), true];
    }
    const object = objects.get(name);
    if (object === undefined) return [404, {}, false];
    if (method === 'GET') return [200, object, false];
    const revision = body?.metadata?.revision ?? Number(query.get('revision') ?? object.metadata.revision);
    if (revision !== object.metadata.revision) return [409, object, false];
    if (method === 'DELETE') {
      this.remove(kind, name);
      return [200, {}, true];
    }
    if (JSON.stringify(object.specification) === JSON.stringify(body.specification))
      return [200, object, true];
    return [200, this.store(kind, name, { specification: body.specification, status: object.status }), true];
  }

  async watch(kind, query, request, response) {
    const from = Number(query.get('watch'));
    const events = () => this.history.filter((each) => each.kind === kind && each.revision > from);
    if (events().length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const wake = () => {
          if (events().length > 0) finish();
        };
        const timer = setTimeout(finish, Number(query.get('waitMs') ?? 0));
        this.waiting.add(wake);
        response.once('close', finish);
      });
    }
    if (this.mute.has(request.socket)) return;
    answer(response, 200, { events: events().map(({ event }) => event), at: this.revision });
  }
}

function answer(response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}
