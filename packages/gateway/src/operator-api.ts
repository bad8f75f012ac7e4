/** HTTP API for operators: configuration objects with compare-and-set writes, their history, and system status. */
import {
  OBJECT_SCHEMAS,
  objectKey,
  type Catalog,
  type ConfigurationStore,
  type ObjectKind,
} from '@woodbarrow/configuration';
import { WoodbarrowError, isKind } from '@woodbarrow/errors';
import type { PlatformClient, PlatformObject } from '@woodbarrow/object-store';
import {
  AsyncQueue,
  encodeText,
  jsonResponse,
  type HttpHandler,
  type HttpRequest,
  type HttpResponse,
  type Random,
} from '@woodbarrow/runtime';
import type { Authenticator, Identity } from './authentication.js';
import { errorResponse } from './error-response.js';
import { readJsonObject } from './json-body.js';
import { mergePatch } from './merge-patch.js';
import type { StatusService } from './status.js';

/** Options of {@link createOperatorApi}. */
export interface OperatorApiOptions {
  readonly authenticator: Authenticator;
  readonly store: ConfigurationStore;
  readonly catalog: Catalog;
  readonly platform: PlatformClient;
  readonly status: StatusService;
  readonly random: Random;
  /** Starts a graceful shutdown of this daemon. */
  readonly drain: () => void;
  /** Whether this daemon has a configuration and can serve requests. */
  readonly isReady: () => boolean;
}

/** Object kinds of this API; the first path segment of a request selects one. */
const OBJECT_KINDS: readonly ObjectKind[] = ['templates', 'tenants', 'partners', 'deployment'];
const ADMINISTRATOR_ONLY_KINDS: readonly ObjectKind[] = ['deployment', 'partners'];
/** Maximum time that the response to a write waits until the change is in effect on all daemons. */
const IN_FORCE_TIMEOUT_MS = 3000;

type OwnedObject = Readonly<Record<string, unknown>> & { readonly partner?: string };

/** Creates the request handler of the operators' listener. */
export function createOperatorApi(options: OperatorApiOptions): HttpHandler {
  const api = new OperatorApi(options);
  return async (request) => {
    try {
      return await api.handle(request);
    } catch (error) {
      return errorResponse(error);
    }
  };
}

class OperatorApi {
  constructor(private readonly options: OperatorApiOptions) {}

  async handle(request: HttpRequest): Promise<HttpResponse> {
    const url = new URL(request.path, 'http://operator');
    const identity = this.options.authenticator.identify(request);
    if (identity.role === 'caller')
      throw new WoodbarrowError('forbidden', 'a token with role caller cannot use the operator API');
    if (!this.options.isReady())
      throw new WoodbarrowError('not_ready', 'this daemon has not loaded its configuration yet');
    const [resource = '', name, subresource] = url.pathname.split('/').slice(1).map(decodeURIComponent);
    if (resource === 'status') return this.showStatus(identity, name);
    if (resource === 'drain') return this.startDrain(request, identity);
    if (resource === 'watch') return this.watch(identity, request.signal);
    const kind = OBJECT_KINDS.find((candidate) => candidate === resource);
    if (kind === undefined) throw new WoodbarrowError('not_found', `no such path: ${url.pathname}`);
    if (name === undefined || name === '') return this.list(kind, identity);
    if (subresource === 'history') return this.history(kind, name, identity);
    switch (request.method) {
      case 'GET':
        return this.show(kind, name, identity);
      case 'PUT':
        return this.put(kind, name, identity, request, url, readJsonObject(request));
      case 'PATCH':
        return this.patch(kind, name, identity, request, url);
      case 'DELETE':
        return this.write(kind, name, identity, request, url, null);
      default:
        throw new WoodbarrowError('method_not_allowed', 'use GET, PUT, PATCH or DELETE');
    }
  }

  private list(kind: ObjectKind, identity: Identity): HttpResponse {
    const items = this.options.store
      .withPrefix(`${kind}/`)
      .filter((entry) => canRead(identity, kind, entry.key, entry.value as OwnedObject))
      .map((entry) => ({
        name: entry.key.slice(kind.length + 1),
        revision: entry.revision,
        value: entry.value,
      }))
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    return jsonResponse(200, { revision: this.options.store.revision, items });
  }

