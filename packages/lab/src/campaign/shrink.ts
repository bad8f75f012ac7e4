/** Reduces the faults of a failing simulation to a short list that still fails. */
import type { Scenario } from '../scenario/scenario-schema.js';
import type { PlannedFault } from '../simulation/fault-plan.js';
import { runSimulation } from '../simulation/run-simulation.js';

/** Maximum number of simulations per reduction. */
const MAX_SHRINK_RUNS = 60;

/** Removes faults in ever smaller groups, from half of them to single ones, while the same checker still fails. */
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
