/** Runs many seeds of many scenarios on all cores. */
import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import type { SimulationSummary } from '../simulation/simulation-summary.js';

/** One run to make. */
export interface CampaignJob {
  readonly scenarioFile: string;
  readonly seed: number;
}

/** One run made. */
export interface CampaignResult extends CampaignJob {
  readonly summary: SimulationSummary;
  readonly wallMs: number;
}

/** Message from a worker thread. */
export type WorkerMessage =
  | { readonly type: 'result'; readonly result: CampaignResult }
  | { readonly type: 'failure'; readonly job: CampaignJob; readonly message: string };

/** Runs all jobs; `onResult` hears of each as it ends. Rejects when a run itself fails. */
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
