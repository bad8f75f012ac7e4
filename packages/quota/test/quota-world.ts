/** Simulates daemons, allocators and callers, and measures the units that reach the workers. */
import { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { QuotaOutcome, QuotaUrgency, RequestQuota, TenantQuota } from '@woodbarrow/forwarding';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type PeerNetwork, type SimulatedNode } from '@woodbarrow/peering';
import { Random, type Clock } from '@woodbarrow/runtime';
import { QuotaGate, QuotaService, type OvershootAllowance } from '../src/index.js';
import { ZoneLeases } from './zone-leases.js';

export const ZONES = ['alpha', 'beta', 'gamma', 'delta'];
export const ALLOWANCE: OvershootAllowance = { windowMs: 8000, overshoot: 0.1, slack: 110_000 };
/** Time from the start of the daemons to the first requests, in milliseconds. */
const WARM_UP_MS = 12_000;
/** Interval between publications of lease claims, in milliseconds. */
const CLAIM_INTERVAL_MS = 300;

/** A request that reached a worker. */
interface Run {
  readonly at: number;
  readonly units: number;
}

/** A tenant and its load. */
export interface TenantLoad {
  readonly name: string;
  quota: TenantQuota;
  /** Units requested per second by all callers. */
  unitsPerSecond: number;
  /** Indices of the daemons that the callers are connected to. */
  readonly daemons: readonly number[];
}

/** Units of one tenant, in total. */
export interface TenantResult {
  readonly asked: number;
  readonly ran: number;
  /** Units that a single bucket of the limit would have granted. */
  readonly entitled: number;
  /** Entitled units that were refused. */
  readonly wronglyRefused: number;
  /** Largest use in any window, as a fraction of the allowed use. */
  readonly peakUsage: number;
}

/** Creates the quota implementation of a daemon. */
export type QuotaFactory = (daemon: WorldDaemon, world: QuotaWorld) => RequestQuota;

export interface WorldDaemon {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  node: SimulatedNode;
  coordinators: CoordinatorDirectory;
  quota: RequestQuota;
}

/** Draws the size of a request. A few large requests carry most of the units. */
function requestUnits(random: Random): number {
  const kind = random.next();
  if (kind < 0.45) return Math.min(60_000, 4000 + random.exponential(5200));
  return kind < 0.7 ? 300 + random.exponential(800) : 200;
}

const MEAN_UNITS = 0.45 * 9200 + 0.25 * 1100 + 0.3 * 200;

/** Reference bucket of a limit, shared by all daemons. */
class LimitBucket {
  private level: number;
  private at = 0;

  constructor(private quota: TenantQuota) {
    this.level = quota.burst;
  }

  admits(units: number, now: number): boolean {
    const { ratePerSecond, burst } = this.quota;
    this.level = Math.min(burst, this.level + ((now - this.at) * ratePerSecond) / 1000);
    this.at = now;
    if (this.level < units) return false;
    this.level -= units;
    return true;
  }

  change(quota: TenantQuota): void {
    this.quota = quota;
    this.level = Math.min(this.level, quota.burst);
  }
}

/** Simulates a deployment that enforces tenants' limits. */
export class QuotaWorld {
  readonly cluster: SimulatedCluster;
  readonly daemons: WorldDaemon[] = [];
  readonly random: Random;
  /** Source of its own, so that the requests are the same with and without priorities. */
  private readonly urgencies: Random;
  /** Calls to allocators, and requests, since the start. */
  allocatorCalls = 0;
  requests = 0;
  private readonly leases: ZoneLeases;
  private readonly runs = new Map<string, Run[]>();
  private readonly requestedUnits = new Map<string, number>();
  private readonly entitledUnits = new Map<string, number>();
  private readonly wronglyRefusedUnits = new Map<string, number>();
  private readonly buckets = new Map<string, LimitBucket>();

