/** Observed runs of one service: their mean duration, and how the slots are divided among the priorities. */

/** Factor by which each run reduces the weight of the earlier ones; the last 20 runs or so count. */
const DECAY_PER_RUN = 0.95;
/** Number of (decayed) runs below which nothing is derived from them. */
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

  /** Returns the share of the slot time that goes to runs less urgent than a priority; 0 while too little is known. */
  lessUrgentShare(priority: number): number {
    if (this.runs < MIN_RUNS || this.totalMs <= 0) return 0;
    let lessUrgentMs = 0;
    for (const [key, ms] of this.msByPriority) if (key > priority) lessUrgentMs += ms;
    return lessUrgentMs / this.totalMs;
  }
}
