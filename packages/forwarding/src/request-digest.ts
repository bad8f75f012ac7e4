/**
 * Which requests are the same request sent again. Each attempt of a client has an id of its own, so its content tells: method, host,
 * target, the caller's key where it has one, and the body. The deadline and the attempt's id stay out of it.
 */
import { contentDigest, type IncomingExchange } from '@woodbarrow/runtime';

/** Digest that all attempts of one request share, in hex. */
export function requestDigest(exchange: IncomingExchange, keyDigest: string, body: Uint8Array): string {
  const { headers, method, target } = exchange;
  return contentDigest([method, headers['host'] ?? '', target, keyDigest, body]);
}
