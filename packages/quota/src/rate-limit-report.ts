/**
 * Converts observed rate limits to and from messages. Messages carry ages instead of times, because
 * the clocks of daemons differ.
 */
import type { ReceivedRateLimit } from '@woodbarrow/forwarding';
import type { RateLimitReport } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** Converts an observed rate limit to a message for another daemon. */
export function toReport(observed: ReceivedRateLimit, clock: Clock): RateLimitReport {
  const heardAgoMs = Math.max(0, clock.monotonic() - observed.receivedAt);
  const { requestsPerSecond } = observed;
  return requestsPerSecond === undefined ? { heardAgoMs } : { requestsPerSecond, heardAgoMs };
}

/** Converts a received report to local time. The network delay makes it appear newer than it is. */
export function fromReport(
  { requestsPerSecond, heardAgoMs }: RateLimitReport,
  clock: Clock,
): ReceivedRateLimit {
  const receivedAt = clock.monotonic() - heardAgoMs;
  return requestsPerSecond === undefined ? { receivedAt } : { requestsPerSecond, receivedAt };
}
