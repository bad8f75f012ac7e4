/** `woodbarrow-lab quickstart`: runs a complete deployment on loopback in one process under light load. */
import { Random, TaskGroup } from '@woodbarrow/runtime';
import { scenarioFile } from '../scenario/scenario-files.js';
import { loadScenario } from '../scenario/load-scenario.js';
import { planWorkload } from '../traffic/workload.js';
import { RealDeployment } from '../real/real-deployment.js';
import { formatRows, buildRealReport } from '../real/real-report.js';
import { RealTraffic } from '../real/real-traffic.js';
import { print } from './print.js';

/** Options of {@link quickstart}. */
export interface QuickstartOptions {
  readonly deployment: string;
  /** Exits after the report instead of running until interrupted. */
  readonly once: boolean;
}

const LOAD_SECONDS = 20;
const LOAD_TIME_FACTOR = 0.1;
const SEED = 1;
const PROGRESS_INTERVAL_MS = 500;

/** Runs a deployment and prints its report. Resolves with the exit code. */
export async function quickstart(options: QuickstartOptions): Promise<number> {
  const full = loadScenario(scenarioFile(options.deployment));
  const scenario = { ...full, durationSeconds: LOAD_SECONDS };
  print(`starting ${scenario.name}: stand-in platform, engines and daemons ...`);
  const deployment = new RealDeployment({
    scenario,
    seed: SEED,
    separateProcesses: false,
    loadTimeFactor: LOAD_TIME_FACTOR,
  });
  await deployment.start();
  printAddresses(deployment);
  const random = new Random(SEED);
  const traffic = new RealTraffic(deployment, random.fork());
  const display = new TaskGroup(deployment.clock, () => undefined);
  display.loop(
    'quickstart.progress',
    () => PROGRESS_INTERVAL_MS,
    () => {
      showProgress(traffic);
      return Promise.resolve();
    },
  );
  await traffic.send(planWorkload(scenario, deployment.plan, random.fork()));
  await traffic.settle();
  await display.stop();
  showProgress(traffic);
  const report = buildRealReport(deployment, traffic.totals());
  print(`\n\n${formatRows(report.rows)}\n`);
  print(report.violations.length === 0 ? 'every promise held' : `BROKEN: ${report.violations.join('; ')}`);
  if (!options.once) {
    print('the deployment stays up; press Ctrl-C to end it');
    await waitForTermination();
  }
  await deployment.stop();
  return report.violations.length === 0 ? 0 : 1;
}

function printAddresses(deployment: RealDeployment): void {
  for (const { plan, callerOrigin, operatorOrigin } of deployment.daemons) {
    print(`  ${plan.id.padEnd(16)} callers ${callerOrigin}  operators ${operatorOrigin}`);
  }
  const [daemon] = deployment.daemons;
  const [tenant] = deployment.plan.tenants;
  const [model] = tenant?.parameters.models ?? [];
  const operatorToken = deployment.plan.operatorTokens.get(tenant?.partner ?? '') ?? '';
  print(`
a caller:
  curl -N ${daemon?.callerOrigin ?? ''}/v1/chat/completions -H 'authorization: Bearer ${tenant?.callerToken ?? ''}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"${model?.name ?? ''}","stream":true,"messages":[{"role":"user","content":"hello #1"}]}'
an operator:
  curl ${daemon?.operatorOrigin ?? ''}/status/models -H 'authorization: Bearer ${operatorToken}'
  npx woodbarrow template list --server ${daemon?.operatorOrigin ?? ''} --token ${operatorToken}
`);
}

function showProgress(traffic: RealTraffic): void {
  const { sent, ended } = traffic.progress;
  process.stdout.write(`\r  ${String(sent)} sent, ${String(ended)} ended   `);
}

function waitForTermination(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => {
      resolve();
    });
    process.once('SIGTERM', () => {
      resolve();
    });
  });
}