  private show(kind: ObjectKind, name: string, identity: Identity): HttpResponse {
    const value = this.readObject(kind, name, identity);
    const revision = this.options.store.revisionOf(objectKey(kind, name));
    return jsonResponse(200, { name, revision, value }, { etag: `"${String(revision)}"` });
  }

  /** Returns an object that this identity can read. Objects of other partners are reported as `not_found`. */
  private readObject(kind: ObjectKind, name: string, identity: Identity): OwnedObject {
    const key = objectKey(kind, name);
    const value = this.options.store.get(key) as OwnedObject | undefined;
    if (value === undefined || !canRead(identity, kind, key, value)) {
      throw new WoodbarrowError('not_found', `no ${kind} ${name}`);
    }
    return value;
  }

  private async history(kind: ObjectKind, name: string, identity: Identity): Promise<HttpResponse> {
    const key = objectKey(kind, name);
    const versions = await this.options.platform.versions(key);
    const visible = versions.filter((version) =>
      canRead(identity, kind, key, (version.value ?? {}) as OwnedObject),
    );
    if (visible.length === 0) throw new WoodbarrowError('not_found', `no ${kind} ${name}`);
    return jsonResponse(200, { items: visible.map(({ revision, value }) => ({ revision, value })) });
  }

  private patch(
    kind: ObjectKind,
    name: string,
    identity: Identity,
    request: HttpRequest,
    url: URL,
  ): Promise<HttpResponse> {
    const current = this.readObject(kind, name, identity);
    const patched = mergePatch(current, readJsonObject(request)) as Record<string, unknown>;
    return this.put(kind, name, identity, request, url, patched);
  }

  private put(
    kind: ObjectKind,
    name: string,
    identity: Identity,
    request: HttpRequest,
    url: URL,
    body: Record<string, unknown>,
  ): Promise<HttpResponse> {
    const ownedBody = withPartner(kind, body, identity);
    const parsed = OBJECT_SCHEMAS[kind].safeParse(ownedBody);
    if (!parsed.success) {
      const problems = parsed.error.issues.map((issue) => ({
        path: issue.path.join('.'),
        message: issue.message,
      }));
      throw new WoodbarrowError('bad_request', `${kind} ${name} is not valid`, { details: { problems } });
    }
    this.assertReferences(kind, parsed.data);
    return this.write(kind, name, identity, request, url, parsed.data);
  }

  private assertReferences(kind: ObjectKind, value: object): void {
    if (kind !== 'tenants') return;
    const { template, partner } = value as { template: string; partner: string };
    const templateObject = this.options.store.get(objectKey('templates', template)) as
      OwnedObject | undefined;
    if (templateObject?.partner !== partner)
      throw new WoodbarrowError('bad_request', `template ${template} does not exist for this partner`);
  }

  private async write(
    kind: ObjectKind,
    name: string,
    identity: Identity,
    request: HttpRequest,
    url: URL,
    value: Record<string, unknown> | null,
  ): Promise<HttpResponse> {
    const key = objectKey(kind, name);
    this.assertCanWrite(kind, name, identity, value);
    const expectedRevision = expectedRevisionOf(request);
    if (url.searchParams.get('dryRun') === 'true') {
      return jsonResponse(200, { dryRun: true, name, revision: this.options.store.revisionOf(key), value });
    }
    const revision = await this.writeToPlatform(kind, key, identity, value, expectedRevision);
    const inForce = await this.options.status.waitUntilInForce(revision, IN_FORCE_TIMEOUT_MS);
    return jsonResponse(200, { name, revision, value, inForce }, { etag: `"${String(revision)}"` });
  }

  private async writeToPlatform(
    kind: ObjectKind,
    key: string,
    identity: Identity,
    value: Record<string, unknown> | null,
    expectedRevision: number,
  ): Promise<number> {
    const { platform, random } = this.options;
    try {
      return await platform.write({ key, value, expectedRevision, operationId: random.id() });
    } catch (error) {
      if (!isKind(error, 'revision_conflict')) throw error;
      const current = error.details?.['current'] as PlatformObject | null | undefined;
      const isReadable = current?.value != null && canRead(identity, kind, key, current.value);
      throw new WoodbarrowError('revision_conflict', `${key} has changed since the expected revision`, {
        details: { current: isReadable ? { revision: current.revision, value: current.value } : null },
      });
    }
  }

