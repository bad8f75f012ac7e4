/** A deployment on loopback: this process serves the stand-ins over HTTP; daemons run in it or as child processes. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Daemon, createSystemEnvironment } from '@woodbarrow/daemon';
import { hashToken } from '@woodbarrow/gateway';
import {
  Random,
  SystemClock,
  UndiciHttpClient,
  serveHttp,
  sleep,
  type HttpServer,
} from '@woodbarrow/runtime';
import { settingsSchema, type Settings } from '@woodbarrow/settings';
import { EngineStandIn, MachineListStandIn, PlatformStandIn, WeightStoreStandIn } from '@woodbarrow/standins';
import { stringify } from 'yaml';
import {
  expandScenario,
  initialObjects,
  type DaemonPlan,
  type DeploymentPlan,
  type WorkerPlan,
} from '../scenario/expand-scenario.js';
import type { Scenario } from '../scenario/scenario-schema.js';

/** Options of {@link RealDeployment}. */
export interface RealDeploymentOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  /** Whether each daemon runs as a child process. */
  readonly separateProcesses: boolean;
  /** Factor on all load times, to shorten runs. @default 1 */
  readonly loadTimeFactor?: number;
  /** Factor on all token times. @default 1 */
  readonly tokenTimeFactor?: number;
  /** Grace period of planned stops in seconds. @default 120 */
  readonly graceSeconds?: number;
}

/** One daemon on loopback. */
export interface RealDaemon {
  readonly plan: DaemonPlan;
  readonly settings: Settings;
  readonly callerOrigin: string;
  readonly operatorOrigin: string;
  process: ChildProcess | undefined;
  inProcess: Daemon | undefined;
}

/** One worker on loopback. */
export interface RealWorker {
  readonly plan: WorkerPlan;
  readonly origin: string;
  engine: EngineStandIn;
  server: HttpServer | undefined;
}

/** Maxima over all engines since the start of the deployment. */
export interface EngineObservations {
  /** Maximum number of concurrent replicas of one model beyond its limit. */
  maximumOverLimit: number;
  /** Maximum share of its memory that a worker has used. */
  maximumMemoryShare: number;
}

const COMMAND_PATH = fileURLToPath(new URL('../../../../cli/bin/woodbarrow.js', import.meta.url));
const LOOPBACK = '127.0.0.1';
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 100;

