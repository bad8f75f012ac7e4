/** Circuit breakers that stop a router from sending requests to workers that keep failing. */
import type { Clock } from '@woodbarrow/runtime';

const FAILURES_BEFORE_OPENING = 3;
const OPEN_DURATION_MS = 3000;

interface BreakerState {
  failures: number;
  openUntil: number;
}

/** Tracks one circuit breaker for each worker, from the failures that this router observed. */
export class CircuitBreakers {
  private readonly states = new Map<string, BreakerState>();

  constructor(private readonly clock: Clock) {}

  /** Whether the worker's breaker is closed, or its open period has ended. */
  canTry(workerId: string): boolean {
    return (this.states.get(workerId)?.openUntil ?? 0) <= this.clock.monotonic();
  }

  /** Closes the breaker and resets its failure count. */
  recordSuccess(workerId: string): void {
    this.states.delete(workerId);
  }

  /** Records a failure; several consecutive ones open the breaker for {@link OPEN_DURATION_MS}. */
  recordFailure(workerId: string): void {
    const state = this.states.get(workerId) ?? { failures: 0, openUntil: 0 };
    state.failures += 1;
    if (state.failures >= FAILURES_BEFORE_OPENING)
      state.openUntil = this.clock.monotonic() + OPEN_DURATION_MS;
    this.states.set(workerId, state);
  }
}
