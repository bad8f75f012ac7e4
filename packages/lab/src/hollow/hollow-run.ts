/** Runs a hollow deployment and measures the cost and the reaction times of coordination. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Random } from '@woodbarrow/runtime';
import { SimulatedDeployment, type DaemonSlot } from '../simulation/simulated-deployment.js';
import { distributionOf, type Distribution } from '../simulation/simulation-summary.js';
import { TrafficDriver } from '../simulation/traffic-driver.js';
import { planWorkload } from '../traffic/workload.js';
import { hollowScenario, type HollowSize } from './hollow-scenario.js';

/** Roles by which traffic is grouped; a daemon counts under the first role that it holds. */
export const HOLLOW_ROLES = ['coordinator', 'relay', 'ledger', 'member'] as const;

export type HollowRole = (typeof HOLLOW_ROLES)[number];

/** Control traffic of the daemons in one role, per daemon and second. */
export interface RoleTraffic {
  readonly daemons: number;
  readonly peerBytesOutMean: number;
  readonly peerBytesOutMax: number;
  readonly peerBytesInMean: number;
  readonly messagesOutMean: number;
  /** Bytes exchanged with engines, platform and machine list, with estimated headers. */
  readonly controlHttpBytesMean: number;
}

/** Results of a hollow run. */
export interface HollowReport {
  readonly size: HollowSize;
  /** Virtual seconds until every membership view contained all daemons. */
  readonly viewsAgreedSeconds: number;
  readonly roles: Readonly<Partial<Record<HollowRole, RoleTraffic>>>;
  /** Processor seconds per daemon and virtual second; an upper bound, as it includes stand-ins and simulation. */
  readonly cpuShareOfCoreUpperBound: number;
  readonly heapMegabytesPerDaemon: number;
  readonly residentMegabytes: number;
  readonly platformReaders: number;
  readonly falseSuspicions: number;
  readonly falselyDeclaredDead: number;
  /** Time until a killed daemon was absent from all views. */
  readonly detectionSeconds: number;
  /** Time from the crash of a zone's coordinator until its successor was active. */
  readonly failoverSeconds: number;
  readonly configurationInForceMs: Distribution;
  /** Time until a lost zone was absent from all views; undefined with one zone. */
  readonly zoneLossDetectionSeconds: number | undefined;
  /** Time until all views agreed after a partition of `regionApartSeconds`; undefined with one region. */
  readonly regionHealSeconds: number | undefined;
  readonly regionApartSeconds: number;
  readonly wallSeconds: number;
}

const START_TIMEOUT_MS = 120_000;
const STEADY_STATE_MS = 30_000;
const POLL_STEP_MS = 250;
const REACTION_TIMEOUT_MS = 180_000;
const CONFIGURATION_CHANGES = 8;
const REGION_PARTITION_MS = 60_000;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Runs all measurements for one size; `wall` returns wall-clock milliseconds. */
export async function runHollow(size: HollowSize, seed: number, wall: () => number): Promise<HollowReport> {
  const startedAt = wall();
  const run = new HollowRun(size, seed);
  const viewsAgreedSeconds = await run.start();
  const steady = await run.measureSteadyState();
  const configurationInForceMs = await run.measureConfigurationChanges();
  const detectionSeconds = await run.measureDetection();
  const failoverSeconds = await run.measureFailover();
  const region = await run.measurePartitionHeal();
  const zoneLossDetectionSeconds = await run.measureZoneLoss();
  return {
    size,
    viewsAgreedSeconds,
    ...steady,
    configurationInForceMs,
    detectionSeconds,
    failoverSeconds,
    zoneLossDetectionSeconds,
    regionHealSeconds: region,
    regionApartSeconds: REGION_PARTITION_MS / 1000,
    wallSeconds: (wall() - startedAt) / 1000,
  };
}

type SteadyStateMetrics = Pick<
  HollowReport,
  | 'roles'
  | 'cpuShareOfCoreUpperBound'
  | 'heapMegabytesPerDaemon'
  | 'residentMegabytes'
  | 'platformReaders'
  | 'falseSuspicions'
  | 'falselyDeclaredDead'
>;

interface TrafficSnapshot {
  readonly bytesOut: number;
  readonly bytesIn: number;
  readonly messagesOut: number;
  readonly http: number;
}

