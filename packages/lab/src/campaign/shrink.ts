/** Finds a short list of faults under which a seed still fails. */
import type { Scenario } from '../scenario/scenario-schema.js';
import type { PlannedFault } from '../simulation/fault-plan.js';
import { runSimulation } from '../simulation/run-simulation.js';

/** Largest number of runs spent on shrinking. */
const MAX_SHRINK_RUNS = 60;

/** Drops faults, half of them at first and single ones at last, as long as the same checker still reports. */
export async function shrinkFaults(
  scenario: Scenario,
  seed: number,
  faults: readonly PlannedFault[],
  checker: string,
): Promise<readonly PlannedFault[]> {
  let best = faults;
  let runs = 0;
  const fails = async (candidate: readonly PlannedFault[]): Promise<boolean> => {
    runs += 1;
    const { summary } = await runSimulation({ scenario, seed, faults: candidate });
    return summary.violations.some((violation) => violation.checker === checker);
  };
  for (let size = Math.ceil(best.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
    for (let start = 0; start < best.length && runs < MAX_SHRINK_RUNS;) {
      const candidate = [...best.slice(0, start), ...best.slice(start + size)];
      if (await fails(candidate)) best = candidate;
      else start += size;
    }
  }
  return best;
}
