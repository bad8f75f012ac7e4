/** What the decisions on replicas need to know of the past: the growth of loads, and the decisions made. */

interface Sample {
  readonly at: number;
  readonly loads: ReadonlyMap<string, number>;
}

/** Age of the load that the present one is compared with to find its growth, in milliseconds. */
const GROWTH_WINDOW_MS = 1000;
/** Minimum age of that load, in milliseconds; over a shorter time the growth is mostly chance. */
const MIN_GROWTH_WINDOW_MS = 300;
/**
 * Time for which the same worker is not chosen again for the same model, in milliseconds. Another worker is chosen
 * if the load did not start, and a replica that was evicted is not brought back at once.
 */
const SAME_WORKER_PAUSE_MS = 5000;

/** Past loads and decisions of one service, as seen by one coordinator. Times are monotonic, in milliseconds. */
export class SpreadHistory {
  private samples: Sample[] = [];
  private readonly decidedAt = new Map<string, number>();
  private readonly chosenAt = new Map<string, number>();

  /** Records the requests in progress per model. */
  record(now: number, loads: ReadonlyMap<string, number>): void {
    this.samples = [...this.samples.filter(({ at }) => now - at <= GROWTH_WINDOW_MS), { at: now, loads }];
    for (const [key, at] of this.chosenAt) if (now - at >= SAME_WORKER_PAUSE_MS) this.chosenAt.delete(key);
  }

  /**
   * Returns the growth of a model's load in requests per millisecond, without what chance explains: the number of
   * independent requests in progress varies by about its square root.
   */
  growthPerMs(model: string, load: number, now: number): number {
    const [before] = this.samples;
    if (before === undefined || now - before.at < MIN_GROWTH_WINDOW_MS) return 0;
    return Math.max(0, load - (before.loads.get(model) ?? 0) - Math.sqrt(load)) / (now - before.at);
  }

  /** Whether the last decision on a model is at least this many milliseconds ago. */
  isSettled(model: string, now: number, afterMs: number): boolean {
    return now - (this.decidedAt.get(model) ?? -Infinity) >= afterMs;
  }

  /** Whether a worker was recently chosen for a model. */
  wasChosen(model: string, workerId: string, now: number): boolean {
    return now - (this.chosenAt.get(`${model} ${workerId}`) ?? -Infinity) < SAME_WORKER_PAUSE_MS;
  }

  /** Records a decision, in whichever zone it is carried out. */
  recordDecision(model: string, workerId: string, now: number): void {
    this.decidedAt.set(model, now);
    this.chosenAt.set(`${model} ${workerId}`, now);
  }
}
