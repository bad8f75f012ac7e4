/** Observed runs of one service: their mean duration, and how the slots are divided among the priorities. */

/** Factor by which each run reduces the weight of the earlier ones; the last 20 runs or so count. */
const DECAY_PER_RUN = 0.95;
/** Number of (decayed) runs below which their division among the priorities is not used. */
const MIN_RUNS = 5;

/** Runs of one service as observed by this daemon. Durations in milliseconds. */
export class RunMix {
  private runs = 0;
  private totalMs = 0;
  private readonly msByPriority = new Map<number, number>();

  /** Records a run that has ended. */
  record(priority: number, durationMs: number): void {
    this.runs = this.runs * DECAY_PER_RUN + 1;
    this.totalMs = this.totalMs * DECAY_PER_RUN + durationMs;
    for (const [key, ms] of this.msByPriority) this.msByPriority.set(key, ms * DECAY_PER_RUN);
    this.msByPriority.set(priority, (this.msByPriority.get(priority) ?? 0) + durationMs);
  }

  /** Mean duration of a run; undefined before any run has ended. */
  get meanMs(): number | undefined {
    return this.runs > 0 ? this.totalMs / this.runs : undefined;
  }

  /**
   * Returns the share of the slot time that goes to runs less urgent than a priority; 1 while too little is known, so
   * that an urgent request is not held back without a reason.
   */
  lessUrgentShare(priority: number): number {
    let lessUrgentMs = 0;
    for (const [key, ms] of this.msByPriority) if (key > priority) lessUrgentMs += ms;
    if (this.runs < MIN_RUNS || this.totalMs <= 0) return 1;
    return lessUrgentMs / this.totalMs;
  }
}
