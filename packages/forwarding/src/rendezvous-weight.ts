/** Hash of a pair, for rendezvous hashing without a shared table (FNV-1a with a final mix). */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** A 32-bit weight that is the same on every daemon; the owner of `key` is the member with the highest. */
export function rendezvousWeight(key: string, member: string): number {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < key.length; index += 1) hash = Math.imul(hash ^ key.charCodeAt(index), PRIME);
  for (let index = 0; index < member.length; index += 1)
    hash = Math.imul(hash ^ member.charCodeAt(index), PRIME);
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
