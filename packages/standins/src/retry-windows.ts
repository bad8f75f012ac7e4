/** Compares the retries that back ends received with the retry budget of the deployment, in every window. */

/** Limits on retries over all daemons. */
export interface RetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed per window besides. */
  readonly extra: number;
  readonly windowMs: number;
}

/** A request that arrived at a back end, or that a client sent. */
export interface TimedRequest {
  readonly id: string;
  /** Milliseconds; the same clock for all. */
  readonly at: number;
}

/** The window in which the retries come nearest to the budget, or exceed it most. */
export interface RetryWindow {
  readonly startsAt: number;
  readonly retries: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Returns the arrivals after the first one of each request, in order. */
export function retriesAmong(arrivals: readonly TimedRequest[]): TimedRequest[] {
  const seen = new Set<string>();
  return [...arrivals]
    .sort((left, right) => left.at - right.at)
    .filter(({ id }) => {
      const isRetry = seen.has(id);
      seen.add(id);
      return isRetry;
    });
}

/**
 * Returns the window with the largest difference between its retries and what is allowed; undefined without retries.
 *
 * @param arrivals All arrivals at the back ends of one service.
 * @param requests All requests that clients sent for the service, whether or not they arrived. Those of the window count, or of the
 * window before it, or of the one between the two, whichever has the most.
 */
export function worstRetryWindow(
  arrivals: readonly TimedRequest[],
  requests: readonly TimedRequest[],
  { ratio, extra, windowMs }: RetryLimits,
): RetryWindow | undefined {
  const retriesAt = retriesAmong(arrivals).map(({ at }) => at);
  const sentAt = requests.map(({ at }) => at).sort((left, right) => left - right);
  const windows = retriesAt.map((startsAt) => {
    const counts = [0, windowMs / 2, windowMs].map((earlierMs) =>
      countWithin(sentAt, startsAt - earlierMs, windowMs),
    );
    const requestCount = Math.max(...counts);
    const retries = countWithin(retriesAt, startsAt, windowMs);
    return { startsAt, retries, requests: requestCount, allowed: ratio * requestCount + extra };
  });
  const excess = ({ retries, allowed }: RetryWindow): number => retries - allowed;
  return windows.reduce<RetryWindow | undefined>(
    (worst, window) => (worst === undefined || excess(window) > excess(worst) ? window : worst),
    undefined,
  );
}

/** Number of times in `[from, from + windowMs)`; `times` is sorted. */
function countWithin(times: readonly number[], from: number, windowMs: number): number {
  return firstIndexFrom(times, from + windowMs) - firstIndexFrom(times, from);
}

function firstIndexFrom(times: readonly number[], from: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? 0) < from) low = middle + 1;
    else high = middle;
  }
  return low;
}
