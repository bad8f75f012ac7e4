/** Loads as contents: what is loaded stands for all loads of it, whichever coordinator orders them. */
import { targetKey, type ModelTarget } from '@woodbarrow/backends';
import { contentDigest } from '@woodbarrow/runtime';

/** Begin of the contents that stand for loads; digests of requests are hexadecimal and never begin so. */
const LOAD_PREFIX = 'load-';

/** Content of a load of a model, or of an adapter of it: names of records allow fewer characters than names of models. */
export function loadContent(service: string, target: ModelTarget): string {
  return `${LOAD_PREFIX}${contentDigest([service, targetKey(target)])}`;
}

/** Whether a content stands for a load. */
export function isLoadContent(content: string): boolean {
  return content.startsWith(LOAD_PREFIX);
}

/** Name of a load for operators: `service model`, `service model/adapter` or `service model/adapter@version`. */
export function loadName(service: string, target: ModelTarget): string {
  return `${service} ${targetKey(target)}`;
}
