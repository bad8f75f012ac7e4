/** Keeps a router from sending to a replica that has just failed it, and lets one request try again later. */
import type { Clock } from '@woodbarrow/runtime';

const FAILURES_BEFORE_OPENING = 3;
const OPEN_DURATION_MS = 3000;

interface BreakerState {
  failures: number;
  openUntil: number;
}

/** One breaker for each worker. */
export class CircuitBreakers {
  private readonly states = new Map<string, BreakerState>();

  constructor(private readonly clock: Clock) {}

  /** Whether the worker may be tried now. */
  canTry(workerId: string): boolean {
    return (this.states.get(workerId)?.openUntil ?? 0) <= this.clock.monotonic();
  }

  /** The worker answered: all is forgiven. */
  recordSuccess(workerId: string): void {
    this.states.delete(workerId);
  }

  /** The worker failed; after several failures in a row it is left alone for a while. */
  recordFailure(workerId: string): void {
    const state = this.states.get(workerId) ?? { failures: 0, openUntil: 0 };
    state.failures += 1;
    if (state.failures >= FAILURES_BEFORE_OPENING)
      state.openUntil = this.clock.monotonic() + OPEN_DURATION_MS;
    this.states.set(workerId, state);
  }
}
