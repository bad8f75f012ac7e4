/**
 * Queueing model of baseline policies for comparison on the same arrivals, without network or failures. Load times
 * depend on the nearest cache tier; memory, weight store and concurrency of replicas are limited.
 */
import type { ModelParameters } from '@woodbarrow/configuration';
import type { DeploymentPlan, WorkerPlan } from '../scenario/expand-scenario.js';
import type { Scenario } from '../scenario/scenario-schema.js';
import { distributionOf, type Distribution } from '../simulation/simulation-summary.js';
import { allowedWaitOf, isDeferrable, modelIdOf } from '../traffic/request-facts.js';
import type { PlannedRequest } from '../traffic/workload.js';

export const BASELINES = ['uncoordinated', 'fixed-keep-alive', 'always-warm', 'oracle'] as const;

export type Baseline = (typeof BASELINES)[number];

/** Results of one policy under one seed. */
export interface PolicyOutcome {
  readonly policy: string;
  readonly seed: number;
  readonly coldStartMs: Distribution;
  readonly firstTokenMs: Distribution;
  readonly idleAcceleratorHours: number;
  readonly loads: number;
  /** Number of requests that could not start within their allowed wait. */
  readonly late: number;
}

/** Scenario and arrivals on which a policy runs. */
export interface PolicyInput {
  readonly scenario: Scenario;
  readonly plan: DeploymentPlan;
  readonly workload: readonly PlannedRequest[];
  readonly seed: number;
}

const FIXED_KEEP_ALIVE_MS = 600_000;
const UNCOORDINATED_KEEP_ALIVE_MS = 60_000;
const PREFILL_MS = 40;
const TOKEN_MS = 20;
const HOST_CACHE_SIZE = 4;
const MS_PER_HOUR = 3_600_000;
/** Idle seconds that cost as much as one second of cold start at equal weights; same ratio as in the daemon. */
const COLD_SECOND_IN_IDLE_SECONDS = 6;

interface Model {
  readonly id: string;
  readonly parameters: ModelParameters;
  readonly checkpoint: string;
  readonly coldStartWeight: number;
}

interface Replica {
  readonly key: string;
  readonly model: Model;
  readonly worker: Worker;
  readyAt: number;
  /** End times of the runs in progress. */
  runEnds: number[];
  /** Start of the idle period: the end of the last run. */
  idleSince: number;
}

interface Worker {
  readonly plan: WorkerPlan;
  freeGib: number;
  readonly host: string[];
  readonly disk: Set<string>;
}

/** Runs one baseline policy on the given arrivals. */
export function runBaseline(policy: Baseline, input: PolicyInput): PolicyOutcome {
  return new PolicyRun(policy, input).run();
}

class PolicyRun {
  private readonly models = new Map<string, Model>();
  private readonly workers: Worker[];
  private readonly replicas = new Map<string, Replica>();
  private readonly storeLoadEnds: number[] = [];
  private readonly coldStartWaitsMs: number[] = [];
  private readonly waitsMs: number[] = [];
  private readonly nextArrival: readonly number[];
  private idleMs = 0;
  private loads = 0;
  private late = 0;

  constructor(
    private readonly policy: Baseline,
    private readonly input: PolicyInput,
  ) {
    for (const tenant of input.plan.tenants) {
      for (const parameters of tenant.parameters.models) {
        const id = `${tenant.name}/${parameters.name}`;
        const checkpoint = `${parameters.name}@${parameters.version}`;
        this.models.set(id, {
          id,
          parameters,
          checkpoint,
          coldStartWeight: tenant.parameters.coldStartWeight,
        });
      }
    }
    this.workers = input.plan.workers.map((plan) => ({
      plan,
      freeGib: plan.memoryGib,
      host: [...plan.hostCache],
      disk: new Set(plan.diskCache),
    }));
    this.nextArrival = arrivalsAfter(input.workload);
  }

