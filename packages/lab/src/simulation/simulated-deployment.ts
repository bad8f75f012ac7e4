/** A complete deployment on a virtual clock: production daemons, stand-ins and a simulated network. */
import { Daemon } from '@woodbarrow/daemon';
import { hashToken } from '@woodbarrow/gateway';
import {
  Random,
  SimulatedHttpHub,
  SimulatedNetwork,
  SimulatedProcess,
  SimulatedTransportHub,
  SimulatedWorld,
} from '@woodbarrow/runtime';
import { settingsSchema, type Settings } from '@woodbarrow/settings';
import { EngineStandIn, MachineListStandIn, PlatformStandIn, WeightStoreStandIn } from '@woodbarrow/standins';
import {
  expandScenario,
  initialObjects,
  type DaemonPlan,
  type DeploymentPlan,
  type WorkerPlan,
} from '../scenario/expand-scenario.js';
import type { Scenario } from '../scenario/scenario-schema.js';
import type { DeploymentObserver } from './deployment-observer.js';
import { SimulatedEnvironments } from './simulated-environments.js';

/** A daemon's id and address with the current process, which is replaced on restart. */
export interface DaemonSlot {
  readonly plan: DaemonPlan;
  readonly ip: string;
  process: SimulatedProcess;
  daemon: Daemon;
  /** Number of restarts of this daemon. */
  incarnation: number;
  /** Virtual time at which the last pause of the process ends. */
  pausedUntilMs: number;
  /** Virtual time at which the planned stop started; undefined while none is in progress. */
  drainingSinceMs: number | undefined;
  /** Whether the current process was killed rather than stopped as planned. */
  killed: boolean;
}

/** A worker's id and address with the current process and engine, which are replaced on restart. */
export interface WorkerSlot {
  readonly plan: WorkerPlan;
  readonly origin: string;
  process: SimulatedProcess;
  engine: EngineStandIn;
  /** Virtual time at which the reclaim notice was given; undefined before. */
  leavingSinceMs: number | undefined;
  /** Whether the worker's machine has been reclaimed. */
  gone: boolean;
}

/** Options of {@link SimulatedDeployment}. */
export interface SimulatedDeploymentOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly keepTrace?: boolean;
}

const CALLER_PORT = 8080;
const OPERATOR_PORT = 8081;
const PEER_PORT = 8082;
const ENGINE_PORT = 9000;
const PLATFORM_ORIGIN = 'http://10.255.0.1:7000';
const MACHINES_ORIGIN = 'http://10.255.0.1:7001';
const PLATFORM_ZONE = 'platform';
/** Daemons start at random times within this interval. */
const START_JITTER_MS = 2000;
const CLIENT_PREFIX = 'client:';

/** Starts, stops and observes the daemons and workers of a simulated deployment. */
export class SimulatedDeployment {
  readonly world: SimulatedWorld;
  readonly network: SimulatedNetwork;
  readonly random: Random;
  readonly plan: DeploymentPlan;
  readonly platform: PlatformStandIn;
  readonly machines: MachineListStandIn;
  readonly weights: WeightStoreStandIn;
  readonly daemons = new Map<string, DaemonSlot>();
  readonly workers = new Map<string, WorkerSlot>();
  readonly observers: DeploymentObserver[] = [];
  private readonly http: SimulatedHttpHub;
  private readonly environments: SimulatedEnvironments;
  private readonly platformProcess: SimulatedProcess;
  private readonly clients = new Map<string, SimulatedProcess>();

  constructor(private readonly options: SimulatedDeploymentOptions) {
    const { scenario, seed, keepTrace } = options;
    this.world = new SimulatedWorld(keepTrace ?? false);
    this.random = new Random(seed);
    this.plan = expandScenario(scenario, this.random.fork());
    this.network = new SimulatedNetwork(this.world, this.random.fork(), {
      latency: (from, to) => this.latency(from, to),
      lossRate: scenario.lossRate,
    });
    this.http = new SimulatedHttpHub(this.network);
    this.environments = new SimulatedEnvironments(this.http, new SimulatedTransportHub(this.network));
    this.platformProcess = new SimulatedProcess(this.world, {
      name: 'platform',
      zone: PLATFORM_ZONE,
      region: 'platform',
    });
    this.platform = new PlatformStandIn(this.platformProcess, this.random.fork());
    this.machines = new MachineListStandIn(this.platformProcess, scenario.machineListLagMs);
    this.weights = new WeightStoreStandIn({ clock: this.platformProcess, ...scenario.weightStore });
  }

