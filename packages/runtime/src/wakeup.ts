/** Interruptible wait. */
import type { Clock } from './clock.js';

/** Lets one task wait until another wakes it. A wake-up without a waiting task completes the next wait immediately. */
export class Wakeup {
  private pending = false;
  private finish: (() => void) | undefined;

  /** Completes the current wait, or the next one when no task is waiting. */
  wake(): void {
    if (this.finish === undefined) this.pending = true;
    else this.finish();
  }

  /** Resolves after `limitMs` milliseconds, on a wake-up, or when `signal` aborts. */
  wait(clock: Clock, limitMs: number, signal: AbortSignal): Promise<void> {
    if (this.pending || signal.aborted) {
      this.pending = false;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = (): void => {
        this.finish = undefined;
        cancel();
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.finish = finish;
      const cancel = clock.schedule(limitMs, finish);
      signal.addEventListener('abort', finish);
    });
  }
}
