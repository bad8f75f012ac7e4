/** Client of the platform's object API: reads, watches, and writes whose outcome is verified. */
import { WoodbarrowError, isKind } from '@woodbarrow/errors';
import {
  backoffDelay,
  encodeText,
  readJson,
  sleep,
  type Clock,
  type HttpClient,
  type HttpHeaders,
  type HttpResponse,
  type Random,
} from '@woodbarrow/runtime';
import { readLines } from './line-reader.js';
import {
  platformConflictSchema,
  platformListSchema,
  platformObjectSchema,
  platformVersionsSchema,
  platformWrittenSchema,
  type PlatformList,
  type PlatformObject,
} from './platform-types.js';

/** Options of {@link PlatformClient}. */
export interface PlatformClientOptions {
  /** Origin of the object API, for example `http://127.0.0.1:7000`. */
  readonly origin: string;
  readonly http: HttpClient;
  readonly clock: Clock;
  readonly random: Random;
  /** Identifies this client in lists and watches; the platform limits the number of readers. */
  readonly readerId: string;
  /** Maximum time to wait for a response, in milliseconds. @default 3000 */
  readonly timeoutMs?: number;
  /** Time after which a write with an unknown outcome fails, in milliseconds. @default 10000 */
  readonly writeTimeoutMs?: number;
}

/** A compare-and-set write. */
export interface PlatformWrite {
  readonly key: string;
  /** The new value; null deletes. */
  readonly value: Record<string, unknown> | null;
  /** Required current revision of the object; 0 when it must not exist. */
  readonly expectedRevision: number;
  /** Unique id of the write; after a lost response it shows whether the write took effect. */
  readonly operationId: string;
}

const DEFAULT_TIMEOUT_MS = 3000;
const DEFAULT_WRITE_TIMEOUT_MS = 10_000;
const WRITE_RETRY_BACKOFF = { initialMs: 100, maximumMs: 1500 };

type WriteAttempt =
  | { readonly outcome: 'written'; readonly revision: number }
  | { readonly outcome: 'conflict'; readonly current: PlatformObject | null }
  | { readonly outcome: 'unknown' }
  | { readonly outcome: 'not_sent' };

/** Reads and writes the platform's objects. */
export class PlatformClient {
  /** Number of calls since the start; `undecidedAttempts` counts write attempts with an unknown outcome. */
  readonly counters = { lists: 0, watches: 0, writes: 0, undecidedAttempts: 0 };

  constructor(private readonly options: PlatformClientOptions) {}

  /** Returns all objects. @throws WoodbarrowError `platform_unavailable` */
  async list(): Promise<PlatformList> {
    this.counters.lists += 1;
    const response = await this.read('/objects', this.readerHeaders());
    return platformListSchema.parse(await readJson(response.body));
  }

  /** Returns an object, or undefined when it does not exist. @throws WoodbarrowError `platform_unavailable` */
  async get(key: string): Promise<PlatformObject | undefined> {
    const response = await this.read(`/objects/${encodeURIComponent(key)}`);
    if (response.status === 404) return undefined;
    return platformObjectSchema.parse(await readJson(response.body));
  }

  /** Returns the retained versions of an object, oldest first. @throws WoodbarrowError `platform_unavailable` */
  async versions(key: string): Promise<readonly PlatformObject[]> {
    const response = await this.read(`/versions/${encodeURIComponent(key)}`);
    return platformVersionsSchema.parse(await readJson(response.body)).items;
  }

  /**
   * Yields the changes after `revision` as they happen, until the connection closes.
   *
   * @throws WoodbarrowError `revision_conflict` when the platform no longer retains that revision,
   * `platform_unavailable` when it cannot be reached.
   */
  async *watch(revision: number, signal: AbortSignal): AsyncGenerator<PlatformObject> {
    this.counters.watches += 1;
    const response = await this.read(`/watch?from=${String(revision)}`, this.readerHeaders(), signal);
    if (response.status === 410)
      throw new WoodbarrowError('revision_conflict', 'the requested revision was compacted');
    if (response.body instanceof Uint8Array) return;
    for await (const line of readLines(response.body)) {
      if (line !== '') yield platformObjectSchema.parse(JSON.parse(line));
    }
  }

