/** Client of the platform's object API: reads, watches, and writes whose outcome is always established. */
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
  /** Name that the platform counts this reader under. */
  readonly readerId: string;
  /** Milliseconds to wait for an answer. @default 3000 */
  readonly timeoutMs?: number;
  /** Milliseconds after which an undecided write is reported as such. @default 10000 */
  readonly writeTimeoutMs?: number;
}

/** A compare-and-set write. */
export interface PlatformWrite {
  readonly key: string;
  /** The new value; null deletes. */
  readonly value: Record<string, unknown> | null;
  /** Revision that the object must have; 0 when it must not exist. */
  readonly expectedRevision: number;
  /** Unique; reading it back tells whether a write whose answer was lost took effect. */
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
  /** Counters of this client's use of the platform. */
  readonly counters = { lists: 0, watches: 0, writes: 0, undecidedAttempts: 0 };

  constructor(private readonly options: PlatformClientOptions) {}

  /** All objects. @throws WoodbarrowError `platform_unavailable` */
  async list(): Promise<PlatformList> {
    this.counters.lists += 1;
    const response = await this.read('/objects', this.readerHeaders());
    return platformListSchema.parse(await readJson(response.body));
  }

  /** One object, or undefined when there is none. @throws WoodbarrowError `platform_unavailable` */
  async get(key: string): Promise<PlatformObject | undefined> {
    const response = await this.read(`/objects/${encodeURIComponent(key)}`);
    if (response.status === 404) return undefined;
    return platformObjectSchema.parse(await readJson(response.body));
  }

  /** Versions of one object that the platform still keeps, oldest first. */
  async versions(key: string): Promise<readonly PlatformObject[]> {
    const response = await this.read(`/versions/${encodeURIComponent(key)}`);
    return platformVersionsSchema.parse(await readJson(response.body)).items;
  }

  /**
   * Changes after `revision`, as they happen; ends when the connection does.
   *
   * @throws WoodbarrowError `revision_conflict` when the platform has compacted that revision away,
   * `platform_unavailable` when it cannot be reached.
   */
  async *watch(revision: number, signal: AbortSignal): AsyncGenerator<PlatformObject> {
    this.counters.watches += 1;
    const response = await this.read(`/watch?from=${String(revision)}`, this.readerHeaders(), signal);
    if (response.status === 410) throw new WoodbarrowError('revision_conflict', 'the revision was compacted');
    if (response.body instanceof Uint8Array) return;
    for await (const line of readLines(response.body)) {
      if (line !== '') yield platformObjectSchema.parse(JSON.parse(line));
    }
  }

  /**
   * Writes an object and establishes the outcome: an attempt whose answer was lost is read back by its
   * operation id, and only then tried again with the same expected revision.
   *
   * @returns the revision of the write.
   * @throws WoodbarrowError `revision_conflict` with the current object in `details.current`,
   * `platform_unavailable` when nothing was sent, `write_outcome_unknown` when time ran out undecided.
   */
  async write(write: PlatformWrite): Promise<number> {
    this.counters.writes += 1;
    // Asking first makes a plain outage a clear refusal: nothing has been sent yet.
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
    throw new WoodbarrowError('write_outcome_unknown', `the write of ${write.key} was not confirmed in time`);
  }

  /** Like {@link readOutcome}, but a platform that cannot be read now leaves the outcome open. */
  private async tryReadOutcome(write: PlatformWrite): Promise<number | undefined> {
    try {
      return await this.readOutcome(write);
    } catch (error) {
      if (isKind(error, 'platform_unavailable')) return undefined;
      throw error;
    }
  }

  /**
   * Reads back whether a write took effect: its revision when it did, undefined while it may yet be tried again.
   *
   * @throws WoodbarrowError `revision_conflict` when another write came first.
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

  /** Names those who read everything: the platform bears only a few of them. */
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
      throw new WoodbarrowError('platform_unavailable', `the platform answered ${String(response.status)}`);
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
