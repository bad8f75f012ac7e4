/** Estimates the duration of model runs from completed runs and the output tokens that clients expected of them. */

/** Milliseconds per output token before any run has completed. */
const DEFAULT_MS_PER_TOKEN = 6;
/** Output tokens assumed for a run without an expected number before any run has completed. */
const DEFAULT_OUTPUT_TOKENS = 200;
/**
 * Factor by which each new run reduces the weight of the earlier ones; about twenty runs determine an
 * estimate.
 */
const DECAY_PER_RUN = 0.95;
/** Number of (decayed) runs from which a model has its own estimate; below it, that of all models applies. */
const MIN_RUNS_PER_MODEL = 5;

interface RunSums {
  runs: number;
  tokens: number;
  durationMs: number;
}

/** Tracks the durations of the runs that one daemon observes, by model. */
export class RunTimes {
  private readonly byModel = new Map<string, RunSums>();
  private readonly allModels: RunSums = { runs: 0, tokens: 0, durationMs: 0 };

  /** Returns the expected milliseconds of a run. @param tokens Output tokens that the client expects, if stated. */
  expectedMs(model: string, tokens: number | undefined): number {
    const modelSums = this.byModel.get(model);
    const sums = modelSums !== undefined && modelSums.runs >= MIN_RUNS_PER_MODEL ? modelSums : this.allModels;
    if (sums.tokens <= 0) return (tokens ?? DEFAULT_OUTPUT_TOKENS) * DEFAULT_MS_PER_TOKEN;
    return (tokens ?? sums.tokens / sums.runs) * (sums.durationMs / sums.tokens);
  }

  /** Records a successful run. */
  recordRun(model: string, tokens: number | undefined, durationMs: number): void {
    let modelSums = this.byModel.get(model);
    if (modelSums === undefined) {
      modelSums = { runs: 0, tokens: 0, durationMs: 0 };
      this.byModel.set(model, modelSums);
    }
    const countedTokens =
      tokens ??
      (this.allModels.runs > 0 ? this.allModels.tokens / this.allModels.runs : DEFAULT_OUTPUT_TOKENS);
    for (const sums of [modelSums, this.allModels]) {
      sums.runs = sums.runs * DECAY_PER_RUN + 1;
      sums.tokens = sums.tokens * DECAY_PER_RUN + countedTokens;
      sums.durationMs = sums.durationMs * DECAY_PER_RUN + durationMs;
    }
  }
}
