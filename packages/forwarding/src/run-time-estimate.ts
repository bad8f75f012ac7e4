/** What is expected of a request's run, and what is learnt from it. */
import type { RunTimes } from '@woodbarrow/backends';
import type { RequestFacts } from './wire-dialect.js';

/** Forecast for one request. */
export class RunTimeEstimate {
  constructor(
    private readonly times: RunTimes,
    private readonly facts: RequestFacts,
  ) {}

  /** Milliseconds that a run is expected to take; 0 where no model runs. */
  expectedMs(): number {
    const { target, expectedTokens } = this.facts;
    return target === undefined ? 0 : this.times.expectedMs(target.model, expectedTokens);
  }

  /** A whole run has ended well. */
  recordRun(durationMs: number): void {
    const { target, expectedTokens } = this.facts;
    if (target !== undefined) this.times.note(target.model, expectedTokens, durationMs);
  }
}