class HollowRun {
  private readonly deployment: SimulatedDeployment;
  private readonly heapBefore: number;

  constructor(
    private readonly size: HollowSize,
    seed: number,
  ) {
    this.heapBefore = heapAfterCollection();
    const scenario = hollowScenario(size);
    this.deployment = new SimulatedDeployment({ scenario, seed });
    const random = new Random(seed);
    const traffic = new TrafficDriver(this.deployment, random.fork());
    const workload = planWorkload({ ...scenario, durationSeconds: 400 }, this.deployment.plan, random.fork());
    this.deployment.start();
    traffic.schedule(workload, START_TIMEOUT_MS / 4);
  }

  /** Runs until all views are complete and roles have settled; returns the seconds until the views were complete. */
  async start(): Promise<number> {
    const agreed = await this.waitUntil(() => this.allViewsContain(this.size.daemons), START_TIMEOUT_MS);
    // Leases, voters and inventories settle before the measurements.
    await this.advance(START_TIMEOUT_MS / 4);
    return agreed;
  }

  async measureSteadyState(): Promise<SteadyStateMetrics> {
    const slots = this.aliveDaemons();
    const before = new Map(slots.map((slot) => [slot.plan.id, this.snapshotTraffic(slot)]));
    const cpuBefore = process.cpuUsage();
    await this.advance(STEADY_STATE_MS);
    const cpu = process.cpuUsage(cpuBefore);
    const seconds = STEADY_STATE_MS / 1000;
    const cpuSeconds = (cpu.user + cpu.system) / 1_000_000;
    const counters = slots.map((slot) => slot.daemon.membership.counters);
    return {
      roles: this.roleTraffic(before, seconds),
      cpuShareOfCoreUpperBound: cpuSeconds / seconds / slots.length,
      heapMegabytesPerDaemon: (heapAfterCollection() - this.heapBefore) / BYTES_PER_MEGABYTE / slots.length,
      residentMegabytes: Math.round(process.memoryUsage().rss / BYTES_PER_MEGABYTE),
      platformReaders: this.deployment.platform.readers,
      falseSuspicions: sum(counters.map((counter) => counter.suspicionsStarted)),
      falselyDeclaredDead: sum(counters.map((counter) => counter.declaredDead)),
    };
  }

  /** Changes one object repeatedly; returns the times until each change is in effect on every daemon. */
  async measureConfigurationChanges(): Promise<Distribution> {
    const times: number[] = [];
    for (let change = 0; change < CONFIGURATION_CHANGES; change += 1) {
      const key = 'partners/first';
      this.deployment.platform.seed(key, { ...this.deployment.platform.get(key) });
      const revision = this.deployment.platform.currentRevision;
      const inForce = (): boolean =>
        this.aliveDaemons().every((slot) => slot.daemon.store.revision >= revision);
      times.push((await this.waitUntil(inForce, REACTION_TIMEOUT_MS, 5)) * 1000);
    }
    return distributionOf(times);
  }

  /** Kills a daemon without a role; returns the seconds until it is absent from all views. */
  async measureDetection(): Promise<number> {
    const target = this.aliveDaemons().findLast((slot) => roleOf(slot) === 'member');
    if (target === undefined) return 0;
    this.killPermanently(target);
    return this.waitUntil(() => this.isAbsentFromAllViews([target]), REACTION_TIMEOUT_MS);
  }

  async measureFailover(): Promise<number> {
    const target = this.aliveDaemons().find((slot) => slot.daemon.coordinator.isActive);
    if (target === undefined) return 0;
    this.killPermanently(target);
    const inZone = (): DaemonSlot[] =>
      this.aliveDaemons().filter((slot) => slot.plan.zone === target.plan.zone);
    return this.waitUntil(
      () => inZone().some((slot) => slot.daemon.coordinator.isActive),
      REACTION_TIMEOUT_MS,
    );
  }

  async measurePartitionHeal(): Promise<number | undefined> {
    if (this.size.regions < 2) return undefined;
    const region = this.aliveDaemons()[0]?.plan.region;
    const heal = this.deployment.network.cut(
      (from, to) => (from.region === region) !== (to.region === region),
    );
    await this.advance(REGION_PARTITION_MS);
    heal();
    const count = this.aliveDaemons().length;
    return this.waitUntil(() => this.allViewsContain(count), REACTION_TIMEOUT_MS);
  }

