/** Seed and number of runs of property tests: fixed, so that a run says the same each time, unless the environment says otherwise. */

const DEFAULT_RUNS = 500;
const DEFAULT_SEED = 1;
/** Running a property and making its counterexample smaller take so long at most, in milliseconds. */
const PROPERTY_TIME_LIMIT_MS = 40_000;
/** Time-out of a test that runs a property, in milliseconds. */
export const PROPERTY_TIMEOUT_MS = 60_000;

/** Parameters of one run of a property. */
export interface PropertyParameters {
  readonly seed: number;
  readonly numRuns: number;
  /** Place of one counterexample below the seed, as a failure prints it. */
  readonly path?: string;
  readonly interruptAfterTimeLimit: number;
  /** A time-out of the property itself is no pass. */
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
