/** Conversion of stored streams to and from their form in messages. */
import type { StreamOrigin } from '@woodbarrow/forwarding';
import type { StreamOriginEntry } from '@woodbarrow/protocol';
import type { StoredOrigin } from './origin-table.js';

/** Converts a stored stream to a message. @param now Monotonic time in milliseconds. */
export function toEntry(
  streamId: string,
  { origin, expiresAt }: StoredOrigin,
  now: number,
): StreamOriginEntry {
  return { i: streamId, s: origin.service, v: origin.softwareVersion, r: Math.ceil(expiresAt - now) };
}

/** Converts a message to an origin. */
export function toOrigin({ s, v }: StreamOriginEntry): StreamOrigin {
  return { service: s, softwareVersion: v };
}
