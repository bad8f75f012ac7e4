/** Calls that are answered after a while, or at once when something urgent comes. */
import { sleep, type Clock } from '@woodbarrow/runtime';

/** Held calls of one daemon. */
export class HeldCalls {
  private readonly waiting = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Waits for a time, or until all held calls are released. */
  async hold(durationMs: number): Promise<void> {
    const released = new AbortController();
    const release = (): void => {
      released.abort();
    };
    this.waiting.add(release);
    await sleep(this.clock, durationMs, released.signal);
    this.waiting.delete(release);
  }

  /** Ends the wait of all held calls. */
  releaseAll(): void {
    for (const release of this.waiting) release();
  }
}