  constructor(
    readonly tenants: readonly TenantLoad[],
    private readonly createQuota: QuotaFactory,
    seed = 1,
    private readonly hasPriorities = false,
  ) {
    this.cluster = new SimulatedCluster({ seed });
    this.random = new Random(seed);
    this.urgencies = new Random(seed + 1000);
    for (const { name, quota } of tenants) {
      this.runs.set(name, []);
      this.buckets.set(name, new LimitBucket(quota));
    }
    this.leases = new ZoneLeases(this.cluster.world, ZONES, this.daemons);
  }

  get now(): number {
    return this.cluster.world.now;
  }

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const zone = ZONES[index % ZONES.length] ?? '';
      this.daemons.push(await this.startDaemon(index, zone));
    }
    await this.cluster.advance(WARM_UP_MS);
    for (const tenant of this.tenants) for (const daemon of tenant.daemons) this.sendNext(tenant, daemon);
  }

  /** Kills a daemon and restarts it after a delay. Its zones get another allocator. */
  async restart(index: number, downMs: number): Promise<void> {
    const daemon = this.daemons[index];
    if (daemon === undefined) return;
    daemon.node.process.kill();
    this.leases.takeOverFrom(index);
    await this.cluster.advance(downMs);
    Object.assign(daemon, await this.startDaemon(index, daemon.zone));
  }

  /** Changes a tenant's limit on all daemons. */
  changeQuota(name: string, quota: TenantQuota): void {
    const tenant = this.tenants.find((candidate) => candidate.name === name);
    if (tenant === undefined) return;
    tenant.quota = quota;
    this.buckets.get(name)?.change(quota);
  }

  resultOf(name: string, fromMs = 0): TenantResult {
    const runs = this.runs.get(name) ?? [];
    const quota = this.tenants.find((tenant) => tenant.name === name)?.quota;
    return {
      asked: this.requestedUnits.get(name) ?? 0,
      ran: runs.reduce((sum, { units }) => sum + units, 0),
      entitled: this.entitledUnits.get(name) ?? 0,
      wronglyRefused: this.wronglyRefusedUnits.get(name) ?? 0,
      peakUsage:
        quota === undefined
          ? 0
          : peakWindowUnits(runs.filter(({ at }) => at >= fromMs)) / allowedUnitsOf(quota),
    };
  }

  private async startDaemon(index: number, zone: string): Promise<WorldDaemon> {
    const name = `daemon-${String(index)}`;
    const node = await this.cluster.add(name, zone);
    const { process: clock, peers } = node;
    const coordinators = new CoordinatorDirectory(clock, name);
    const daemon = { index, name, zone, node, coordinators } as WorldDaemon;
    daemon.quota = this.createQuota(daemon, this);
    const service = new QuotaService({
      zones: ZONES,
      allowance: ALLOWANCE,
      quotaOf: (tenant) => this.tenants.find((candidate) => candidate.name === tenant)?.quota,
      authorityOf: (candidate) => this.leases.authorityOf(candidate, index),
      hasPriorities: this.hasPriorities,
      peers,
      clock,
      log: silentLog,
    });
    service.start();
    this.publishClaims(daemon, clock, service);
    return daemon;
  }

  private publishClaims(daemon: WorldDaemon, clock: Clock, service: QuotaService): void {
    daemon.coordinators.accept('told', 'own', this.leases.claims());
    service.refreshZones();
    clock.schedule(CLAIM_INTERVAL_MS, () => {
      this.publishClaims(daemon, clock, service);
    });
  }

  private sendNext(tenant: TenantLoad, index: number): void {
    const perDaemon = tenant.unitsPerSecond / tenant.daemons.length;
    const pauseMs = this.random.exponential((MEAN_UNITS / perDaemon) * 1000);
    this.cluster.world.schedule(pauseMs, () => {
      void this.send(tenant, index);
      this.sendNext(tenant, index);
    });
  }

  private async send(tenant: TenantLoad, index: number): Promise<void> {
    const daemon = this.daemons[index];
    if (daemon?.node.process.alive !== true) return;
    const units = Math.round(requestUnits(this.random));
    this.requests += 1;
    this.requestedUnits.set(tenant.name, (this.requestedUnits.get(tenant.name) ?? 0) + units);
    const isEntitled = this.buckets.get(tenant.name)?.admits(units, this.now) === true;
    if (isEntitled) this.entitledUnits.set(tenant.name, (this.entitledUnits.get(tenant.name) ?? 0) + units);
    const outcome = await this.acquire(daemon, tenant, units);
    if (outcome.kind === 'granted') {
      // A paused or killed daemon sends nothing. A resumed one checks again that its units are valid.
      daemon.node.process.deliver(() => {
        if (outcome.ticket.isValid()) this.runs.get(tenant.name)?.push({ at: this.now, units });
      });
    } else if (isEntitled) {
      this.wronglyRefusedUnits.set(tenant.name, (this.wronglyRefusedUnits.get(tenant.name) ?? 0) + units);
    }
  }

  private drawUrgency(): QuotaUrgency {
    const usefulWaitMs = this.urgencies.pick([150, 500, 6000]) ?? 0;
    return { priority: this.urgencies.integer(4), usefulWaitMs };
  }

  private acquire(daemon: WorldDaemon, tenant: TenantLoad, units: number): Promise<QuotaOutcome> {
    return new Promise((resolve) => {
      daemon.node.process.deliver(() => {
        const outcome = daemon.quota.acquire(
          tenant.name,
          tenant.quota,
          units,
          3000,
          new AbortController().signal,
          this.hasPriorities ? this.drawUrgency() : undefined,
        );
        void outcome.then(resolve);
      });
    });
  }
}

