import { expect } from 'chai';
import { Catalog, ConfigurationStore, type CatalogTenant } from '@woodbarrow/configuration';
import type { ClaimsClient } from '@woodbarrow/coordination';
import { ERROR_KINDS, WoodbarrowError, errorResponseSpec } from '@woodbarrow/errors';
import type { SettleClaimRequest } from '@woodbarrow/protocol';
import { Admission, forwardStream, type Router } from '@woodbarrow/routing';
import {
  SimulatedProcess,
  SimulatedWorld,
  encodeText,
  readText,
  type HttpRequest,
} from '@woodbarrow/runtime';
import {
  Authenticator,
  CompletionService,
  jsonDepth,
  errorResponse,
  hashToken,
  mergePatch,
  readCompletionRequest,
} from '../src/index.js';

function createTenant(parameters: object = {}): {
  tenant: CatalogTenant;
  catalog: Catalog;
  authenticator: Authenticator;
} {
  const store = new ConfigurationStore();
  const models = [{ name: 'one', memoryGib: 10, adapters: [{ name: 'tuned' }] }];
  const priorityClasses = [{ name: 'rush', priority: 1, defaultWaitSeconds: 5, maximumWaitSeconds: 10 }];
  const value = {
    partner: 'p',
    parameters: { models, priorityClasses, defaultClass: 'rush', ...parameters },
  };
  const tokens = [{ sha256: hashToken('secret'), role: 'caller' }];
  store.apply({
    baseRevision: 0,
    revision: 3,
    entries: [
      { key: 'deployment/deployment', revision: 1, value: { zones: [{ name: 'a', region: 'r' }] } },
      { key: 'templates/t', revision: 2, value },
      { key: 'tenants/t', revision: 3, value: { partner: 'p', template: 't', tokens } },
    ],
  });
  const catalog = new Catalog(store);
  const tenant = catalog.tenant('t');
  if (tenant === undefined) throw new Error('no tenant');
  return { tenant, catalog, authenticator: new Authenticator(store, catalog, hashToken('root')) };
}

function createRequest(body: unknown, headers: Record<string, string> = {}): HttpRequest {
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json', ...headers },
    body: encodeText(typeof body === 'string' ? body : JSON.stringify(body)),
    signal: new AbortController().signal,
  };
}

const VALID = { model: 'one', messages: [{ role: 'user', content: 'hello' }] };

function errorKindOf(action: () => unknown): string {
  try {
    action();
    return 'accepted';
  } catch (error) {
    return (error as WoodbarrowError).kind;
  }
}

describe('completion requests', () => {
  const { tenant } = createTenant({ limits: { bodyBytes: 500 }, nonRepeatableModels: ['one'] });
  const kind = (body: unknown, headers?: Record<string, string>): string =>
    errorKindOf(() => readCompletionRequest(createRequest(body, headers), tenant));

  it('take the wait, idempotency key, key age and repeatability from headers and the template', () => {
    const headers = {
      'x-woodbarrow-wait-ms': '7000',
      'idempotency-key': 'k',
      'x-woodbarrow-key-age-ms': '30',
      'x-woodbarrow-session': 's',
    };
    const read = readCompletionRequest(
      createRequest({ ...VALID, model: 'tuned', stream: true }, headers),
      tenant,
    );
    expect(read).to.include({
      waitMs: 7000,
      streaming: true,
      repeatable: false,
      idempotencyKey: 'k',
      idempotencyKeyAgeMs: 30,
    });
    expect(read.target.adapter?.name).to.equal('tuned');
    expect(readCompletionRequest(createRequest(VALID), tenant).waitMs).to.equal(5000);
  });

  it('are refused with a specific error kind for each invalid input', () => {
    expect(kind(VALID)).to.equal('accepted');
    expect(kind('{"model":')).to.equal('bad_request');
    expect(kind('[]')).to.equal('bad_request');
    expect(kind({ ...VALID, model: 7 })).to.equal('bad_request');
    expect(kind({ ...VALID, stream: 'yes' })).to.equal('bad_request');
    expect(kind({ model: 'one' })).to.equal('bad_request');
    expect(kind({ ...VALID, model: 'unknown' })).to.equal('model_not_found');
    expect(kind({ ...VALID, pad: 'x'.repeat(600) })).to.equal('body_too_large');
    expect(kind('['.repeat(100))).to.equal('body_too_deep');
    expect(kind(VALID, { 'content-type': 'text/plain' })).to.equal('unsupported_content_type');
    expect(kind(VALID, { 'x-woodbarrow-wait-ms': '10001' })).to.equal('limit_exceeded');
    expect(kind(VALID, { 'x-woodbarrow-wait-ms': 'soon' })).to.equal('bad_request');
    expect(kind(VALID, { 'x-woodbarrow-class': 'none' })).to.equal('bad_request');
    expect(kind(VALID, { 'x-woodbarrow-not-repeatable': '1' })).to.equal('bad_request');
    expect(kind(VALID, { 'idempotency-key': '' })).to.equal('bad_request');
  });

  it('have a nesting depth that ignores brackets inside strings', () => {
    expect(jsonDepth(encodeText('{"a":[{"b":"[[[[\\"]]"}]}'))).to.equal(3);
  });
});

