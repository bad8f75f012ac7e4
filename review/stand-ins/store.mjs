/** Stand-in of the platform's store: objects by kind and name, listings, watches and conditional writes. */
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { isDeepStrictEqual } from 'node:util';

const PAGE_SIZE = 500;
/** Time of an answer, as on the sheet, in milliseconds. */
const ANSWER_MS = 4;

export class Store {
  kinds = new Map();
  history = [];
  watchers = [];
  revision = 100;

  constructor() {
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(host, port) {
    this.address = `${host}:${port}`;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    for (const { timer } of this.watchers) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes an object as the operator or a worker does. */
  put(kind, name, specification) {
    const existing = this.ofKind(kind).get(name);
    if (existing !== undefined && isDeepStrictEqual(existing.specification, specification)) return existing;
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      made: existing?.metadata.made ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, specification, status: null };
    this.ofKind(kind).set(name, object);
    this.changed({ kind, revision: this.revision, object, gone: false });
    return object;
  }

  remove(kind, name) {
    const object = this.ofKind(kind).get(name);
    if (object === undefined) return;
    this.revision += 1;
    this.ofKind(kind).delete(name);
    this.changed({ kind, revision: this.revision, object, gone: true });
  }

  ofKind(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  changed(change) {
    this.history.push(change);
    this.notify();
  }

  notify() {
    this.watchers = this.watchers.filter((watcher) => {
      const events = this.history
        .filter(({ kind, revision }) => kind === watcher.kind && revision > watcher.since)
        .map(({ object, gone }) => ({ object, gone }));
      if (events.length === 0) return true;
      clearTimeout(watcher.timer);
      reply(watcher.response, 200, { events, at: this.revision });
      return false;
    });
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    let text = '';
    for await (const chunk of request) text += chunk;
    setTimeout(() => {
      if (request.method === 'GET') this.read(url, kind, name, response);
      else this.write(request.method, kind, name, text === '' ? {} : JSON.parse(text), url, response);
    }, ANSWER_MS);
  }

  read(url, kind, name, response) {
    const objects = this.ofKind(kind);
    if (name !== undefined) {
      const object = objects.get(name);
      reply(response, object === undefined ? 404 : 200, object ?? {});
      return;
    }
    const watch = url.searchParams.get('watch');
    if (watch !== null) {
      const waitMs = Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0));
      const timer = setTimeout(() => {
        this.watchers = this.watchers.filter((watcher) => watcher.response !== response);
        reply(response, 200, { events: [], at: this.revision });
      }, waitMs);
      this.watchers.push({ kind, since: Number(watch), response, timer });
      this.notify();
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const names = [...objects.keys()].sort().filter((candidate) => candidate > after);
    const items = names.slice(0, PAGE_SIZE).map((candidate) => objects.get(candidate));
    reply(response, 200, { items, more: names.length > items.length, at: this.revision });
  }

  write(method, kind, pathName, body, url, response) {
    const name = pathName ?? body.metadata?.name ?? '';
    const existing = this.ofKind(kind).get(name);
    if (method === 'POST') {
      if (existing !== undefined) reply(response, 409, existing);
      else reply(response, 201, this.put(kind, name, body.specification));
      return;
    }
    if (existing === undefined) {
      reply(response, 404, {});
      return;
    }
    const expected = body.metadata?.revision ?? url.searchParams.get('revision') ?? undefined;
    if (expected !== undefined && Number(expected) !== existing.metadata.revision) {
      reply(response, 409, existing);
      return;
    }
    if (method === 'PUT') reply(response, 200, this.put(kind, name, body.specification));
    else {
      this.remove(kind, name);
      reply(response, 200, existing);
    }
  }
}

function reply(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}