function allowedUnitsOf({ ratePerSecond, burst }: TenantQuota): number {
  const { windowMs, overshoot, slack } = ALLOWANCE;
  return ((ratePerSecond * windowMs) / 1000 + burst) * (1 + overshoot) + slack;
}

/** Returns the largest sum of units in any window. */
function peakWindowUnits(runs: readonly Run[]): number {
  let peak = 0;
  let sum = 0;
  let first = 0;
  for (const { at, units } of runs) {
    sum += units;
    while ((runs[first]?.at ?? at) < at - ALLOWANCE.windowMs) {
      sum -= runs[first]?.units ?? 0;
      first += 1;
    }
    peak = Math.max(peak, sum);
  }
  return peak;
}

/** Creates gates that share the limit through allocators. */
export const sharedUnits: QuotaFactory = (daemon, world) => createGate(daemon, world, false);

/** Creates gates that also divide the units among priorities. */
export const prioritizedUnits: QuotaFactory = (daemon, world) => createGate(daemon, world, true);

function createGate(daemon: WorldDaemon, world: QuotaWorld, hasPriorities: boolean): QuotaGate {
  return new QuotaGate({
    daemon: daemon.name,
    zone: daemon.zone,
    zones: ZONES,
    allowance: ALLOWANCE,
    coordinators: daemon.coordinators,
    peers: countedPeers(daemon.node.peers, world),
    failures: new CallFailures(daemon.node.process, silentLog),
    clock: daemon.node.process,
    ...(hasPriorities ? { prioritiesWith: daemon.node.random } : {}),
  });
}

function countedPeers(peers: PeerNetwork, world: QuotaWorld): Pick<PeerNetwork, 'call'> {
  return {
    call: (...call) => {
      world.allocatorCalls += 1;
      return peers.call(...call);
    },
  };
}

/** Baseline that gives each daemon an equal share of the limit and of the tolerated overshoot. */
export function fixedShares(daemons: number): QuotaFactory {
  return ({ node }) => {
    const levels = new Map<string, { level: number; at: number }>();
    return {
      acquire: (tenant, { ratePerSecond, burst }, units) => {
        const now = node.process.monotonic();
        const depth = (burst * (1 + ALLOWANCE.overshoot) + ALLOWANCE.slack) / daemons;
        const state = levels.get(tenant) ?? { level: 0, at: 0 };
        levels.set(tenant, state);
        state.level = Math.min(depth, state.level + ((now - state.at) * ratePerSecond) / 1000 / daemons);
        state.at = now;
        if (state.level < units) return Promise.resolve({ kind: 'over_limit', retryAfterMs: 1000 });
        state.level -= units;
        const ticket = { isValid: () => true, refund: () => undefined };
        return Promise.resolve({ kind: 'granted', ticket });
      },
    };
  };
}
