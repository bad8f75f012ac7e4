/** `woodbarrow-lab compare`: compares baseline policies and the product on the same arrivals. */
import { runCampaign } from '../campaign/campaign.js';
import { parseSeeds } from '../campaign/seed-range.js';
import { BASELINES, runBaseline, type PolicyOutcome } from '../policies/policy-simulator.js';
import { loadScenario } from '../scenario/load-scenario.js';
import { scenarioFile } from '../scenario/scenario-files.js';
import { SimulatedDeployment } from '../simulation/simulated-deployment.js';
import { planWorkload } from '../traffic/workload.js';

/** Options of {@link compare}. */
export interface CompareOptions {
  readonly scenario: string;
  readonly seeds: string;
  readonly json: boolean;
}

const PRODUCT_POLICY = 'woodbarrow';

/** Runs all policies and prints one line per policy. Resolves with the exit code. */
export async function compare(options: CompareOptions): Promise<number> {
  const file = scenarioFile(options.scenario);
  const scenario = loadScenario(file);
  const seeds = parseSeeds(options.seeds);
  const outcomes: PolicyOutcome[] = [];
  for (const seed of seeds) {
    // Draws random values in the same order as a simulation, so that both get the same workload.
    const deployment = new SimulatedDeployment({ scenario, seed });
    const workload = planWorkload(scenario, deployment.plan, deployment.random.fork());
    const input = { scenario, plan: deployment.plan, workload, seed };
    for (const policy of BASELINES) outcomes.push(runBaseline(policy, input));
  }
  const jobs = seeds.map((seed) => ({ scenarioFile: file, seed }));
  for (const { seed, summary } of await runCampaign(jobs, () => undefined)) {
    const { coldStartMs, firstTokenMs, idleAcceleratorHours, loads, requests } = summary;
    const late = requests.sent - requests.served;
    outcomes.push({
      policy: PRODUCT_POLICY,
      seed,
      coldStartMs,
      firstTokenMs,
      idleAcceleratorHours,
      loads,
      late,
    });
  }
  for (const policy of [...BASELINES, PRODUCT_POLICY]) {
    const policyOutcomes = outcomes.filter((outcome) => outcome.policy === policy);
    process.stdout.write(
      `${options.json ? JSON.stringify(policyOutcomes) : formatPolicyLine(policy, policyOutcomes)}\n`,
    );
  }
  return 0;
}

function formatPolicyLine(policy: string, outcomes: readonly PolicyOutcome[]): string {
  const spread = (pick: (outcome: PolicyOutcome) => number): string => {
    const values = outcomes.map(pick).sort((left, right) => left - right);
    const middle = values[Math.floor(values.length / 2)] ?? 0;
    return `${String(middle)} (${String(values[0] ?? 0)} to ${String(values.at(-1) ?? 0)})`;
  };
  return [
    policy.padEnd(17),
    `cold count ${spread((outcome) => outcome.coldStartMs.count)}`,
    `p95 ${spread((outcome) => outcome.coldStartMs.p95)} ms`,
    `p99 ${spread((outcome) => outcome.coldStartMs.p99)} ms`,
    `first token p99 ${spread((outcome) => outcome.firstTokenMs.p99)} ms`,
    `idle ${spread((outcome) => outcome.idleAcceleratorHours)} h`,
    `loads ${spread((outcome) => outcome.loads)}`,
    `late ${spread((outcome) => outcome.late)}`,
  ].join('  ');
}
