/** Hash functions: non-cryptographic hashes with xxHash and content digests with SHA-256. */
import { createHash } from 'node:crypto';
import { xxHash32 } from 'js-xxhash';

/** Returns a 32-bit non-cryptographic hash. Uses the JavaScript implementation because WebAssembly slows down process start. */
export function hashText(text: string, seed = 0): number {
  return xxHash32(text, seed);
}

/** Length of a content digest in hex characters: 128 bits make accidental collisions negligible. */
const DIGEST_CHARACTERS = 32;

/** Returns the hex digest of a sequence of pieces. Each piece is prefixed by its length, so that boundaries affect the digest. */
export function contentDigest(pieces: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const piece of pieces) {
    const bytes = typeof piece === 'string' ? Buffer.from(piece) : piece;
    hash.update(`${String(bytes.byteLength)}:`).update(bytes);
  }
  return hash.digest('hex').slice(0, DIGEST_CHARACTERS);
}