  run(): PolicyOutcome {
    if (this.policy === 'always-warm')
      for (const model of this.models.values()) this.load(model, model.id, 0, true);
    for (const [index, planned] of this.input.workload.entries()) this.serve(planned, index);
    const end = this.input.scenario.durationSeconds * 1000;
    for (const replica of this.replicas.values()) this.countIdle(replica, Math.max(end, replica.idleSince));
    return {
      policy: this.policy,
      seed: this.input.seed,
      coldStartMs: distributionOf(this.coldStartWaitsMs),
      firstTokenMs: distributionOf(this.waitsMs),
      idleAcceleratorHours: Math.round((this.idleMs / MS_PER_HOUR) * 1000) / 1000,
      loads: this.loads,
      late: this.late,
    };
  }

  private serve(planned: PlannedRequest, index: number): void {
    const now = planned.atMs;
    const { request } = planned;
    const model = this.models.get(modelIdOf(request));
    if (model === undefined) return;
    this.unloadIdle(now);
    // Without coordination each daemon loads its own replica.
    const key =
      this.policy === 'uncoordinated'
        ? `${model.id}@${String(index % this.input.plan.daemons.length)}`
        : model.id;
    const existing = this.replicas.get(key);
    const replica = existing ?? this.load(model, key, now, false);
    const wasReady = existing !== undefined && existing.readyAt <= now;
    const beginsAt = replica === undefined ? Infinity : slotFreeAt(replica, now);
    const waitMs = beginsAt - now + PREFILL_MS;
    if (waitMs > allowedWaitOf(request, this.input.plan)) this.late += 1;
    if (replica === undefined || beginsAt === Infinity) return;
    const endsAt = beginsAt + PREFILL_MS + request.tokens * TOKEN_MS;
    // Adds the idle time between the last run and this one.
    if (replica.runEnds.length === 0) this.countIdle(replica, beginsAt);
    replica.runEnds.push(endsAt);
    replica.idleSince = Math.max(replica.idleSince, endsAt);
    if (isDeferrable(request, this.input.plan)) return;
    this.waitsMs.push(waitMs);
    if (!wasReady) this.coldStartWaitsMs.push(waitMs);
    if (this.policy === 'oracle') this.unloadUnlessWorthKeeping(replica, index);
  }

  /** The oracle knows the next arrival and keeps a replica only if a reload would cost more than its idle time. */
  private unloadUnlessWorthKeeping(replica: Replica, index: number): void {
    const { model } = replica;
    const gapMs = (this.nextArrival[index] ?? Infinity) - replica.idleSince;
    const weightRatio = model.coldStartWeight / Math.max(0.01, 1 - model.coldStartWeight);
    const worthMs = this.loadMs(model, replica.worker) * COLD_SECOND_IN_IDLE_SECONDS * weightRatio;
    if (gapMs > worthMs) this.unload(replica, replica.idleSince);
  }

  private load(model: Model, key: string, now: number, isPreload: boolean): Replica | undefined {
    const worker = this.pickWorker(model, now, isPreload);
    if (worker === undefined) return undefined;
    const loadMs = this.loadMs(model, worker);
    const remote = !worker.host.includes(model.checkpoint) && !worker.disk.has(model.checkpoint);
    const startsAt =
      remote && this.policy !== 'oracle' && !isPreload ? this.reserveStoreSlot(now, loadMs) : now;
    const readyAt = isPreload ? 0 : startsAt + loadMs;
    worker.freeGib -= model.parameters.memoryGib;
    worker.disk.add(model.checkpoint);
    const cached = worker.host.indexOf(model.checkpoint);
    if (cached >= 0) worker.host.splice(cached, 1);
    worker.host.push(model.checkpoint);
    if (worker.host.length > HOST_CACHE_SIZE && this.policy !== 'oracle') worker.host.shift();
    const replica: Replica = { key, model, worker, readyAt, runEnds: [], idleSince: readyAt };
    this.replicas.set(key, replica);
    this.loads += 1;
    return replica;
  }

