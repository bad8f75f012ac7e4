/** Expected duration of a request's run, and feedback from its actual duration. */
import type { RunTimes } from '@woodbarrow/backends';
import type { RequestFacts } from './wire-dialect.js';

/** Run time estimate for one request. */
export class RunTimeEstimate {
  constructor(
    private readonly times: RunTimes,
    private readonly facts: RequestFacts,
  ) {}

  /** Expected duration of a run in milliseconds; 0 for requests without a model. */
  expectedMs(): number {
    const { target, expectedTokens } = this.facts;
    return target === undefined ? 0 : this.times.expectedMs(target.model, expectedTokens);
  }

  /** Records the duration of a complete run. */
  recordRun(durationMs: number): void {
    const { target, expectedTokens } = this.facts;
    if (target !== undefined) this.times.recordRun(target.model, expectedTokens, durationMs);
  }
}
