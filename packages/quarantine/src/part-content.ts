/**
 * Identifies parts of prompts as contents, so that requests which share one also share its crash evidence, whatever else they hold and
 * wherever they are sent.
 */
import { contentDigest } from '@woodbarrow/runtime';

/** Prefix of part contents. Request digests are hexadecimal and never start with it. */
const PART_PREFIX = 'part-';
/** Ids that a record name may contain as they are; others are replaced by a digest. */
const PLAIN_ID = /^[0-9a-f]{1,32}$/;
/** Maximum number of parts of one request that are tracked, the first ones. */
const MAX_PARTS = 32;

/** Returns the contents of prompt parts, without repetition. */
export function partContents(ids: readonly string[]): readonly string[] {
  const unique = [...new Set(ids)].slice(0, MAX_PARTS);
  return unique.map((id) => `${PART_PREFIX}${PLAIN_ID.test(id) ? id : contentDigest([id])}`);
}

export function isPartContent(content: string): boolean {
  return content.startsWith(PART_PREFIX);
}
