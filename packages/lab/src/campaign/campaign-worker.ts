/** Worker thread that runs one simulation per received job. */
import { parentPort } from 'node:worker_threads';
import { SystemClock } from '@woodbarrow/runtime';
import { loadScenario } from '../scenario/load-scenario.js';
import { runSimulation } from '../simulation/run-simulation.js';
import type { CampaignJob, WorkerMessage } from './campaign.js';

const clock = new SystemClock();

parentPort?.on('message', (job: CampaignJob) => {
  void run(job).then((message) => {
    parentPort?.postMessage(message);
  });
});

async function run(job: CampaignJob): Promise<WorkerMessage> {
  const startedAt = clock.monotonic();
  try {
    const { summary } = await runSimulation({ scenario: loadScenario(job.scenarioFile), seed: job.seed });
    return { type: 'result', result: { ...job, summary, wallMs: clock.monotonic() - startedAt } };
  } catch (error) {
    return {
      type: 'failure',
      job,
      message: error instanceof Error ? (error.stack ?? error.message) : String(error),
    };
  }
}
