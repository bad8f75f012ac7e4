/** `woodbarrow-lab hollow`: measures the coordination of a large fleet on the virtual clock. */
import { SystemClock } from '@woodbarrow/runtime';
import { runHollow } from '../hollow/hollow-run.js';
import type { HollowSize } from '../hollow/hollow-scenario.js';

/** Options of {@link hollow}. */
export interface HollowOptions extends HollowSize {
  readonly seed: number;
  readonly json: boolean;
}

/** Runs one fleet size and prints its report as JSON. Resolves with the exit code. */
export async function hollow(options: HollowOptions): Promise<number> {
  const { daemons, zones, regions, workers, models, adapters, requestsPerSecond, seed, json } = options;
  const clock = new SystemClock();
  const size = { daemons, zones, regions, workers, models, adapters, requestsPerSecond };
  const report = await runHollow(size, seed, () => clock.monotonic());
  process.stdout.write(`${JSON.stringify(report, null, json ? 0 : 2)}\n`);
  return 0;
}
