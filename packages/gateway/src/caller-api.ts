/** HTTP API for callers: OpenAI-compatible completions, the list of models, and jobs. */
import type { Catalog, CatalogTenant } from '@woodbarrow/configuration';
import { WoodbarrowError } from '@woodbarrow/errors';
import { jsonResponse, type HttpHandler, type HttpRequest, type HttpResponse } from '@woodbarrow/runtime';
import type { JobEnd, JobRecord } from '@woodbarrow/protocol';
import type { Authenticator } from './authentication.js';
import { readCompletionRequest } from './completion-request.js';
import type { CompletionService } from './completions.js';
import { errorResponse } from './error-response.js';
import { readJsonObject } from './json-body.js';
import type { JobService } from './jobs.js';

/** Options of {@link createCallerApi}. */
export interface CallerApiOptions {
  readonly authenticator: Authenticator;
  readonly catalog: Catalog;
  readonly completions: CompletionService;
  readonly jobs: JobService;
  /** Returns a new request id, unique across all daemons. */
  readonly newRequestId: () => string;
  /** Returns the reason why new requests are refused, or undefined when they are accepted. */
  readonly refusal: () => 'not_ready' | 'stopping' | undefined;
}

/** Header that carries the request id in every response. */
export const REQUEST_ID_HEADER = 'x-woodbarrow-request-id';
const COMPLETION_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/result)?$/;

/** Creates the request handler of the callers' listener. */
export function createCallerApi(options: CallerApiOptions): HttpHandler {
  return async (request) => {
    const requestId = options.newRequestId();
    const response = await handleRequest(request, requestId, options).catch(errorResponse);
    return { ...response, headers: { ...response.headers, [REQUEST_ID_HEADER]: requestId } };
  };
}

async function handleRequest(
  request: HttpRequest,
  requestId: string,
  options: CallerApiOptions,
): Promise<HttpResponse> {
  const path = request.path.split('?', 1)[0] ?? '/';
  const refusal = options.refusal();
  if (refusal === 'not_ready')
    throw new WoodbarrowError('not_ready', 'this daemon has not loaded its configuration yet');
  const tenant = resolveTenant(request, options);
  if (COMPLETION_PATHS.has(path)) {
    assertMethod(request, 'POST');
    if (refusal !== undefined)
      throw new WoodbarrowError(refusal, 'this daemon is stopping; send the request to another');
    return options.completions.complete(request, path, tenant, requestId);
  }
  if (path === '/v1/models') {
    assertMethod(request, 'GET');
    return listModels(tenant);
  }
  if (path === '/v1/jobs') {
    assertMethod(request, 'POST');
    if (refusal !== undefined)
      throw new WoodbarrowError(refusal, 'this daemon is stopping; send the request to another');
    return submitJob(request, tenant, options);
  }
  const jobMatch = JOB_PATH.exec(path);
  if (jobMatch !== null) {
    assertMethod(request, 'GET');
    return showJob(
      await options.jobs.fetch(decodeURIComponent(jobMatch[1] ?? ''), tenant.name),
      jobMatch[2] !== undefined,
    );
  }
  throw new WoodbarrowError('not_found', `no such path: ${path}`);
}

function resolveTenant(request: HttpRequest, options: CallerApiOptions): CatalogTenant {
  const identity = options.authenticator.identify(request);
  if (identity.role === 'administrator' || identity.tenant === undefined) {
    throw new WoodbarrowError('forbidden', "the callers' API needs a token of a tenant");
  }
  const tenant = options.catalog.tenant(identity.tenant);
  if (tenant === undefined)
    throw new WoodbarrowError('not_found', `tenant ${identity.tenant} has no valid template`);
  return tenant;
}

function assertMethod(request: HttpRequest, method: string): void {
  if (request.method !== method) throw new WoodbarrowError('method_not_allowed', `use ${method}`);
}

function listModels(tenant: CatalogTenant): HttpResponse {
  const data = [...tenant.targets.keys()].map((id) => ({ id, object: 'model', owned_by: tenant.partner }));
  return jsonResponse(200, { object: 'list', data });
}

async function submitJob(
  request: HttpRequest,
  tenant: CatalogTenant,
  options: CallerApiOptions,
): Promise<HttpResponse> {
  const completion = readCompletionRequest(request, tenant);
  if (completion.streaming)
    throw new WoodbarrowError('bad_request', 'jobs do not support streaming; omit "stream"');
  const path = 'messages' in readJsonObject(request) ? '/v1/chat/completions' : '/v1/completions';
  const job = await options.jobs.submit(request, path, tenant.name);
  return jsonResponse(202, describeJob(job), { location: `/v1/jobs/${encodeURIComponent(job.id)}` });
}

function showJob(job: JobRecord, wantsResult: boolean): HttpResponse {
  if (!wantsResult) return jsonResponse(200, describeJob(job));
  if (job.end === undefined) {
    return jsonResponse(202, describeJob(job), { 'retry-after': '1' });
  }
  const { status, body } = job.end;
  return { status, headers: { 'content-type': 'application/json' }, body };
}

function describeJob({ id, submittedAt, end }: JobRecord): Record<string, unknown> {
  return {
    id,
    object: 'job',
    status: stateOf(end),
    created: Math.floor(submittedAt / 1000),
    ...(end === undefined ? {} : { result_status: end.status }),
  };
}

function stateOf(end: JobEnd | undefined): 'queued' | 'finished' | 'failed' {
  if (end === undefined) return 'queued';
  return end.status === 200 ? 'finished' : 'failed';
}