  /** Starts stand-ins, workers and daemons. */
  start(): void {
    this.http.serve(PLATFORM_ORIGIN, this.platformProcess, this.platform.handler);
    this.http.serve(MACHINES_ORIGIN, this.platformProcess, this.machines.handler);
    for (const [key, value] of initialObjects(this.options.scenario, this.plan))
      this.platform.seed(key, value);
    this.platform.onAccepted = (version) => {
      for (const observer of this.observers) observer.onAccepted?.(version);
    };
    for (const zone of this.options.scenario.zones) {
      const name = `${CLIENT_PREFIX}${zone.name}`;
      this.clients.set(
        zone.name,
        new SimulatedProcess(this.world, { name, zone: zone.name, region: zone.region }),
      );
    }
    for (const [index, plan] of this.plan.workers.entries()) this.addWorker(plan, index);
    for (const [index, plan] of this.plan.daemons.entries()) this.addDaemon(plan, index);
  }

  /** Bytes of HTTP requests and responses by daemon, without completions; header sizes are estimates. */
  get controlHttpBytes(): ReadonlyMap<string, number> {
    return this.environments.controlHttpBytes;
  }

  /** Returns the origin of a daemon's API for callers. @throws Error when the daemon does not exist. */
  callerOrigin(id: string): string {
    return `http://${this.slot(id).ip}:${String(CALLER_PORT)}`;
  }

  /** Returns the origin of a daemon's API for operators. @throws Error when the daemon does not exist. */
  operatorOrigin(id: string): string {
    return `http://${this.slot(id).ip}:${String(OPERATOR_PORT)}`;
  }

  /** Returns the HTTP client of callers in a zone. @throws Error when the zone does not exist. */
  clientIn(zone: string): ReturnType<SimulatedHttpHub['clientOf']> {
    const process = this.clients.get(zone);
    if (process === undefined) throw new Error(`zone ${zone} does not exist`);
    return this.http.clientOf(process);
  }

  /** Returns whether a process belongs to a caller. */
  isClient(process: SimulatedProcess): boolean {
    return process.name.startsWith(CLIENT_PREFIX);
  }

  /** Returns the slot of a daemon. @throws Error when the daemon does not exist. */
  slot(id: string): DaemonSlot {
    const slot = this.daemons.get(id);
    if (slot === undefined) throw new Error(`daemon ${id} does not exist`);
    return slot;
  }

  /** Kills a daemon and restarts it after `downMs`. */
  killDaemon(id: string, downMs: number): void {
    const slot = this.slot(id);
    if (!slot.process.alive) return;
    slot.killed = true;
    slot.process.kill();
    slot.daemon.abort();
    this.world.schedule(downMs, () => {
      this.startDaemon(slot);
    });
  }

  /** Drains and stops a daemon, then restarts it after `downMs`. */
  async drainDaemon(id: string, downMs: number): Promise<void> {
    const slot = this.slot(id);
    const { daemon, process } = slot;
    if (!process.alive || slot.drainingSinceMs !== undefined) return;
    slot.drainingSinceMs = this.world.now;
    await daemon.drain();
    if (!process.alive) return;
    process.kill();
    this.world.schedule(downMs, () => {
      this.startDaemon(slot);
    });
  }

  /** Suspends a daemon's process for `durationMs`. */
  pauseDaemon(id: string, durationMs: number): void {
    const slot = this.slot(id);
    if (!slot.process.alive) return;
    slot.process.pause(durationMs);
    slot.pausedUntilMs = this.world.now + durationMs;
  }

  /** Kills a worker's engine and restarts it with no model loaded after `downMs`. */
  killWorker(id: string, downMs: number): void {
    const slot = this.workers.get(id);
    if (slot === undefined || !slot.process.alive || slot.gone) return;
    slot.process.kill();
    this.engineChanged(slot);
    this.world.schedule(downMs, () => {
      if (!slot.gone) this.startWorker(slot);
    });
  }

  /** Reclaims a worker's machine after `noticeMs` and adds a replacement with empty caches. */
  reclaimWorker(id: string, noticeMs: number): void {
    const slot = this.workers.get(id);
    if (slot === undefined || slot.gone || slot.leavingSinceMs !== undefined) return;
    slot.leavingSinceMs = this.world.now;
    slot.engine.startDraining();
    this.machines.markLeaving(id);
    this.world.schedule(noticeMs, () => {
      slot.gone = true;
      slot.process.kill();
      this.engineChanged(slot);
      this.machines.remove(id);
      const replacement = { ...slot.plan, id: `${slot.plan.id}r`, hostCache: [], diskCache: [] };
      this.addWorker(replacement, this.workers.size);
    });
  }

  private addDaemon(plan: DaemonPlan, index: number): void {
    const ip = `10.1.${String(Math.floor(index / 200))}.${String((index % 200) + 1)}`;
    const process = this.newProcess(plan.id, plan.zone, plan.region);
    const environment = this.environments.environmentOf(process, this.random.fork());
    const daemon = new Daemon(this.settingsOf(plan, ip), environment);
    const slot: DaemonSlot = {
      plan,
      ip,
      process,
      daemon,
      incarnation: 0,
      pausedUntilMs: 0,
      drainingSinceMs: undefined,
      killed: false,
    };
    this.daemons.set(plan.id, slot);
    const { id, zone, region } = plan;
    this.machines.seed({
      id,
      zone,
      region,
      kind: 'daemon',
      address: `${ip}:${String(PEER_PORT)}`,
      state: 'live',
    });
    this.world.schedule(this.random.next() * START_JITTER_MS, () => {
      this.launch(slot);
    });
  }

