/** Parses and validates a caller's completion request against the limits of the tenant's template. */
import type { CatalogTarget, CatalogTenant, PriorityClass } from '@woodbarrow/configuration';
import { WoodbarrowError } from '@woodbarrow/errors';
import { hashText, type HttpHeaders, type HttpRequest } from '@woodbarrow/runtime';
import { readJsonObject } from './json-body.js';

/** Request headers with parameters that the OpenAI API does not have. */
export const CALLER_HEADERS = {
  priorityClass: 'x-woodbarrow-class',
  /** Maximum time until the response begins, in milliseconds. */
  wait: 'x-woodbarrow-wait-ms',
  /** Session id; requests of one session are routed to the same replica when possible. */
  session: 'x-woodbarrow-session',
  /** `true` when the request must never run twice. */
  notRepeatable: 'x-woodbarrow-not-repeatable',
  idempotencyKey: 'idempotency-key',
  /** Milliseconds since the caller created the idempotency key. */
  idempotencyKeyAge: 'x-woodbarrow-key-age-ms',
} as const;

/** A validated completion request. */
export interface CompletionRequest {
  readonly target: CatalogTarget;
  readonly priorityClass: PriorityClass;
  readonly waitMs: number;
  readonly streaming: boolean;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  readonly idempotencyKeyAgeMs: number | undefined;
  /** Hash of the session id or, without one, of the start of the prompt; the router uses it to choose a replica. */
  readonly affinity: number;
}

/** Maximum length of an idempotency key, and of a model name quoted in an error message, in characters. */
const MAX_KEY_LENGTH = 255;
/** Number of characters at the start of the prompt that determine the affinity hash. */
const AFFINITY_PREFIX_LENGTH = 256;

/**
 * Parses a completion request.
 *
 * @throws WoodbarrowError whose kind identifies the invalid part, for example `body_too_large` or `model_not_found`.
 */
export function readCompletionRequest(request: HttpRequest, tenant: CatalogTenant): CompletionRequest {
  const { limits } = tenant.parameters;
  if (request.body.byteLength > limits.bodyBytes) {
    throw new WoodbarrowError(
      'body_too_large',
      `the body exceeds the limit of ${String(limits.bodyBytes)} bytes`,
    );
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
      `model "${model.slice(0, MAX_KEY_LENGTH)}" does not exist for this tenant`,
    );
  }
  return target;
}

function assertPrompt(body: Readonly<Record<string, unknown>>): void {
  const { messages, prompt } = body;
  const hasMessages = Array.isArray(messages) && messages.length > 0;
  const hasPrompt = typeof prompt === 'string' || (Array.isArray(prompt) && prompt.length > 0);
  if (!hasMessages && !hasPrompt) {
    throw new WoodbarrowError('bad_request', 'the body needs "messages" as a list or "prompt" as a string');
  }
}

function resolvePriorityClass(headers: HttpHeaders, tenant: CatalogTenant): PriorityClass {
  const name = headers[CALLER_HEADERS.priorityClass] ?? tenant.parameters.defaultClass;
  const found = tenant.parameters.priorityClasses.find((candidate) => candidate.name === name);
  if (found === undefined)
    throw new WoodbarrowError('bad_request', `priority class "${name}" does not exist for this tenant`);
  return found;
}

function readWaitMs(headers: HttpHeaders, priorityClass: PriorityClass): number {
  const requestedMs = numberHeader(headers, CALLER_HEADERS.wait);
  const maximumMs = priorityClass.maximumWaitSeconds * 1000;
  if (requestedMs === undefined) return priorityClass.defaultWaitSeconds * 1000;
  if (requestedMs > maximumMs) {
    throw new WoodbarrowError(
      'limit_exceeded',
      `priority class ${priorityClass.name} allows a wait of at most ${String(maximumMs)} ms, not ${String(requestedMs)} ms`,
    );
  }
  return requestedMs;
}

function readIdempotencyKey(headers: HttpHeaders): string | undefined {
  const key = headers[CALLER_HEADERS.idempotencyKey];
  if (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH)) {
    throw new WoodbarrowError(
      'bad_request',
      `an idempotency key must have 1 to ${String(MAX_KEY_LENGTH)} characters`,
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
