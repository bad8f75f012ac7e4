/** Races a promise against an abort signal. */

/** Result of {@link raceAbort} when the signal aborted first. */
export const ABORTED = Symbol('aborted');

/** Settles like the promise, or resolves with {@link ABORTED} if the signal aborts first. */
export async function raceAbort<T>(promise: Promise<T>, signal: AbortSignal): Promise<T | typeof ABORTED> {
  if (signal.aborted) return ABORTED;
  let stop: () => void = () => undefined;
  const aborted = new Promise<typeof ABORTED>((resolve) => {
    stop = () => {
      resolve(ABORTED);
    };
  });
  signal.addEventListener('abort', stop);
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', stop);
  }
}
