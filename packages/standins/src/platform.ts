/** Stand-in for the platform's object API: versions, compare-and-set, watches, compaction and injected faults. */
import {
  AsyncQueue,
  decodeText,
  encodeText,
  jsonResponse,
  sleep,
  type Clock,
  type HttpHandler,
  type HttpRequest,
  type HttpResponse,
  type Random,
} from '@woodbarrow/runtime';

/** One version of one object. */
export interface StoredVersion {
  readonly key: string;
  readonly revision: number;
  readonly operationId: string;
  readonly value: Record<string, unknown> | null;
}

/** Currently injected faults. */
export interface PlatformFaults {
  /** Every request fails. */
  down: boolean;
  /** Milliseconds added to each response. */
  delayMs: number;
  /** Share of writes (0 to 1) whose response is lost after they took effect. */
  loseAnswerShare: number;
}

const MAX_VERSIONS_PER_OBJECT = 50;
const MAX_RETAINED_CHANGES = 2000;
const FIRST_REVISION = 1;
/** Time for which a reader counts as active after its last read. */
const READER_ACTIVITY_WINDOW_MS = 1000;

/** Stores objects in memory and publishes changes to watchers. */
export class PlatformStandIn {
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseAnswerShare: 0 };
  /** Called after each accepted write. */
  onAccepted: ((version: StoredVersion) => void) | undefined;
  /** Maximum number of concurrent readers so far. */
  maximumReaders = 0;
  private revision = FIRST_REVISION;
  private readonly objects = new Map<string, StoredVersion>();
  private readonly versions = new Map<string, StoredVersion[]>();
  private readonly changes: StoredVersion[] = [];
  private compactedTo = 0;
  private readonly watchers = new Set<AsyncQueue<Uint8Array>>();
  private readonly openWatches = new Map<string, number>();
  private readonly lastRead = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Revision of the latest write. */
  get currentRevision(): number {
    return this.revision;
  }

  /** Number of readers with an open watch or a recent read. */
  get readers(): number {
    const now = this.clock.monotonic();
    const readers = new Set([...this.openWatches].filter(([, count]) => count > 0).map(([id]) => id));
    for (const [id, at] of this.lastRead) {
      if (now - at < READER_ACTIVITY_WINDOW_MS) readers.add(id);
    }
    return readers.size;
  }

  /** Writes an object directly, bypassing compare-and-set. */
  seed(key: string, value: Record<string, unknown>): void {
    this.apply(key, value, `seed-${key}`);
  }

  /** Returns the value of an object, or undefined if it does not exist. */
  get(key: string): Record<string, unknown> | undefined {
    return this.objects.get(key)?.value ?? undefined;
  }

  /** Serves the object API. */
  readonly handler: HttpHandler = async (request) => {
    const { faults, clock } = this;
    if (faults.delayMs > 0) await sleep(clock, faults.delayMs, request.signal);
    if (faults.down) throw new Error('the platform is down');
    const url = new URL(request.path, 'http://platform');
    const [, collection = '', name = ''] = url.pathname.split('/').map(decodeURIComponent);
    if (collection === 'objects' && request.method === 'PUT') return this.put(name, request);
    this.recordRead(request);
    if (collection === 'watch') return this.watch(Number(url.searchParams.get('from')), request);
    if (collection === 'versions') return jsonResponse(200, { items: this.versions.get(name) ?? [] });
    if (collection !== 'objects') return jsonResponse(404, {});
    if (name === '') return this.list();
    const object = this.objects.get(name);
    return object === undefined ? jsonResponse(404, {}) : jsonResponse(200, object);
  };

  private list(): HttpResponse {
    return jsonResponse(200, { revision: this.revision, items: [...this.objects.values()] });
  }

  private put(key: string, request: HttpRequest): HttpResponse {
    const { value, operationId } = JSON.parse(decodeText(request.body)) as {
      value: Record<string, unknown> | null;
      operationId: string;
    };
    const current = this.objects.get(key);
    const expected = Number(request.headers['if-match'] ?? 0);
    if ((current?.revision ?? 0) !== expected) {
      return jsonResponse(409, { current: current ?? null });
    }
    const version = this.apply(key, value, operationId);
    if (this.random.next() < this.faults.loseAnswerShare) throw new Error('the response was lost');
    return jsonResponse(200, { revision: version.revision });
  }

  private apply(key: string, value: Record<string, unknown> | null, operationId: string): StoredVersion {
    this.revision += 1;
    const version: StoredVersion = { key, revision: this.revision, operationId, value };
    if (value === null) this.objects.delete(key);
    else this.objects.set(key, version);
    const versions = this.versions.get(key) ?? [];
    versions.push(version);
    if (versions.length > MAX_VERSIONS_PER_OBJECT) versions.shift();
    this.versions.set(key, versions);
    this.changes.push(version);
    if (this.changes.length > MAX_RETAINED_CHANGES)
      this.compactedTo = this.changes.shift()?.revision ?? this.compactedTo;
    const line = encodeText(`${JSON.stringify(version)}\n`);
    for (const watcher of this.watchers) watcher.push(line);
    this.onAccepted?.(version);
    return version;
  }

  private watch(from: number, request: HttpRequest): HttpResponse {
    if (from < this.compactedTo) return jsonResponse(410, {});
    const lines = new AsyncQueue<Uint8Array>();
    for (const change of this.changes) {
      if (change.revision > from) lines.push(encodeText(`${JSON.stringify(change)}\n`));
    }
    const reader = request.headers['x-reader-id'] ?? 'unknown';
    this.watchers.add(lines);
    this.openWatches.set(reader, (this.openWatches.get(reader) ?? 0) + 1);
    request.signal.addEventListener('abort', () => {
      this.watchers.delete(lines);
      this.openWatches.set(reader, (this.openWatches.get(reader) ?? 1) - 1);
      lines.close();
    });
    this.maximumReaders = Math.max(this.maximumReaders, this.readers);
    return { status: 200, headers: { 'content-type': 'application/x-ndjson' }, body: lines };
  }

  private recordRead(request: HttpRequest): void {
    const reader = request.headers['x-reader-id'];
    if (reader === undefined) return;
    this.lastRead.set(reader, this.clock.monotonic());
    this.maximumReaders = Math.max(this.maximumReaders, this.readers);
  }
}
