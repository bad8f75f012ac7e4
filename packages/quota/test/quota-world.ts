/** Daemons, granters and callers on virtual time; judges what reaches the workers as the users do. */
import { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { QuotaOutcome, RequestQuota, TenantQuota } from '@woodbarrow/forwarding';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type PeerNetwork, type SimulatedNode } from '@woodbarrow/peering';
import { Random, type Clock } from '@woodbarrow/runtime';
import { QuotaGate, QuotaService, type UnitAllowance } from '../src/index.js';
import { ZoneLeases } from './zone-leases.js';

export const ZONES = ['alpha', 'beta', 'gamma', 'delta'];
export const ALLOWANCE: UnitAllowance = { windowMs: 8000, overshoot: 0.1, slack: 110_000 };
/** Time from the start of the daemons to the first requests, in milliseconds. */
const WARM_UP_MS = 12_000;
/** Pause between two words of claims, in milliseconds. */
const CLAIM_INTERVAL_MS = 300;

/** A run of a request at a worker. */
interface Run {
  readonly at: number;
  readonly units: number;
}

/** A tenant, and what its callers ask for. */
export interface TenantLoad {
  readonly name: string;
  quota: TenantQuota;
  /** Units asked for a second, over all its callers. */
  unitsPerSecond: number;
  /** Daemons that its callers are connected to. */
  readonly daemons: readonly number[];
}

/** What one tenant's callers got. */
export interface TenantResult {
  readonly asked: number;
  readonly ran: number;
  /** Asked for while the limit, as one bucket for all, had room. */
  readonly entitled: number;
  /** Of that, refused. */
  readonly wronglyRefused: number;
  /** Largest use of any window, as a part of what is allowed. */
  readonly peakUsage: number;
}

/** How limits are kept on a daemon. */
export type QuotaFactory = (daemon: WorldDaemon, world: QuotaWorld) => RequestQuota;

/** One daemon. */
export interface WorldDaemon {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  node: SimulatedNode;
  coordinators: CoordinatorDirectory;
  quota: RequestQuota;
}

/** Sizes of requests as the users' callers send them: a few large ones carry most of the units. */
function requestUnits(random: Random): number {
  const kind = random.next();
  if (kind < 0.45) return Math.min(60_000, 4000 + random.exponential(5200));
  return kind < 0.7 ? 300 + random.exponential(800) : 200;
}

const MEAN_UNITS = 0.45 * 9200 + 0.25 * 1100 + 0.3 * 200;

/** The bucket that the limit describes, one for all daemons. */
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

/** The world. */
export class QuotaWorld {
  readonly cluster: SimulatedCluster;
  readonly daemons: WorldDaemon[] = [];
  readonly random: Random;
  /** Questions to granters, and requests, so far. */
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
  ) {
    this.cluster = new SimulatedCluster({ seed });
    this.random = new Random(seed);
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

  /** Ends a daemon's process and starts it again after a while; a zone that it held gets another granter. */
  async restart(index: number, downMs: number): Promise<void> {
    const daemon = this.daemons[index];
    if (daemon === undefined) return;
    daemon.node.process.kill();
    this.leases.takeOverFrom(index);
    await this.cluster.advance(downMs);
    Object.assign(daemon, await this.startDaemon(index, daemon.zone));
  }

  /** Changes a tenant's limit everywhere. */
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
    service.noteZones();
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
      // A daemon that is frozen or killed sends nothing; it asks again whether the right still holds when it wakes.
      daemon.node.process.deliver(() => {
        if (outcome.ticket.isValid()) this.runs.get(tenant.name)?.push({ at: this.now, units });
      });
    } else if (isEntitled) {
      this.wronglyRefusedUnits.set(tenant.name, (this.wronglyRefusedUnits.get(tenant.name) ?? 0) + units);
    }
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

/** Largest sum over any window. */
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

/** Units that granters hand out ahead. */
export const sharedUnits: QuotaFactory = (daemon, world) =>
  new QuotaGate({
    daemon: daemon.name,
    zone: daemon.zone,
    zones: ZONES,
    allowance: ALLOWANCE,
    coordinators: daemon.coordinators,
    peers: countedPeers(daemon.node.peers, world),
    failures: new CallFailures(daemon.node.process, silentLog),
    clock: daemon.node.process,
  });

function countedPeers(peers: PeerNetwork, world: QuotaWorld): Pick<PeerNetwork, 'call'> {
  return {
    call: (...call) => {
      world.allocatorCalls += 1;
      return peers.call(...call);
    },
  };
}

/** The baseline: each daemon has an equal part of the limit and of what is allowed beyond it. */
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
        const ticket = { isValid: () => true, giveBack: () => undefined };
        return Promise.resolve({ kind: 'granted', ticket });
      },
    };
  };
}
