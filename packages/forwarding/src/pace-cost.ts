/** Time that the pace of a worker adds to a run, for the choice among workers. */
import type { PaceView, RunTimes } from '@woodbarrow/backends';
import type { RequestFacts } from './wire-dialect.js';

/** Estimates the effect of the workers' pace on one request. */
export class PaceCost {
  /** Expected duration of the run at the usual pace, in milliseconds. */
  private readonly runMs: number;

  constructor(
    private readonly paces: PaceView,
    runTimes: RunTimes,
    { target, expectedTokens }: RequestFacts,
  ) {
    this.runMs = target === undefined ? 0 : runTimes.expectedMs(target.model, expectedTokens);
  }

  /** Duration of work on a worker relative to the usual; 1 if unknown. */
  paceOf(backEndId: string): number {
    return this.paces.paceOf(backEndId);
  }

  /**
   * Milliseconds that the pace of a worker adds to the whole run, negative on a fast worker; 0 if its pace is unknown. The
   * events after the first one are late on a slow worker too, so the time to the first event alone does not suffice.
   */
  addedMs(backEndId: string): number {
    return this.runMs * (this.paces.paceOf(backEndId) - 1);
  }

  /**
   * Largest difference of {@link PaceCost.addedMs} between two of the workers. Added to the cost of workers to be used last,
   * such as full ones, so that the pace of a worker never makes up for that.
   */
  spreadMs(backEndIds: readonly string[]): number {
    const added = backEndIds.map((id) => this.addedMs(id));
    return added.length === 0 ? 0 : Math.max(...added) - Math.min(...added);
  }
}
