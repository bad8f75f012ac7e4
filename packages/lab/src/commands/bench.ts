/** `woodbarrow-lab bench`: measures the overhead of a daemon against direct calls to the same stand-in engine. */
import { readFileSync } from 'node:fs';
import { Worker } from 'node:worker_threads';
import { sleep } from '@woodbarrow/runtime';
import { RealDeployment } from '../real/real-deployment.js';
import { parseScenario } from '../scenario/load-scenario.js';
import type { LoadParameters, LoadResult } from '../bench/load-generator.js';
import { print } from './print.js';

const BENCH_SCENARIO = `
name: bench
durationSeconds: 60
zones: [{ name: alpha, daemons: 1 }]
workers: [{ zone: alpha, count: 1, memoryGib: 160, diskCacheShare: 1 }]
tenants:
  - name: desk
    partner: quetzal
    modelGroups:
      - prefix: model
        count: 1
        concurrency: 2048
        loadSeconds: { host: 0.2, disk: 0.2, remote: 0.2 }
        replicas: { minimum: 1, maximum: 1 }
    parameters: { limits: { concurrentRequests: 4000 } }
traffic: []
`;
const SHORT_TOKENS = 4;
const LONG_TOKENS = 512;
const SATURATION_CONCURRENCY = 48;
const SATURATION_THREADS = 3;
/** Number of connections that uses about half of a daemon's capacity. */
const HALF_LOAD_CONCURRENCY = 2;
const WARM_UP_MS = 3000;
const MEASUREMENT_MS = 8000;
/** Clock ticks per second in which Linux reports processor time (USER_HZ). */
const TICKS_PER_SECOND = 100;

/** Target of generated load: the engine itself or the daemon in front of it. */
interface Target {
  readonly origin: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly model: string;
}

/** Runs the benchmark; resolves with the exit code. */
export async function bench(json: boolean): Promise<number> {
  const deployment = new RealDeployment({
    scenario: parseScenario(BENCH_SCENARIO),
    seed: 1,
    separateProcesses: true,
    tokenTimeFactor: 0,
  });
  try {
    await deployment.start();
    await waitUntilLoaded(deployment);
    const [daemon] = deployment.daemons;
    const [worker] = deployment.workers;
    const direct: Target = {
      origin: worker?.origin ?? '',
      headers: { 'content-type': 'application/json', 'x-model': 'desk/model-1' },
      model: 'model-1',
    };
    const routed: Target = {
      origin: daemon?.callerOrigin ?? '',
      headers: { 'content-type': 'application/json', authorization: 'Bearer desk-caller-token' },
      model: 'model-1',
    };
    const pid = daemon?.process?.pid ?? 0;
    const report = await measure(direct, routed, pid);
    for (const [name, value] of Object.entries(report)) {
      if (!json) print(`  ${name.padEnd(46)} ${String(value)}`);
    }
    if (json) print(JSON.stringify(report));
    return Number(report['failed requests']) === 0 ? 0 : 1;
  } finally {
    await deployment.stop();
  }
}

async function measure(
  direct: Target,
  routed: Target,
  pid: number,
): Promise<Record<string, number | string>> {
  const short = { streaming: false, tokens: SHORT_TOKENS };
  await generateLoad(routed, { ...short, concurrency: 16, durationMs: WARM_UP_MS });
  await generateLoad(direct, { ...short, concurrency: 16, durationMs: WARM_UP_MS });
  const cpuBefore = cpuSeconds(pid);
  const saturated = await Promise.all(
    Array.from({ length: SATURATION_THREADS }, () =>
      generateLoad(routed, {
        ...short,
        concurrency: SATURATION_CONCURRENCY / SATURATION_THREADS,
        durationMs: MEASUREMENT_MS,
      }),
    ),
  );
  const cpuUsed = cpuSeconds(pid) - cpuBefore;
  const requests = saturated.reduce((total, result) => total + result.requests, 0);
  const perSecond = saturated.reduce((total, result) => total + result.requests / result.seconds, 0);
  const half = { ...short, concurrency: HALF_LOAD_CONCURRENCY, durationMs: MEASUREMENT_MS };
  const halfRouted = await generateLoad(routed, half);
  const halfDirect = await generateLoad(direct, half);
  // The generator paces a fixed rate by timer ticks, so it sends a small burst each millisecond.
  const steady = { ...short, concurrency: 1, durationMs: MEASUREMENT_MS, ratePerSecond: perSecond / 2 };
  const steadyRouted = await generateLoad(routed, steady);
  const steadyDirect = await generateLoad(direct, steady);
  const long = { streaming: true, tokens: LONG_TOKENS, concurrency: 1, durationMs: MEASUREMENT_MS };
  const streamRouted = await generateLoad(routed, long);
  const streamDirect = await generateLoad(direct, long);
  const results = [
    ...saturated,
    halfRouted,
    halfDirect,
    steadyRouted,
    steadyDirect,
    streamRouted,
    streamDirect,
  ];
  return {
    'requests/s at saturation': round(perSecond),
    'requests/s per core of the daemon': round(requests / cpuUsed),
    'half load, requests/s': round(halfRouted.requests / halfRouted.seconds),
    'half load, direct p50 ms': millis(halfDirect.p50),
    'half load, direct p99 ms': millis(halfDirect.p99),
    'half load, routed p50 ms': millis(halfRouted.p50),
    'half load, routed p99 ms': millis(halfRouted.p99),
    'added at p50 ms': millis(halfRouted.p50 - halfDirect.p50),
    'added at p99 ms': millis(halfRouted.p99 - halfDirect.p99),
    'steady rate, requests/s': round(perSecond / 2),
    'steady rate, direct p50 / p99 ms': `${String(millis(steadyDirect.p50))} / ${String(millis(steadyDirect.p99))}`,
    'steady rate, routed p50 / p99 ms': `${String(millis(steadyRouted.p50))} / ${String(millis(steadyRouted.p99))}`,
    'stream, direct us per token p50': round(streamDirect.p50 / LONG_TOKENS),
    'stream, routed us per token p50': round(streamRouted.p50 / LONG_TOKENS),
    'added per streamed token us p50': round((streamRouted.p50 - streamDirect.p50) / LONG_TOKENS),
    'added per streamed token us p99': round((streamRouted.p99 - streamDirect.p99) / LONG_TOKENS),
    'failed requests': results.reduce((total, result) => total + result.failures, 0),
  };
}

function generateLoad(target: Target, order: Omit<LoadParameters, keyof Target>): Promise<LoadResult> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('../bench/load-generator.js', import.meta.url));
    worker.once('message', (result: LoadResult) => {
      void worker.terminate();
      resolve(result);
    });
    worker.once('error', reject);
    worker.postMessage({ ...target, ...order });
  });
}

async function waitUntilLoaded(deployment: RealDeployment): Promise<void> {
  while (!deployment.workers.some(({ engine }) => engine.loaded().some(({ state }) => state === 'ready'))) {
    await sleep(deployment.clock, 50);
  }
  await sleep(deployment.clock, 1000);
}

/** Returns the processor seconds that a process has used since it started. */
export function cpuSeconds(pid: number): number {
  const fields =
    readFileSync(`/proc/${String(pid)}/stat`, 'utf8')
      .split(') ')[1]
      ?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

function millis(microseconds: number): number {
  return Math.round(microseconds / 10) / 100;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
