/** `woodbarrow-lab simulate` and `simulate-all`: run scenarios on the virtual clock. */
import { basename } from 'node:path';
import { runCampaign, type CampaignJob, type CampaignResult } from '../campaign/campaign.js';
import { parseSeeds } from '../campaign/seed-range.js';
import { shrinkFaults } from '../campaign/shrink.js';
import { loadScenario } from '../scenario/load-scenario.js';
import { allScenarioFiles, scenarioFile } from '../scenario/scenario-files.js';
import { runSimulation } from '../simulation/run-simulation.js';
import { print } from './print.js';

/** Options of {@link simulate}. */
export interface SimulateOptions {
  readonly scenario: string;
  readonly seeds: string;
  readonly json: boolean;
  /** Runs only the first seed and prints its timeline. */
  readonly trace: boolean;
  readonly shrink: boolean;
  /** Number of threads; one per core when absent. */
  readonly threads?: number | undefined;
}

/** Seed ranges that `simulate-all` runs for scenarios without and with faults. */
const CHECK_SEEDS = { plain: '1..2', faults: '1..16' } as const;

/** Runs one scenario under each seed. Resolves with the exit code. */
export async function simulate(options: SimulateOptions): Promise<number> {
  const file = scenarioFile(options.scenario);
  const seeds = parseSeeds(options.seeds);
  if (options.trace) return traceSeed(file, seeds[0] ?? 1);
  const jobs = seeds.map((seed) => ({ scenarioFile: file, seed }));
  const results = await runJobs(jobs, options.json, options.threads);
  if (options.shrink) await shrinkFirstFailure(results);
  return exitCodeOf(results);
}

/** Runs fixed seeds of all shipped scenarios. Resolves with the exit code. */
export async function simulateAll(): Promise<number> {
  const jobs = allScenarioFiles().flatMap((file) => {
    const seeds = parseSeeds(file.endsWith('-faults.yaml') ? CHECK_SEEDS.faults : CHECK_SEEDS.plain);
    return seeds.map((seed) => ({ scenarioFile: file, seed }));
  });
  return exitCodeOf(await runJobs(jobs, false));
}

async function runJobs(
  jobs: readonly CampaignJob[],
  json: boolean,
  threads?: number,
): Promise<CampaignResult[]> {
  const printResult = (result: CampaignResult): void => {
    print(json ? JSON.stringify(result.summary) : formatResult(result));
  };
  const results = await runCampaign(jobs, printResult, threads);
  if (!json) printTotals(results);
  return results;
}

function formatResult({ scenarioFile: file, seed, summary, wallMs }: CampaignResult): string {
  const { requests, coldStartMs, violations, digest, virtualSeconds } = summary;
  const name = basename(file, '.yaml').padEnd(22);
  const speed = Math.round(virtualSeconds / (wallMs / 1000));
  const counts = `${String(requests.served)}/${String(requests.sent)} served`;
  const verdictText =
    violations.length === 0
      ? 'ok'
      : violations.map(({ checker, detail }) => `${checker}: ${detail}`).join('; ');
  return `${name} seed ${String(seed).padEnd(5)} ${digest} ${counts} cold p99 ${String(coldStartMs.p99)} ms x${String(speed)} ${verdictText}`;
}

function printTotals(results: readonly CampaignResult[]): void {
  const virtual = results.reduce((total, { summary }) => total + summary.virtualSeconds, 0);
  const cpuSeconds = results.reduce((total, { wallMs }) => total + wallMs / 1000, 0);
  const failing = results.filter(({ summary }) => !hasPassed(summary)).length;
  const speed = Math.round(virtual / cpuSeconds);
  print(
    `${String(results.length)} runs, ${String(failing)} failing, ${String(speed)} virtual seconds a thread second`,
  );
}

function hasPassed(summary: CampaignResult['summary']): boolean {
  return summary.violations.length === 0 && summary.requests.unanswered === 0;
}

function exitCodeOf(results: readonly CampaignResult[]): number {
  const failing = results.filter(({ summary }) => !hasPassed(summary));
  for (const { scenarioFile: file, seed } of failing) {
    print(`replay: woodbarrow-lab simulate ${basename(file, '.yaml')} --seeds ${String(seed)} --trace`);
  }
  return failing.length === 0 ? 0 : 1;
}

async function shrinkFirstFailure(results: readonly CampaignResult[]): Promise<void> {
  const failure = results.find(({ summary }) => summary.violations.length > 0);
  const checker = failure?.summary.violations[0]?.checker;
  if (failure === undefined || checker === undefined) return;
  const scenario = loadScenario(failure.scenarioFile);
  const { faults } = await runSimulation({ scenario, seed: failure.seed });
  const shortest = await shrinkFaults(scenario, failure.seed, faults, checker);
  print(
    `seed ${String(failure.seed)} still breaks ${checker} with ${String(shortest.length)} of ${String(faults.length)} faults:`,
  );
  for (const fault of shortest) print(`  ${JSON.stringify(fault)}`);
}

async function traceSeed(file: string, seed: number): Promise<number> {
  const { summary, trace } = await runSimulation({ scenario: loadScenario(file), seed, keepTrace: true });
  for (const { atMs, text } of trace) print(`${(atMs / 1000).toFixed(3).padStart(10)}  ${text}`);
  print(JSON.stringify(summary, null, 2));
  return hasPassed(summary) ? 0 : 1;
}
