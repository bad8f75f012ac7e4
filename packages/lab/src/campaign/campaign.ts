/** Runs simulations of many seeds and scenarios in parallel worker threads. */
import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import type { SimulationSummary } from '../simulation/simulation-summary.js';

/** One simulation to run. */
export interface CampaignJob {
  readonly scenarioFile: string;
  readonly seed: number;
}

/** Result of one simulation. */
export interface CampaignResult extends CampaignJob {
  readonly summary: SimulationSummary;
  readonly wallMs: number;
}

/** Message from a worker thread. */
export type WorkerMessage =
  | { readonly type: 'result'; readonly result: CampaignResult }
  | { readonly type: 'failure'; readonly job: CampaignJob; readonly message: string };

/** Runs all jobs and calls `onResult` after each. Rejects if a simulation throws. */
export function runCampaign(
  jobs: readonly CampaignJob[],
  onResult: (result: CampaignResult) => void,
  threads = Math.min(availableParallelism(), jobs.length),
): Promise<CampaignResult[]> {
  const results: CampaignResult[] = [];
  const queue = [...jobs];
  const workerFile = new URL('./campaign-worker.js', import.meta.url);
  const runThread = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(workerFile);
      const next = (): void => {
        const job = queue.shift();
        if (job === undefined) {
          void worker.terminate();
          resolve();
        } else worker.postMessage(job);
      };
      worker.on('message', (message: WorkerMessage) => {
        if (message.type === 'failure') {
          void worker.terminate();
          reject(
            new Error(`${message.job.scenarioFile} seed ${String(message.job.seed)}: ${message.message}`),
          );
          return;
        }
        results.push(message.result);
        onResult(message.result);
        next();
      });
      worker.on('error', reject);
      next();
    });
  return Promise.all(Array.from({ length: threads }, runThread)).then(() => results);
}
