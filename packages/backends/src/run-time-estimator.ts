/** How long runs of models take: learnt from runs that have ended, against the tokens that clients expected of them. */

/** Milliseconds a token until something is measured, for engines that step in 4 to 5 ms. */
const DEFAULT_MS_PER_TOKEN = 6;
/** Tokens of a run whose client expects no number, until something is measured. */
const DEFAULT_OUTPUT_TOKENS = 200;
/** What earlier runs count at each new one; about twenty runs make the figure. */
const DECAY_PER_RUN = 0.95;
/** Runs after which a model's own figure is believed; until then that of all models stands. */
const MIN_RUNS_PER_MODEL = 5;

interface RunSums {
  runs: number;
  tokens: number;
  durationMs: number;
}

/** Times of runs as one daemon sees them. */
export class RunTimes {
  private readonly byModel = new Map<string, RunSums>();
  private readonly allModels: RunSums = { runs: 0, tokens: 0, durationMs: 0 };

  /** Expected milliseconds of a run. @param tokens Tokens out that the client expects; undefined when it tells none. */
  expectedMs(model: string, tokens: number | undefined): number {
    const modelSums = this.byModel.get(model);
    const sums = modelSums !== undefined && modelSums.runs >= MIN_RUNS_PER_MODEL ? modelSums : this.allModels;
    if (sums.tokens <= 0) return (tokens ?? DEFAULT_OUTPUT_TOKENS) * DEFAULT_MS_PER_TOKEN;
    return (tokens ?? sums.tokens / sums.runs) * (sums.durationMs / sums.tokens);
  }

  /** Notes a run that has ended well. */
  note(model: string, tokens: number | undefined, durationMs: number): void {
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