  /** The oracle picks the worker with the fastest load; other policies pick the one with the most free memory. */
  private pickWorker(model: Model, now: number, isPreload: boolean): Worker | undefined {
    const needed = model.parameters.memoryGib;
    const byPolicy = (left: Worker, right: Worker): number =>
      this.policy === 'oracle'
        ? this.loadMs(model, left) - this.loadMs(model, right)
        : right.freeGib - left.freeGib;
    if (this.policy === 'oracle') return [...this.workers].sort(byPolicy)[0];
    const fitting = this.workers.filter((worker) => worker.freeGib >= needed).sort(byPolicy);
    if (fitting[0] !== undefined || isPreload) return fitting[0];
    return this.evictIdle(needed, now);
  }

  /** Unloads the longest-idle replicas until one worker has enough free memory. */
  private evictIdle(needed: number, now: number): Worker | undefined {
    const idle = [...this.replicas.values()]
      .filter((replica) => replica.readyAt <= now && replica.runEnds.every((end) => end <= now))
      .sort((left, right) => left.idleSince - right.idleSince);
    for (const replica of idle) {
      this.unload(replica, now);
      if (replica.worker.freeGib >= needed) return replica.worker;
    }
    return undefined;
  }

  private loadMs(model: Model, worker: Worker): number {
    const { loadSeconds } = model.parameters;
    if (worker.host.includes(model.checkpoint)) return loadSeconds.host * 1000;
    return (worker.disk.has(model.checkpoint) ? loadSeconds.disk : loadSeconds.remote) * 1000;
  }

  /** Reserves a load slot of the weight store and returns its start time. */
  private reserveStoreSlot(now: number, loadMs: number): number {
    const active = this.storeLoadEnds.filter((end) => end > now).sort((left, right) => left - right);
    const limit = this.input.scenario.weightStore.concurrentLoads;
    const startsAt = active.length < limit ? now : (active[active.length - limit] ?? now);
    this.storeLoadEnds.push(startsAt + loadMs);
    return startsAt;
  }

  private unloadIdle(now: number): void {
    if (this.policy === 'always-warm' || this.policy === 'oracle') return;
    const keepMs = this.policy === 'uncoordinated' ? UNCOORDINATED_KEEP_ALIVE_MS : FIXED_KEEP_ALIVE_MS;
    for (const replica of [...this.replicas.values()]) {
      replica.runEnds = replica.runEnds.filter((end) => end > now);
      if (replica.runEnds.length === 0 && now - replica.idleSince > keepMs)
        this.unload(replica, replica.idleSince + keepMs);
    }
  }

  private unload(replica: Replica, at: number): void {
    this.countIdle(replica, at);
    this.replicas.delete(replica.key);
    replica.worker.freeGib += replica.model.parameters.memoryGib;
  }

  private countIdle(replica: Replica, until: number): void {
    const { accelerators, memoryGib } = replica.worker.plan;
    const share = (accelerators * replica.model.parameters.memoryGib) / memoryGib;
    this.idleMs += Math.max(0, until - replica.idleSince) * share;
  }
}

/** Returns the time at which the replica can start one more run. */
function slotFreeAt(replica: Replica, now: number): number {
  const from = Math.max(now, replica.readyAt);
  replica.runEnds = replica.runEnds.filter((end) => end > now);
  const running = [...replica.runEnds].sort((left, right) => left - right);
  const limit = replica.model.parameters.concurrency;
  if (running.length < limit) return from;
  return Math.max(from, running[running.length - limit] ?? from);
}

/** Returns, for each request, the time of the next request for the same model; Infinity if there is none. */
function arrivalsAfter(workload: readonly PlannedRequest[]): number[] {
  const next = new Array<number>(workload.length).fill(Infinity);
  const last = new Map<string, number>();
  for (let index = workload.length - 1; index >= 0; index -= 1) {
    const planned = workload[index] as PlannedRequest;
    const model = modelIdOf(planned.request);
    next[index] = last.get(model) ?? Infinity;
    last.set(model, planned.atMs);
  }
  return next;
}
