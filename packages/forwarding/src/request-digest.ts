/**
 * Identifies repeated attempts of the same request. Each attempt has its own id and deadline, so the digest covers only method,
 * host, target, key and body.
 */
import { contentDigest, type IncomingExchange } from '@woodbarrow/runtime';

/** Returns the hex digest that all attempts of one request share. @param keyDigest Empty if the caller has no key. */
export function requestDigest(exchange: IncomingExchange, keyDigest: string, body: Uint8Array): string {
  const { headers, method, target } = exchange;
  return contentDigest([method, headers['host'] ?? '', target, keyDigest, body]);
}