  async measureZoneLoss(): Promise<number | undefined> {
    if (this.size.zones < 2) return undefined;
    const zone = this.aliveDaemons().at(-1)?.plan.zone;
    const lost = this.aliveDaemons().filter((slot) => slot.plan.zone === zone);
    for (const slot of lost) this.killPermanently(slot);
    return this.waitUntil(() => this.isAbsentFromAllViews(lost), REACTION_TIMEOUT_MS);
  }

  private aliveDaemons(): DaemonSlot[] {
    return [...this.deployment.daemons.values()].filter((slot) => slot.process.alive);
  }

  private killPermanently(slot: DaemonSlot): void {
    slot.process.kill();
    slot.daemon.abort();
  }

  private allViewsContain(count: number): boolean {
    return this.aliveDaemons().every((slot) => slot.daemon.membership.present().length === count);
  }

  private isAbsentFromAllViews(gone: readonly DaemonSlot[]): boolean {
    const ids = new Set(gone.map((slot) => slot.plan.id));
    return this.aliveDaemons().every((slot) =>
      slot.daemon.membership.present().every((member) => !ids.has(member.id)),
    );
  }

  private async advance(durationMs: number): Promise<void> {
    const { world } = this.deployment;
    await world.run(world.now + durationMs);
  }

  /** Returns the virtual seconds until `condition` holds. @throws Error after `limitMs`. */
  private async waitUntil(condition: () => boolean, limitMs: number, stepMs = POLL_STEP_MS): Promise<number> {
    const { world } = this.deployment;
    const from = world.now;
    while (!condition()) {
      if (world.now - from > limitMs)
        throw new Error(`condition not met within ${String(limitMs)} virtual ms`);
      await this.advance(stepMs);
    }
    return (world.now - from) / 1000;
  }

  private snapshotTraffic(slot: DaemonSlot): TrafficSnapshot {
    const { bytesSent, bytesReceived, messagesSent } = slot.daemon.peers.traffic;
    const http = this.deployment.controlHttpBytes.get(slot.plan.id) ?? 0;
    return { bytesOut: bytesSent, bytesIn: bytesReceived, messagesOut: messagesSent, http };
  }

  private roleTraffic(before: ReadonlyMap<string, TrafficSnapshot>, seconds: number): HollowReport['roles'] {
    const roles: Partial<Record<HollowRole, RoleTraffic>> = {};
    for (const role of HOLLOW_ROLES) {
      const slots = this.aliveDaemons().filter((slot) => roleOf(slot) === role);
      if (slots.length === 0) continue;
      const changes = slots.map((slot) => {
        const earlier = before.get(slot.plan.id) ?? { bytesOut: 0, bytesIn: 0, messagesOut: 0, http: 0 };
        const now = this.snapshotTraffic(slot);
        return {
          bytesOut: (now.bytesOut - earlier.bytesOut) / seconds,
          bytesIn: (now.bytesIn - earlier.bytesIn) / seconds,
          messagesOut: (now.messagesOut - earlier.messagesOut) / seconds,
          http: (now.http - earlier.http) / seconds,
        };
      });
      roles[role] = {
        daemons: slots.length,
        peerBytesOutMean: mean(changes.map((change) => change.bytesOut)),
        peerBytesOutMax: Math.round(Math.max(...changes.map((change) => change.bytesOut))),
        peerBytesInMean: mean(changes.map((change) => change.bytesIn)),
        messagesOutMean: mean(changes.map((change) => change.messagesOut)),
        controlHttpBytesMean: mean(changes.map((change) => change.http)),
      };
    }
    return roles;
  }
}

function roleOf({ daemon }: DaemonSlot): HollowRole {
  if (daemon.coordinator.isActive) return 'coordinator';
  if (daemon.isRelay) return 'relay';
  if (daemon.isLedgerLeader) return 'ledger';
  return 'member';
}

/** Returns the heap in use after a full garbage collection, in bytes. */
function heapAfterCollection(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return Math.round((sum(values) / Math.max(1, values.length)) * 10) / 10;
}
