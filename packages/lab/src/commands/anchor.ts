/** `woodbarrow-lab anchor`: measures daemons in separate processes, as a reference for `hollow`. */
import { readFileSync } from 'node:fs';
import { readText, sleep } from '@woodbarrow/runtime';
import { hollowScenario } from '../hollow/hollow-scenario.js';
import { RealDeployment, type RealDaemon } from '../real/real-deployment.js';
import { distributionOf } from '../simulation/simulation-summary.js';
import { cpuSeconds } from './bench.js';
import { print } from './print.js';

/** Options of {@link anchor}. */
export interface AnchorOptions {
  readonly daemons: number;
  readonly zones: number;
  readonly workers: number;
  readonly models: number;
  readonly adapters: number;
  readonly seconds: number;
}

/** Cumulative counters of one daemon at one time; `cpu` is in seconds. */
interface MetricsSample {
  readonly cpu: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly active: boolean;
}

/** Time after the start before the first sample, in which placement and leases settle. */
const STABILIZATION_MS = 20_000;
const KILOBYTES_PER_MEGABYTE = 1024;

/** Runs daemons without requests and prints their resource use by role. Resolves with the exit code. */
export async function anchor(options: AnchorOptions): Promise<number> {
  const scenario = hollowScenario({ ...options, regions: 1, requestsPerSecond: 1 });
  const deployment = new RealDeployment({ scenario, seed: 1, separateProcesses: true });
  try {
    await deployment.start();
    await sleep(deployment.clock, STABILIZATION_MS);
    const before = await sampleAll(deployment);
    await sleep(deployment.clock, options.seconds * 1000);
    const after = await sampleAll(deployment);
    const rows = deployment.daemons.map((daemon, index) =>
      rowOf(daemon, before[index], after[index], options.seconds),
    );
    for (const isCoordinator of [true, false]) {
      const roleRows = rows.filter((row) => row.isCoordinator === isCoordinator);
      print(
        JSON.stringify({
          role: isCoordinator ? 'coordinator' : 'other',
          daemons: roleRows.length,
          ...summaryOf(roleRows),
        }),
      );
    }
    return 0;
  } finally {
    await deployment.stop();
  }
}

interface Row {
  readonly isCoordinator: boolean;
  readonly cpuPercent: number;
  readonly residentMegabytes: number;
  readonly bytesOutPerSecond: number;
  readonly bytesInPerSecond: number;
}

function rowOf(
  daemon: RealDaemon,
  before: MetricsSample | undefined,
  after: MetricsSample | undefined,
  seconds: number,
): Row {
  const ratePerSecond = (pick: (reading: MetricsSample) => number): number =>
    before === undefined || after === undefined ? 0 : (pick(after) - pick(before)) / seconds;
  return {
    isCoordinator: after?.active === true,
    cpuPercent: ratePerSecond((reading) => reading.cpu) * 100,
    residentMegabytes: residentMegabytes(daemon.process?.pid ?? 0),
    bytesOutPerSecond: ratePerSecond((reading) => reading.bytesSent),
    bytesInPerSecond: ratePerSecond((reading) => reading.bytesReceived),
  };
}

function summaryOf(rows: readonly Row[]): object {
  const hundredths = (pick: (row: Row) => number): object =>
    distributionOf(rows.map((row) => pick(row) * 100));
  return {
    cpuHundredthsOfPercent: hundredths((row) => row.cpuPercent),
    residentMegabytes: distributionOf(rows.map((row) => row.residentMegabytes)),
    bytesOutPerSecond: distributionOf(rows.map((row) => row.bytesOutPerSecond)),
    bytesInPerSecond: distributionOf(rows.map((row) => row.bytesInPerSecond)),
  };
}

function sampleAll(deployment: RealDeployment): Promise<MetricsSample[]> {
  return Promise.all(
    deployment.daemons.map(async (daemon) => {
      const response = await deployment.http.send({
        method: 'GET',
        origin: daemon.operatorOrigin,
        path: '/metrics',
      });
      const text = await readText(response.body);
      const value = (name: string): number => Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
      return {
        cpu: cpuSeconds(daemon.process?.pid ?? 0),
        bytesSent: value('woodbarrow_peers_bytes_sent'),
        bytesReceived: value('woodbarrow_peers_bytes_received'),
        active: value('woodbarrow_coordinator_active') === 1,
      };
    }),
  );
}

function residentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
}
