/** Time that the pace of the workers adds to a run, for the choice among them. */
import type { PaceView, RunTimes } from '@woodbarrow/backends';
import type { RequestFacts } from './wire-dialect.js';

/** Effect of the pace of some workers on one request. */
export class PaceCost {
  /** Largest difference of {@link PaceCost.addedMs} between two of the workers. */
  private readonly spreadMs: number;
  private readonly paceById: ReadonlyMap<string, number>;
  /** Expected duration of the run at the usual pace, in milliseconds. */
  private readonly runMs: number;

  constructor(
    { target, expectedTokens }: RequestFacts,
    backEndIds: readonly string[],
    view: PaceView,
    runTimes: RunTimes,
  ) {
    this.paceById = new Map(backEndIds.map((id) => [id, view.paceOf(id)]));
    this.runMs = target === undefined ? 0 : runTimes.expectedMs(target.model, expectedTokens);
    const paces = [...this.paceById.values()];
    this.spreadMs = paces.length === 0 ? 0 : this.runMs * (Math.max(...paces) - Math.min(...paces));
  }

  /** Duration of work on a worker relative to the usual; 1 if unknown. */
  paceOf(backEndId: string): number {
    return this.paceById.get(backEndId) ?? 1;
  }

  /**
   * Milliseconds that the pace of a worker adds to the whole run, negative on a fast worker; 0 if its pace is unknown. The
   * events after the first one are late on a slow worker too, so the time to the first event alone does not suffice.
   */
  addedMs(backEndId: string): number {
    return this.runMs * (this.paceOf(backEndId) - 1);
  }

  /** Raises a penalty above any difference of pace, so that a full or failing worker is not preferred for its pace. */
  penaltyMs(penaltyMs: number): number {
    return penaltyMs === 0 ? 0 : penaltyMs + this.spreadMs;
  }
}