  private assertCanWrite(
    kind: ObjectKind,
    name: string,
    identity: Identity,
    value: OwnedObject | null,
  ): void {
    if (identity.role === 'administrator') return;
    if (ADMINISTRATOR_ONLY_KINDS.includes(kind))
      throw new WoodbarrowError('forbidden', `only the administrator can change ${kind}`);
    const key = objectKey(kind, name);
    const current = this.options.store.get(key) as OwnedObject | undefined;
    if (current !== undefined && !canRead(identity, kind, key, current)) {
      throw new WoodbarrowError('forbidden', `the name ${name} is already in use`);
    }
    if (identity.tenant !== undefined && (kind !== 'tenants' || identity.tenant !== name)) {
      throw new WoodbarrowError('forbidden', `this token can change only tenant ${identity.tenant}`);
    }
    if (value !== null && value.partner !== identity.partner) {
      throw new WoodbarrowError('forbidden', 'the partner of the object must be the partner of the token');
    }
  }

  private async showStatus(identity: Identity, section: string | undefined): Promise<HttpResponse> {
    const { status, catalog } = this.options;
    const isVisible = (model: string): boolean => {
      if (identity.role === 'administrator') return true;
      const entry = catalog.model(model);
      return entry?.partner === identity.partner && (identity.tenant ?? entry.tenant) === entry.tenant;
    };
    return jsonResponse(200, await status.describe(section ?? 'zones', isVisible));
  }

  private startDrain(request: HttpRequest, identity: Identity): HttpResponse {
    if (request.method !== 'POST') throw new WoodbarrowError('method_not_allowed', 'use POST');
    if (identity.role !== 'administrator')
      throw new WoodbarrowError('forbidden', 'only the administrator can drain a daemon');
    this.options.drain();
    return jsonResponse(202, { draining: true });
  }

  /** Streams changes as this daemon applies them, as one JSON object per line. */
  private watch(identity: Identity, signal: AbortSignal): HttpResponse {
    const { store } = this.options;
    const lines = new AsyncQueue<Uint8Array>();
    const stop = store.events.on('applied', ({ keys }) => {
      for (const key of keys) {
        const kind = OBJECT_KINDS.find((candidate) => key.startsWith(`${candidate}/`));
        const value = (store.get(key) ?? null) as OwnedObject | null;
        if (kind === undefined || (value !== null && !canRead(identity, kind, key, value))) continue;
        if (value === null && identity.role !== 'administrator') continue;
        const line = { key, revision: store.revisionOf(key), value };
        lines.push(encodeText(`${JSON.stringify(line)}\n`));
      }
    });
    signal.addEventListener('abort', () => {
      stop();
      lines.close();
    });
    return { status: 200, headers: { 'content-type': 'application/x-ndjson' }, body: lines };
  }
}

function canRead(identity: Identity, kind: ObjectKind, key: string, value: OwnedObject): boolean {
  if (identity.role === 'administrator') return true;
  if (kind === 'deployment') return true;
  if (kind === 'partners')
    return key === objectKey('partners', identity.partner) && identity.tenant === undefined;
  if (value.partner !== identity.partner) return false;
  return (
    identity.tenant === undefined || kind === 'templates' || key === objectKey('tenants', identity.tenant)
  );
}

function withPartner(
  kind: ObjectKind,
  body: Record<string, unknown>,
  identity: Identity,
): Record<string, unknown> {
  const hasPartner = kind === 'templates' || kind === 'tenants';
  if (!hasPartner || identity.role === 'administrator' || body['partner'] !== undefined) return body;
  return { ...body, partner: identity.partner };
}

/** Reads the expected revision from `If-Match`; `If-None-Match: *` gives 0, for a new object. */
function expectedRevisionOf(request: HttpRequest): number {
  if (request.headers['if-none-match'] === '*') return 0;
  const match = /^"?(\d+)"?$/.exec(request.headers['if-match'] ?? '');
  if (match === null) {
    throw new WoodbarrowError(
      'bad_request',
      'send If-Match with the current revision, or If-None-Match: * to create the object',
    );
  }
  return Number(match[1]);
}