  private startDaemon(slot: DaemonSlot): void {
    slot.process = this.newProcess(slot.plan.id, slot.plan.zone, slot.plan.region);
    slot.daemon = new Daemon(
      this.settingsOf(slot.plan, slot.ip),
      this.environments.environmentOf(slot.process, this.random.fork()),
    );
    slot.incarnation += 1;
    slot.drainingSinceMs = undefined;
    slot.killed = false;
    this.launch(slot);
  }

  private launch(slot: DaemonSlot): void {
    const { daemon, process, incarnation } = slot;
    daemon.store.events.on('applied', ({ revision }) => {
      if (!process.alive) return;
      for (const observer of this.observers) observer.onApplied?.(slot, incarnation, revision);
    });
    this.world.record(`${slot.plan.id} starts`);
    void daemon.start();
  }

  private newProcess(name: string, zone: string, region: string): SimulatedProcess {
    const { clockDrift } = this.options.scenario;
    return new SimulatedProcess(this.world, {
      name,
      zone,
      region,
      clockRate: 1 + this.random.between(-clockDrift, clockDrift),
    });
  }

  private addWorker(plan: WorkerPlan, index: number): void {
    const origin = `http://10.2.${String(Math.floor(index / 200))}.${String((index % 200) + 1)}:${String(ENGINE_PORT)}`;
    const process = this.newProcess(plan.id, plan.zone, plan.region);
    const slot: WorkerSlot = {
      plan,
      origin,
      process,
      engine: this.engineOf(plan, process),
      leavingSinceMs: undefined,
      gone: false,
    };
    this.workers.set(plan.id, slot);
    const { id, zone, region } = plan;
    const machine = { id, zone, region, kind: 'worker', address: origin, state: 'live' } as const;
    if (this.world.now === 0) this.machines.seed(machine);
    else this.machines.set(machine);
    this.serveEngine(slot);
  }

  private startWorker(slot: WorkerSlot): void {
    slot.process = this.newProcess(slot.plan.id, slot.plan.zone, slot.plan.region);
    slot.engine = this.engineOf(slot.plan, slot.process);
    if (slot.leavingSinceMs !== undefined) slot.engine.startDraining();
    this.serveEngine(slot);
  }

  private serveEngine(slot: WorkerSlot): void {
    const { engine } = slot;
    engine.onChange = () => {
      this.engineChanged(slot);
    };
    engine.onRun = (marker, requestId) => {
      for (const observer of this.observers) observer.onRun?.(slot, marker, requestId);
    };
    this.http.serve(slot.origin, slot.process, engine.handler);
  }

  private engineChanged(slot: WorkerSlot): void {
    for (const observer of this.observers) observer.onEngineChange?.(slot);
  }

  private engineOf(plan: WorkerPlan, process: SimulatedProcess): EngineStandIn {
    return new EngineStandIn({
      workerId: plan.id,
      clock: process,
      accelerators: plan.accelerators,
      memoryGib: plan.memoryGib,
      weights: this.weights,
      loadTimes: (checkpoint) => this.plan.loadTimes.get(checkpoint) ?? { host: 2, disk: 8, remote: 30 },
      hostCache: plan.hostCache,
      diskCache: plan.diskCache,
      tokensPerChunk: this.options.scenario.tokensPerChunk,
      splitsEvents: true,
    });
  }

  private settingsOf(plan: DaemonPlan, ip: string): Settings {
    return settingsSchema.parse({
      deployment: this.options.scenario.name,
      id: plan.id,
      zone: plan.zone,
      region: plan.region,
      listen: {
        callers: `${ip}:${String(CALLER_PORT)}`,
        operators: `${ip}:${String(OPERATOR_PORT)}`,
        peers: `${ip}:${String(PEER_PORT)}`,
      },
      platform: { objects: PLATFORM_ORIGIN, machines: MACHINES_ORIGIN },
      administratorTokenSha256: hashToken(this.plan.administratorToken),
    });
  }

  private latency(from: SimulatedProcess, to: SimulatedProcess): number {
    const { latency } = this.options.scenario;
    if (this.isClient(from) || this.isClient(to)) return latency.clientMs;
    if (from.zone === PLATFORM_ZONE || to.zone === PLATFORM_ZONE) return latency.crossZoneMs;
    if (from.zone === to.zone) return latency.sameZoneMs;
    return from.region === to.region ? latency.crossZoneMs : latency.crossRegionMs;
  }
}