/** Starts, stops and restarts the stand-ins and daemons of a deployment. */
export class RealDeployment {
  readonly plan: DeploymentPlan;
  readonly platform: PlatformStandIn;
  readonly machines: MachineListStandIn;
  readonly weights: WeightStoreStandIn;
  readonly daemons: RealDaemon[] = [];
  readonly workers: RealWorker[] = [];
  readonly observations: EngineObservations = { maximumOverLimit: 0, maximumMemoryShare: 0 };
  readonly http = new UndiciHttpClient({ connections: 256 });
  readonly clock = new SystemClock();
  private readonly servers: HttpServer[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'woodbarrow-lab-'));
  private readonly limits = new Map<string, number>();

  constructor(private readonly options: RealDeploymentOptions) {
    const random = new Random(options.seed);
    this.plan = expandScenario(options.scenario, random);
    this.platform = new PlatformStandIn(this.clock, random.fork());
    this.machines = new MachineListStandIn(this.clock, options.scenario.machineListLagMs);
    this.weights = new WeightStoreStandIn({ clock: this.clock, ...options.scenario.weightStore });
    for (const tenant of this.plan.tenants) {
      for (const model of tenant.parameters.models) {
        this.limits.set(`${tenant.name}/${model.name}`, model.replicas.maximum);
      }
    }
  }

  /** Starts stand-ins and daemons; resolves when every daemon is ready. */
  async start(): Promise<void> {
    for (const [key, value] of initialObjects(this.options.scenario, this.plan))
      this.platform.seed(key, value);
    const objects = await this.serve(this.platform.handler);
    const machines = await this.serve(this.machines.handler);
    for (const plan of this.plan.workers) await this.startWorker(plan);
    const ports = await freePorts(this.plan.daemons.length * 3);
    for (const [index, plan] of this.plan.daemons.entries()) {
      this.addDaemon(plan, ports.slice(index * 3, index * 3 + 3), objects, machines);
    }
    await Promise.all(this.daemons.map((daemon) => this.startDaemon(daemon)));
    await Promise.all(this.daemons.map((daemon) => this.waitReady(daemon)));
  }

  /** Starts a daemon that is not running. */
  async startDaemon(daemon: RealDaemon): Promise<void> {
    if (!this.options.separateProcesses) {
      daemon.inProcess = new Daemon(daemon.settings, createSystemEnvironment(daemon.settings));
      await daemon.inProcess.start();
      return;
    }
    const file = join(this.folder, `${daemon.plan.id}.yaml`);
    writeFileSync(file, stringify(daemon.settings));
    daemon.process = spawn(process.execPath, [COMMAND_PATH, 'serve', '--settings', file], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  }

  /** Waits until a daemon reports that it is ready. @throws Error after {@link READY_TIMEOUT_MS}. */
  async waitReady(daemon: RealDaemon): Promise<void> {
    const until = this.clock.monotonic() + READY_TIMEOUT_MS;
    while (this.clock.monotonic() < until) {
      const response = await this.http
        .send({ method: 'GET', origin: daemon.operatorOrigin, path: '/readyz', timeoutMs: 1000 })
        .catch(() => undefined);
      if (response?.status === 200) return;
      await sleep(this.clock, READY_POLL_MS);
    }
    throw new Error(`daemon ${daemon.plan.id} was not ready before the timeout`);
  }

  /** Kills a daemon's process with SIGKILL. */
  killDaemon(daemon: RealDaemon): void {
    daemon.process?.kill('SIGKILL');
    daemon.process = undefined;
  }

  /** Stops a daemon gracefully; resolves when it has stopped. */
  async stopDaemon(daemon: RealDaemon): Promise<void> {
    const child = daemon.process;
    if (child === undefined) {
      await daemon.inProcess?.drain();
      return;
    }
    const ended = new Promise<void>((resolve) => {
      child.once('exit', () => {
        resolve();
      });
    });
    child.kill('SIGTERM');
    await ended;
    daemon.process = undefined;
  }

  /** Closes a worker's server without draining, as in a crash. */
  async killWorker(worker: RealWorker): Promise<void> {
    const { server } = worker;
    worker.server = undefined;
    worker.engine.onChange = undefined;
    await server?.close();
  }

  /** Restarts a killed worker with an empty engine at the same address. */
  async restartWorker(worker: RealWorker): Promise<void> {
    worker.engine = this.createEngine(worker.plan);
    worker.server = await serveHttp({
      address: worker.origin.slice('http://'.length),
      handler: worker.engine.handler,
    });
  }

  /** Records of all engines, including those replaced by restarts. */
  get engineRecords(): readonly EngineStandIn['record'][] {
    return this.records;
  }

  /** Stops all daemons and stand-ins and deletes the temporary folder. */
  async stop(): Promise<void> {
    for (const daemon of this.daemons) {
      daemon.process?.kill('SIGKILL');
      daemon.inProcess?.abort();
    }
    for (const worker of this.workers) await worker.server?.close();
    for (const server of this.servers) await server.close();
    await this.http.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private readonly records: EngineStandIn['record'][] = [];

  private async serve(handler: Parameters<typeof serveHttp>[0]['handler']): Promise<string> {
    const server = await serveHttp({ address: `${LOOPBACK}:0`, handler, maximumBodyBytes: 64 * 1024 * 1024 });
    this.servers.push(server);
    return `http://${server.address}`;
  }

  private async startWorker(plan: WorkerPlan): Promise<void> {
    const engine = this.createEngine(plan);
    const server = await serveHttp({ address: `${LOOPBACK}:0`, handler: engine.handler });
    const origin = `http://${server.address}`;
    this.workers.push({ plan, origin, engine, server });
    const { id, zone, region } = plan;
    this.machines.seed({ id, zone, region, kind: 'worker', address: origin, state: 'live' });
  }

  private createEngine(plan: WorkerPlan): EngineStandIn {
    const factor = this.options.loadTimeFactor ?? 1;
    const engine = new EngineStandIn({
      workerId: plan.id,
      clock: this.clock,
      accelerators: plan.accelerators,
      memoryGib: plan.memoryGib,
      weights: this.weights,
      hostCache: plan.hostCache,
      diskCache: plan.diskCache,
      tokenTimeFactor: this.options.tokenTimeFactor ?? 1,
      loadTimes: (checkpoint) => {
        const times = this.plan.loadTimes.get(checkpoint) ?? { host: 2, disk: 8, remote: 30 };
        return { host: times.host * factor, disk: times.disk * factor, remote: times.remote * factor };
      },
    });
    engine.onChange = () => {
      this.updateObservations();
    };
    this.records.push(engine.record);
    return engine;
  }

  private updateObservations(): void {
    const counts = new Map<string, number>();
    for (const { engine, server } of this.workers) {
      if (server === undefined) continue;
      const share = engine.usedGib / engine.memoryGib;
      this.observations.maximumMemoryShare = Math.max(this.observations.maximumMemoryShare, share);
      for (const { model } of engine.loaded()) counts.set(model, (counts.get(model) ?? 0) + 1);
    }
    for (const [model, count] of counts) {
      const over = count - (this.limits.get(model) ?? 0);
      this.observations.maximumOverLimit = Math.max(this.observations.maximumOverLimit, over);
    }
  }

  private addDaemon(plan: DaemonPlan, ports: readonly number[], objects: string, machines: string): void {
    const [callers, operators, peers] = ports.map((port) => `${LOOPBACK}:${String(port)}`);
    const settings = settingsSchema.parse({
      deployment: this.options.scenario.name,
      id: plan.id,
      zone: plan.zone,
      region: plan.region,
      listen: { callers, operators, peers },
      platform: { objects, machines },
      administratorTokenSha256: hashToken(this.plan.administratorToken),
      shutdown: { graceSeconds: this.options.graceSeconds ?? 120 },
      log: { level: 'silent' },
    });
    const { id, zone, region } = plan;
    this.machines.seed({ id, zone, region, kind: 'daemon', address: settings.listen.peers, state: 'live' });
    this.daemons.push({
      plan,
      settings,
      callerOrigin: `http://${settings.listen.callers}`,
      operatorOrigin: `http://${settings.listen.operators}`,
      process: undefined,
      inProcess: undefined,
    });
  }
}

/** Returns currently unused loopback ports. */
async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const server = createServer();
          server.listen(0, LOOPBACK, () => {
            resolve(server);
          });
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => {
            resolve();
          });
        }),
    ),
  );
  return ports;
}
