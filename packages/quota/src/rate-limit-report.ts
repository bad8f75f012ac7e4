/** What daemons tell each other of a back end's rate limit: ages instead of times, since each has a clock of its own. */
import type { HeardRateLimit } from '@woodbarrow/forwarding';
import type { RateLimitReport } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** To be told to another daemon. */
export function toReport(observed: HeardRateLimit, clock: Clock): RateLimitReport {
  const heardAgoMs = Math.max(0, clock.monotonic() - observed.heardAt);
  const { requestsPerSecond } = observed;
  return requestsPerSecond === undefined ? { heardAgoMs } : { requestsPerSecond, heardAgoMs };
}

/** As told by another daemon; the way that it took makes it look newer than it is. */
export function fromReport({ requestsPerSecond, heardAgoMs }: RateLimitReport, clock: Clock): HeardRateLimit {
  const heardAt = clock.monotonic() - heardAgoMs;
  return requestsPerSecond === undefined ? { heardAt } : { requestsPerSecond, heardAt };
}
