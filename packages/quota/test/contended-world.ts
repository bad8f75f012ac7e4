/** Plays a tenant that sends far more than its limit for some seconds, with callers that retry. */
import { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { TenantQuota } from '@woodbarrow/forwarding';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import { Random, type Clock } from '@woodbarrow/runtime';
import { QuotaGate, QuotaService, type OvershootAllowance } from '../src/index.js';
import { ZoneLeases } from './zone-leases.js';

const ZONES = ['alpha', 'beta', 'gamma'];
export const ALLOWANCE: OvershootAllowance = { windowMs: 8000, overshoot: 0.1, slack: 7400 };
export const QUOTA: TenantQuota = {
  unit: 'tokens',
  ratePerSecond: 200_000,
  burst: 200_000,
  plainTokens: 200,
};
/** Time between a request's arrival and the last moment at which its units are of use, before the target. */
const RUN_MS = 60;
const CLAIM_INTERVAL_MS = 300;
const WARM_UP_MS = 6000;
/** Maximum number of attempts of one caller. */
const MAX_ATTEMPTS = 3;

/** A kind of request. Times in milliseconds. */
export interface RequestSort {
  readonly name: string;
  readonly perSecond: number;
  readonly units: number;
  readonly priority: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

export const SORTS: readonly RequestSort[] = [
  { name: 'fault', perSecond: 370, units: 900, priority: 0, targetMs: 500, deadlineMs: 12_000 },
  { name: 'alarm', perSecond: 230, units: 330, priority: 1, targetMs: 500, deadlineMs: 4000 },
  { name: 'tariff', perSecond: 575, units: 900, priority: 2, targetMs: 6000, deadlineMs: 25_000 },
  { name: 'relay', perSecond: 240, units: 200, priority: 2, targetMs: 330, deadlineMs: 4000 },
];

/** What callers of one kind got. */
export interface SortResult {
  requests: number;
  /** Granted within the target, from the first attempt. */
  inTime: number;
  late: number;
  retries: number;
  refusals: number;
  /** Retry delays told, in milliseconds. */
  readonly retryDelays: number[];
  /** Requests granted, by second. */
  readonly perSecond: number[];
}

interface Daemon {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  readonly node: SimulatedNode;
  readonly coordinators: CoordinatorDirectory;
  readonly gate: QuotaGate;
}

/** Options of {@link ContendedWorld}. */
export interface ContendedOptions {
  readonly hasPriorities: boolean;
  readonly daemons: number;
  readonly sorts?: readonly RequestSort[];
  readonly seed?: number;
  readonly quota?: TenantQuota;
  /** Whether the daemons of one zone alone receive requests. */
  readonly isInOneZone?: boolean;
}

/** A deployment of three zones with one tenant. */
export class ContendedWorld {
  readonly cluster: SimulatedCluster;
  readonly results = new Map<string, SortResult>();
  readonly runs: { readonly at: number; readonly units: number }[] = [];
  readonly refusalsWithAllocators: number[] = [];
  allocatorCalls = 0;
  /** Fraction of the rates of the kinds. */
  load = 0;
  private readonly daemons: Daemon[] = [];
  private readonly leases: ZoneLeases;
  private readonly random: Random;
  private readonly sorts: readonly RequestSort[];
  private readonly quota: TenantQuota;
  private beganAt = 0;

  constructor(private readonly options: ContendedOptions) {
    const { seed = 1, sorts = SORTS, quota = QUOTA } = options;
    this.cluster = new SimulatedCluster({ seed, crossZoneMs: 0.9 });
    this.random = new Random(seed);
    this.sorts = sorts;
    this.quota = quota;
    this.leases = new ZoneLeases(this.cluster.world, ZONES, this.daemons);
  }

  get now(): number {
    return this.cluster.world.now;
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.options.daemons; index += 1) await this.startDaemon(index);
    await this.cluster.advance(WARM_UP_MS);
    this.resetResults();
    for (const sort of this.sorts) this.sendNext(sort);
  }

  resetResults(): void {
    this.beganAt = this.now;
    for (const { name } of this.sorts) {
      const counts = { requests: 0, inTime: 0, late: 0, retries: 0, refusals: 0 };
      this.results.set(name, { ...counts, retryDelays: [], perSecond: [] });
    }
  }

  resultOf(name: string): SortResult {
    const result = this.results.get(name);
    if (result === undefined) throw new Error(name);
    return result;
  }

  /** Makes a daemon stop answering, as a machine that hangs does. */
  hang(index: number, durationMs: number): void {
    this.daemons[index]?.node.process.pause(durationMs);
  }

  /** Ends the lease of a daemon; another takes over its zone, with an empty allocator. */
  replaceAllocator(index: number): void {
    this.daemons[index]?.node.process.kill();
    this.leases.takeOverFrom(index);
  }

  /** Returns the units that ran from `fromMs` until `toMs`. */
  unitsBetween(fromMs: number, toMs: number): number {
    const runs = this.runs.filter(({ at }) => at >= fromMs && at < toMs);
    return runs.reduce((sum, { units }) => sum + units, 0);
  }

  /** Returns the largest use in any window, as a fraction of the allowed use. */
  peakUsage(): number {
    const { windowMs, overshoot, slack } = ALLOWANCE;
    const { ratePerSecond, burst } = this.quota;
    const allowed = ((ratePerSecond * windowMs) / 1000 + burst) * (1 + overshoot) + slack;
    let [peak, sum, first] = [0, 0, 0];
    for (const { at, units } of this.runs) {
      sum += units;
      while ((this.runs[first]?.at ?? at) < at - windowMs) {
        sum -= this.runs[first]?.units ?? 0;
        first += 1;
      }
      peak = Math.max(peak, sum);
    }
    return peak / allowed;
  }

  private async startDaemon(index: number): Promise<void> {
    const { hasPriorities } = this.options;
    const zone = ZONES[index % ZONES.length] ?? '';
    const name = `daemon-${String(index)}`;
    const node = await this.cluster.add(name, zone);
    const { process: clock, peers, random } = node;
    const coordinators = new CoordinatorDirectory(clock, name);
    const gate = new QuotaGate({
      daemon: name,
      zone,
      zones: ZONES,
      allowance: ALLOWANCE,
      coordinators,
      peers: {
        call: (...call) => {
          this.allocatorCalls += 1;
          return peers.call(...call);
        },
      },
      failures: new CallFailures(clock, silentLog),
      clock,
      ...(hasPriorities ? { prioritiesWith: random } : {}),
    });
    const service = new QuotaService({
      zones: ZONES,
      allowance: ALLOWANCE,
      quotaOf: () => this.quota,
      authorityOf: (candidate) => this.leases.authorityOf(candidate, index),
      hasPriorities,
      peers,
      clock,
      log: silentLog,
    });
    service.start();
    this.daemons.push({ index, name, zone, node, coordinators, gate });
    this.publishClaims(coordinators, clock, service);
  }

  private publishClaims(coordinators: CoordinatorDirectory, clock: Clock, service: QuotaService): void {
    coordinators.accept('told', 'own', this.leases.claims());
    service.refreshZones();
    clock.schedule(CLAIM_INTERVAL_MS, () => {
      this.publishClaims(coordinators, clock, service);
    });
  }

  private sendNext(sort: RequestSort): void {
    const rate = sort.perSecond * this.load;
    const pauseMs = rate <= 0 ? Infinity : this.random.exponential(1000 / rate);
    this.cluster.world.schedule(Math.min(pauseMs, 50), () => {
      if (pauseMs <= 50) {
        this.resultOf(sort.name).requests += 1;
        this.attempt(sort, this.now, 1);
      }
      this.sendNext(sort);
    });
  }

  private attempt(sort: RequestSort, firstAt: number, count: number): void {
    const alive = this.daemons.filter(({ node, zone }) => {
      return node.process.alive && (this.options.isInOneZone !== true || zone === ZONES[0]);
    });
    const daemon = this.random.pick(alive);
    daemon?.node.process.deliver(() => void this.send(daemon, sort, firstAt, count));
  }

  private async send(daemon: Daemon, sort: RequestSort, firstAt: number, count: number): Promise<void> {
    const result = this.resultOf(sort.name);
    const { units, priority, targetMs, deadlineMs } = sort;
    const urgency = { priority, usefulWaitMs: targetMs - RUN_MS };
    const signal = new AbortController().signal;
    const outcome = await daemon.gate.acquire('tenant', this.quota, units, deadlineMs, signal, urgency);
    if (outcome.kind === 'granted') {
      daemon.node.process.deliver(() => {
        if (!outcome.ticket.isValid()) return;
        this.runs.push({ at: this.now, units });
        if (this.now - firstAt <= targetMs) result.inTime += 1;
        else result.late += 1;
        const second = Math.floor((this.now - this.beganAt) / 1000);
        result.perSecond[second] = (result.perSecond[second] ?? 0) + 1;
      });
      return;
    }
    result.refusals += 1;
    result.retryDelays.push(outcome.retryAfterMs);
    this.refusalsWithAllocators.push(outcome.shortage?.allocatorsAnswered ?? -1);
    const isUseful = this.now - firstAt + outcome.retryAfterMs < deadlineMs;
    if (count >= MAX_ATTEMPTS || !isUseful) return;
    this.cluster.world.schedule(outcome.retryAfterMs, () => {
      result.retries += 1;
      this.attempt(sort, firstAt, count + 1);
    });
  }
}