  /**
   * Writes an object and verifies the outcome. After a lost response, the object's versions are searched for the
   * operation id before the write is retried with the same expected revision.
   *
   * @returns the revision of the write.
   * @throws WoodbarrowError `revision_conflict` with the current object in `details.current`,
   * `platform_unavailable` when nothing was sent, `write_outcome_unknown` when the outcome is unknown at the deadline.
   */
  async write(write: PlatformWrite): Promise<number> {
    this.counters.writes += 1;
    // Reading first detects an outage before anything is sent, so that the write fails with a known outcome.
    await this.get(write.key);
    const { clock, random } = this.options;
    const deadlineMs = clock.monotonic() + (this.options.writeTimeoutMs ?? DEFAULT_WRITE_TIMEOUT_MS);
    let mayHaveBeenSent = false;
    for (let attempt = 0; clock.monotonic() < deadlineMs; attempt += 1) {
      const result = await this.attemptWrite(write);
      if (result.outcome === 'written') return result.revision;
      if (result.outcome === 'conflict' && !mayHaveBeenSent)
        throw revisionConflictError(write.key, result.current);
      if (result.outcome !== 'not_sent') mayHaveBeenSent = true;
      if (mayHaveBeenSent) {
        const revision = await this.tryReadOutcome(write);
        if (revision !== undefined) return revision;
      }
      await sleep(clock, backoffDelay(WRITE_RETRY_BACKOFF, attempt, random));
    }
    if (!mayHaveBeenSent) throw new WoodbarrowError('platform_unavailable', 'the platform cannot be reached');
    throw new WoodbarrowError(
      'write_outcome_unknown',
      `the write of ${write.key} was not confirmed before the deadline`,
    );
  }

  /** Like {@link readOutcome}, but returns undefined when the platform is unavailable. */
  private async tryReadOutcome(write: PlatformWrite): Promise<number | undefined> {
    try {
      return await this.readOutcome(write);
    } catch (error) {
      if (isKind(error, 'platform_unavailable')) return undefined;
      throw error;
    }
  }

  /**
   * Returns the revision of a write that took effect, or undefined when it can be retried.
   *
   * @throws WoodbarrowError `revision_conflict` when another write changed the object.
   */
  private async readOutcome(write: PlatformWrite): Promise<number | undefined> {
    const versions = await this.versions(write.key);
    const ownVersion = versions.find((version) => version.operationId === write.operationId);
    if (ownVersion !== undefined) return ownVersion.revision;
    const current = versions.at(-1);
    const currentRevision = current?.value == null ? 0 : current.revision;
    if (currentRevision !== write.expectedRevision) {
      throw revisionConflictError(write.key, current ?? null);
    }
    return undefined;
  }

  private async attemptWrite(write: PlatformWrite): Promise<WriteAttempt> {
    let response: HttpResponse;
    try {
      response = await this.options.http.send({
        method: 'PUT',
        origin: this.options.origin,
        path: `/objects/${encodeURIComponent(write.key)}`,
        headers: { 'content-type': 'application/json', 'if-match': String(write.expectedRevision) },
        body: encodeText(JSON.stringify({ value: write.value, operationId: write.operationId })),
        timeoutMs: this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      });
      const body = await readJson(response.body);
      if (response.status === 200) {
        return { outcome: 'written', revision: platformWrittenSchema.parse(body).revision };
      }
      if (response.status === 409) {
        return { outcome: 'conflict', current: platformConflictSchema.parse(body).current };
      }
    } catch (error) {
      if (error instanceof Error && error.name === 'HttpNotSentError') return { outcome: 'not_sent' };
    }
    this.counters.undecidedAttempts += 1;
    return { outcome: 'unknown' };
  }

  /** Headers that identify a client that reads all objects; the platform supports only a few of them. */
  private readerHeaders(): HttpHeaders {
    return { 'x-reader-id': this.options.readerId };
  }

  private async read(path: string, headers: HttpHeaders = {}, signal?: AbortSignal): Promise<HttpResponse> {
    try {
      const response = await this.options.http.send({
        method: 'GET',
        origin: this.options.origin,
        path,
        headers,
        timeoutMs: this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
        ...(signal === undefined ? {} : { signal }),
      });
      if (response.status < 500) return response;
      throw new WoodbarrowError(
        'platform_unavailable',
        `the platform responded with status ${String(response.status)}`,
      );
    } catch (error) {
      if (isKind(error, 'platform_unavailable')) throw error;
      throw new WoodbarrowError('platform_unavailable', 'the platform cannot be reached', { cause: error });
    }
  }
}

function revisionConflictError(key: string, current: PlatformObject | null): WoodbarrowError {
  return new WoodbarrowError('revision_conflict', `${key} was changed by another write`, {
    details: { current },
  });
}
