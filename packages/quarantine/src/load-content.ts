/**
 * Identifies loads as contents, so that all loads of the same model or adapter share their crash
 * evidence.
 */
import { targetKey, type ModelTarget } from '@woodbarrow/backends';
import { contentDigest } from '@woodbarrow/runtime';

/** Prefix of load contents. Request digests are hexadecimal and never start with it. */
const LOAD_PREFIX = 'load-';

/**
 * Returns the content of a load of a model or adapter. It is a digest, because record names allow
 * fewer characters than model names.
 */
export function loadContent(service: string, target: ModelTarget): string {
  return `${LOAD_PREFIX}${contentDigest([service, targetKey(target)])}`;
}

export function isLoadContent(content: string): boolean {
  return content.startsWith(LOAD_PREFIX);
}

/**
 * Returns the name of a load for operators: `service model`, `service model/adapter` or `service
 * model/adapter@version`.
 */
export function loadName(service: string, target: ModelTarget): string {
  return `${service} ${targetKey(target)}`;
}
