/** Calls whose response is delayed until a time has passed or an urgent change arrives. */
import { sleep, type Clock } from '@woodbarrow/runtime';

/** Calls that one daemon holds. */
export class HeldCalls {
  private readonly waiting = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Waits for `durationMs` milliseconds or until all held calls are released. */
  async hold(durationMs: number): Promise<void> {
    const released = new AbortController();
    const release = (): void => {
      released.abort();
    };
    this.waiting.add(release);
    await sleep(this.clock, durationMs, released.signal);
    this.waiting.delete(release);
  }

  /** Releases all held calls. */
  releaseAll(): void {
    for (const release of this.waiting) release();
  }
}
