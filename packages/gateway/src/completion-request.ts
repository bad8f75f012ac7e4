/** Reads a caller's completion request: its model, class, allowed wait and marks, within its template's limits. */
import type { CatalogTarget, CatalogTenant, PriorityClass } from '@woodbarrow/configuration';
import { WoodbarrowError } from '@woodbarrow/errors';
import { hashText, type HttpHeaders, type HttpRequest } from '@woodbarrow/runtime';
import { readJsonObject } from './json-body.js';

/** Request headers that carry this project's parameters. */
export const CALLER_HEADERS = {
  priorityClass: 'x-woodbarrow-class',
  /** Allowed wait in milliseconds until the answer begins. */
  wait: 'x-woodbarrow-wait-ms',
  /** Requests of one session go to the same replica when they can. */
  session: 'x-woodbarrow-session',
  /** `true` when the request must never run twice. */
  notRepeatable: 'x-woodbarrow-not-repeatable',
  idempotencyKey: 'idempotency-key',
  /** Milliseconds since the caller made the idempotency key. */
  idempotencyKeyAge: 'x-woodbarrow-key-age-ms',
} as const;

/** A checked completion request. */
export interface CompletionRequest {
  readonly target: CatalogTarget;
  readonly priorityClass: PriorityClass;
  readonly waitMs: number;
  readonly streaming: boolean;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  readonly idempotencyKeyAgeMs: number | undefined;
  /** Digest of session or prompt start; 0 when there is neither. */
  readonly affinity: number;
}

const MAX_KEY_LENGTH = 255;
const AFFINITY_PREFIX_LENGTH = 256;

/** @throws WoodbarrowError of the kind that names what is wrong. */
export function readCompletionRequest(request: HttpRequest, tenant: CatalogTenant): CompletionRequest {
  const { limits } = tenant.parameters;
  if (request.body.byteLength > limits.bodyBytes) {
    throw new WoodbarrowError('body_too_large', `the body may have ${String(limits.bodyBytes)} bytes`);
  }
  const body = readJsonObject(request);
  const target = resolveTarget(body['model'], tenant);
  if (body['stream'] !== undefined && typeof body['stream'] !== 'boolean') {
    throw new WoodbarrowError('bad_request', '"stream" must be true or false');
  }
  assertPrompt(body);
  const priorityClass = resolvePriorityClass(request.headers, tenant);
  const isMarkedNotRepeatable = booleanHeader(request.headers, CALLER_HEADERS.notRepeatable);
  const isModelNotRepeatable = tenant.parameters.nonRepeatableModels.includes(target.model.parameters.name);
  return {
    target,
    priorityClass,
    waitMs: readWaitMs(request.headers, priorityClass),
    streaming: body['stream'] === true,
    repeatable: !isMarkedNotRepeatable && !isModelNotRepeatable,
    idempotencyKey: readIdempotencyKey(request.headers),
    idempotencyKeyAgeMs: numberHeader(request.headers, CALLER_HEADERS.idempotencyKeyAge),
    affinity: computeAffinity(request.headers, body),
  };
}

function resolveTarget(model: unknown, tenant: CatalogTenant): CatalogTarget {
  if (typeof model !== 'string') throw new WoodbarrowError('bad_request', '"model" must be a string');
  const target = tenant.targets.get(model);
  if (target === undefined) {
    throw new WoodbarrowError(
      'model_not_found',
      `no model "${model.slice(0, MAX_KEY_LENGTH)}" for this tenant`,
    );
  }
  return target;
}

function assertPrompt(body: Readonly<Record<string, unknown>>): void {
  const { messages, prompt } = body;
  const hasMessages = Array.isArray(messages) && messages.length > 0;
  const hasPrompt = typeof prompt === 'string' || (Array.isArray(prompt) && prompt.length > 0);
  if (!hasMessages && !hasPrompt) {
    throw new WoodbarrowError('bad_request', 'send "messages" as a list or "prompt" as a string');
  }
}

function resolvePriorityClass(headers: HttpHeaders, tenant: CatalogTenant): PriorityClass {
  const name = headers[CALLER_HEADERS.priorityClass] ?? tenant.parameters.defaultClass;
  const found = tenant.parameters.priorityClasses.find((candidate) => candidate.name === name);
  if (found === undefined)
    throw new WoodbarrowError('bad_request', `no priority class "${name}" for this tenant`);
  return found;
}

function readWaitMs(headers: HttpHeaders, priorityClass: PriorityClass): number {
  const requestedMs = numberHeader(headers, CALLER_HEADERS.wait);
  const maximumMs = priorityClass.maximumWaitSeconds * 1000;
  if (requestedMs === undefined) return priorityClass.defaultWaitSeconds * 1000;
  if (requestedMs > maximumMs) {
    throw new WoodbarrowError(
      'limit_exceeded',
      `class ${priorityClass.name} allows a wait of ${String(maximumMs)} ms, not ${String(requestedMs)}`,
    );
  }
  return requestedMs;
}

function readIdempotencyKey(headers: HttpHeaders): string | undefined {
  const key = headers[CALLER_HEADERS.idempotencyKey];
  if (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH)) {
    throw new WoodbarrowError(
      'bad_request',
      `an idempotency key has 1 to ${String(MAX_KEY_LENGTH)} characters`,
    );
  }
  return key;
}

function numberHeader(headers: HttpHeaders, name: string): number | undefined {
  const text = headers[name];
  if (text === undefined) return undefined;
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) {
    throw new WoodbarrowError('bad_request', `${name} must be a whole number of milliseconds`);
  }
  return value;
}

function booleanHeader(headers: HttpHeaders, name: string): boolean {
  const text = headers[name];
  if (text !== undefined && text !== 'true' && text !== 'false') {
    throw new WoodbarrowError('bad_request', `${name} must be true or false`);
  }
  return text === 'true';
}

function computeAffinity(headers: HttpHeaders, body: Readonly<Record<string, unknown>>): number {
  const session = headers[CALLER_HEADERS.session];
  if (session !== undefined) return hashText(session) || 1;
  const { messages, prompt } = body;
  const first: unknown = Array.isArray(messages) ? (messages[0] as unknown) : prompt;
  const text = typeof first === 'string' ? first : JSON.stringify(first);
  return hashText(text.slice(0, AFFINITY_PREFIX_LENGTH)) || 1;
}
