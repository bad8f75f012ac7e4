/** Seed and number of runs of property tests: fixed for reproducible results, unless set in the environment. */

const DEFAULT_RUNS = 500;
const DEFAULT_SEED = 1;
/** Time limit for running a property and shrinking its counterexample, in milliseconds. */
const PROPERTY_TIME_LIMIT_MS = 40_000;
/** Timeout of a test that runs a property, in milliseconds. */
export const PROPERTY_TIMEOUT_MS = 60_000;

/** Parameters for `fc.assert`. */
export interface PropertyParameters {
  readonly seed: number;
  readonly numRuns: number;
  /** Path of one counterexample, as printed by a failure. */
  readonly path?: string;
  readonly interruptAfterTimeLimit: number;
  /** Whether reaching the time limit fails the test. */
  readonly markInterruptAsFailure: boolean;
}

/** Reads PROPERTY_SEED, PROPERTY_RUNS and PROPERTY_PATH. */
export function propertyParameters(): PropertyParameters {
  const { PROPERTY_SEED, PROPERTY_RUNS, PROPERTY_PATH } = process.env;
  return {
    seed: Number(PROPERTY_SEED ?? DEFAULT_SEED),
    numRuns: Number(PROPERTY_RUNS ?? DEFAULT_RUNS),
    interruptAfterTimeLimit: PROPERTY_TIME_LIMIT_MS,
    markInterruptAsFailure: true,
    ...(PROPERTY_PATH === undefined ? {} : { path: PROPERTY_PATH }),
  };
}
