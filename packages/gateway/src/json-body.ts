/** Parses JSON request bodies; the nesting depth is checked before parsing. */
import { WoodbarrowError } from '@woodbarrow/errors';
import { decodeText, type HttpRequest } from '@woodbarrow/runtime';

/** Maximum nesting depth of objects and arrays. */
export const MAX_JSON_DEPTH = 32;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING = new Set([0x7b, 0x5b]);
const CLOSING = new Set([0x7d, 0x5d]);

/**
 * Parses the JSON object in a request's body.
 *
 * @throws WoodbarrowError `unsupported_content_type`, `body_too_deep` or `bad_request`.
 */
export function readJsonObject(request: HttpRequest): Record<string, unknown> {
  const contentType = request.headers['content-type'] ?? '';
  if (!/^application\/(merge-patch\+)?json\b/i.test(contentType)) {
    throw new WoodbarrowError('unsupported_content_type', 'send the body as application/json');
  }
  if (jsonDepth(request.body) > MAX_JSON_DEPTH) {
    throw new WoodbarrowError(
      'body_too_deep',
      `the body is nested deeper than ${String(MAX_JSON_DEPTH)} levels`,
    );
  }
  let value: unknown;
  try {
    value = JSON.parse(decodeText(request.body));
  } catch (error) {
    throw new WoodbarrowError('bad_request', 'the body is not valid JSON', { cause: error });
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new WoodbarrowError('bad_request', 'the body must be a JSON object');
  }
  return value as Record<string, unknown>;
}

/** Returns the nesting depth of a JSON text, which need not be valid. */
export function jsonDepth(text: Uint8Array): number {
  let depth = 0;
  let maximumDepth = 0;
  let inString = false;
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index] as number;
    if (inString) {
      if (byte === BACKSLASH) index += 1;
      else if (byte === QUOTE) inString = false;
    } else if (byte === QUOTE) inString = true;
    else if (OPENING.has(byte)) {
      depth += 1;
      maximumDepth = Math.max(maximumDepth, depth);
    } else if (CLOSING.has(byte)) depth -= 1;
  }
  return maximumDepth;
}
