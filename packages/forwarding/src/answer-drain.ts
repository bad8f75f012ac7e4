/** Reads the rest of an answer that nobody needs, so that its connection can be used again. */
import type { BackendResponse, Clock } from '@woodbarrow/runtime';

/** Maximum number of bytes that are read, and maximum time in milliseconds; beyond either the connection is closed. */
export const MAX_DRAINED_BYTES = 64 * 1024;
const DRAIN_TIMEOUT_MS = 1000;

/** Drains an answer. Resolves with whether it exceeded the limits. Never rejects. */
export async function drainAnswer(answer: BackendResponse, clock: Clock): Promise<boolean> {
  let isOverlong = false;
  const cancelTimer = clock.schedule(DRAIN_TIMEOUT_MS, () => {
    isOverlong = true;
    answer.discard();
  });
  let bytes = 0;
  try {
    for await (const chunk of answer.body) {
      bytes += chunk.byteLength;
      if (bytes <= MAX_DRAINED_BYTES) continue;
      isOverlong = true;
      break;
    }
  } catch {
    // A broken connection needs no draining.
  }
  cancelTimer();
  if (isOverlong) answer.discard();
  return isOverlong;
}
