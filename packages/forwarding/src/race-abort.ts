/** Waits that end with a signal. */

/** Stands for a value that had not come when the signal aborted. */
export const ABORTED = Symbol('aborted');

/** Settles as the promise does, or with {@link ABORTED} where the signal aborts first. */
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
