/** How long runs of models take: learnt from runs that have ended, against the tokens that clients expected of them. */

/** Milliseconds a token until something is measured, for engines that step in 4 to 5 ms. */
const FIRST_MS_PER_TOKEN = 6;
/** Tokens of a run whose client expects no number, until something is measured. */
const FIRST_TOKENS = 200;
/** What earlier runs count at each new one; about twenty runs make the figure. */
const MEMORY = 0.95;
/** Runs after which a model's own figure is believed; until then that of all models stands. */
const RUNS_BELIEVED = 5;

interface RunSums {
  runs: number;
  tokens: number;
  tookMs: number;
}

/** Times of runs as one daemon sees them. */
export class RunTimes {
  private readonly byModel = new Map<string, RunSums>();
  private readonly all: RunSums = { runs: 0, tokens: 0, tookMs: 0 };

  /** Expected milliseconds of a run. @param tokens Tokens out that the client expects; undefined when it tells none. */
  expectedMs(model: string, tokens: number | undefined): number {
    const own = this.byModel.get(model);
    const sums = own !== undefined && own.runs >= RUNS_BELIEVED ? own : this.all;
    if (sums.tokens <= 0) return (tokens ?? FIRST_TOKENS) * FIRST_MS_PER_TOKEN;
    return (tokens ?? sums.tokens / sums.runs) * (sums.tookMs / sums.tokens);
  }

  /** Notes a run that has ended well. */
  note(model: string, tokens: number | undefined, tookMs: number): void {
    let own = this.byModel.get(model);
    if (own === undefined) {
      own = { runs: 0, tokens: 0, tookMs: 0 };
      this.byModel.set(model, own);
    }
    const counted = tokens ?? (this.all.runs > 0 ? this.all.tokens / this.all.runs : FIRST_TOKENS);
    for (const sums of [own, this.all]) {
      sums.runs = sums.runs * MEMORY + 1;
      sums.tokens = sums.tokens * MEMORY + counted;
      sums.tookMs = sums.tookMs * MEMORY + tookMs;
    }
  }
}