describe('completions with an idempotency key', () => {
  const { tenant, catalog } = createTenant();
  const request = createRequest({ ...VALID, stream: true }, { 'idempotency-key': 'k' });

  /** Completes a request whose engine stream fails after `text` unless `isWhole`; returns the response and settlements. */
  async function completeStream(text: string, isWhole: boolean): Promise<[string, SettleClaimRequest[]]> {
    async function* engine(): AsyncGenerator<Uint8Array> {
      yield await Promise.resolve(encodeText(text));
      if (!isWhole) throw new Error('cut');
    }
    const settled: SettleClaimRequest[] = [];
    const service = new CompletionService({
      catalog,
      router: {
        route: () => forwardStream({ status: 200, headers: {}, body: engine() }, true, () => undefined),
      } as unknown as Router,
      admission: new Admission(),
      claims: {
        claim: () => Promise.resolve({ outcome: 'granted' }),
        settle: (settlement: SettleClaimRequest) => Promise.resolve(void settled.push(settlement)),
      } as unknown as ClaimsClient,
      clock: new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'a', region: 'r' }),
    });
    const response = await service.complete(request, request.path, tenant, 'id');
    return [await readText(response.body), settled];
  }

  it('store a complete stream for repeated requests', async () => {
    const whole = 'data: 1\n\ndata: [DONE]\n\n';
    const [text, settled] = await completeStream(whole, true);
    expect(text).to.equal(whole);
    expect(settled.map(({ result, answer }) => [result, Buffer.from(answer ?? []).toString()])).to.deep.equal(
      [['finished', whole]],
    );
  });

  it('store nothing of an interrupted stream, even when its text contains the end marker', async () => {
    const [text, settled] = await completeStream('data: {"text":"data: [DONE]"}\n\ndata: 2\n\n', false);
    expect(text).to.contain('stream_interrupted');
    expect(settled.map(({ result, answer }) => [result, answer])).to.deep.equal([['finished', undefined]]);
  });
});

describe('authentication', () => {
  it('identifies tokens by their digest', () => {
    const { authenticator } = createTenant();
    const identify = (token: string): unknown =>
      authenticator.identify(createRequest('', { authorization: `Bearer ${token}` }));
    expect(identify('secret')).to.deep.equal({ partner: 'p', tenant: 't', role: 'caller' });
    expect(identify('root')).to.deep.equal({ role: 'administrator' });
    expect(errorKindOf(() => identify('wrong'))).to.equal('unauthenticated');
    expect(errorKindOf(() => authenticator.identify(createRequest('')))).to.equal('unauthenticated');
  });
});

describe('error responses', () => {
  it('carry the status, code, execution state and retry delay of every error kind', async () => {
    for (const kind of ERROR_KINDS) {
      const response = errorResponse(new WoodbarrowError(kind, 'why'));
      const { error } = JSON.parse(await readText(response.body)) as {
        error: { code: string; ran: string; retryable: boolean };
      };
      expect(response.status).to.equal(errorResponseSpec(kind).status);
      expect(error.code).to.equal(kind);
      expect(error.ran).to.equal(errorResponseSpec(kind).ran);
      if (error.ran !== 'no') expect(error.retryable).to.equal(false);
      expect(response.headers['retry-after'] !== undefined).to.equal(
        errorResponseSpec(kind).retryAfterSeconds !== undefined,
      );
    }
  });

  it('do not expose the message of an internal error', async () => {
    const response = errorResponse(new Error('secret detail'));
    expect(response.status).to.equal(500);
    expect(await readText(response.body)).not.to.contain('secret');
  });
});

describe('merge patch', () => {
  it('merges objects, removes members set to null and replaces other values', () => {
    const target = { a: { b: 1, c: 2 }, list: [1, 2], gone: 1 };
    expect(mergePatch(target, { a: { b: null, d: 3 }, list: [9], gone: null })).to.deep.equal({
      a: { c: 2, d: 3 },
      list: [9],
    });
  });
});
