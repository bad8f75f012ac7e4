/** Plays the load of the drafting service (docs/HARD-LOAD.md) on workers that run requests for a fixed time. */
import type { ModelDefinition } from '@woodbarrow/backends';
import { Random } from '@woodbarrow/runtime';
import { SpreadHistory, decideReplicas, type ReplicaDecision, type SpreadWorker } from '../src/index.js';

const STEP_MS = 50;
/** Age of what a coordinator knows of the workers. */
const REPORT_AGE_MS = 300;
const PASS_MS = 400;
const LOAD_MS = 700;
const WORKER_MB = 200_000;
const ZONES = ['a', 'b', 'c', 'd'];
const PACES = [0.6, 1, 1.6];
const BUSY_MODELS = 11;
const BUSY_RUN_MS = 1330;
const RARE_RUN_MS = 2400;

interface PlayedWorker {
  readonly id: string;
  readonly zone: string;
  readonly pace: number;
  readonly held: Set<string>;
  readonly copies: Set<string>;
  readonly runs: { readonly model: string; readonly endsAt: number }[];
  load?: { readonly model: string; readonly endsAt: number };
}

/** What callers and workers saw in the last seconds of a play. */
export interface Outcome {
  readonly requests: number;
  /** Requests sent to a worker with a free slot. */
  readonly withSlot: number;
  /** Requests for models that no worker held. */
  readonly unheld: number;
  /** Mean share of the workers with more requests than slots. */
  readonly workersOverSlots: number;
  readonly decisions: readonly ReplicaDecision[];
}

/** A service of 63 workers with 16 slots in 4 zones, 11 busy, 15 idle and 140 rare models. */
export class DraftingLoad {
  readonly workers: PlayedWorker[];
  readonly models: ModelDefinition[];
  private readonly random: Random;
  private readonly histories = new Map(ZONES.map((zone) => [zone, new SpreadHistory()]));
  private readonly demand = new Map<string, number>();
  private reports: { readonly at: number; readonly workers: readonly SpreadWorker[] }[] = [];
  private now = 0;

  constructor(
    seed: number,
    /** Returns the requests per second for a model at a time. */
    private readonly rateOf: (model: string, now: number) => number,
  ) {
    this.random = new Random(seed);
    const names = Array.from({ length: 166 }, (_, index) => modelName(index));
    this.models = names.map((name) => ({
      name,
      weightsMb: this.random.between(42_700, 72_700),
      adapterMb: 0,
      storeLoadMs: 13_200,
      diskLoadMs: LOAD_MS,
      memoryLoadMs: LOAD_MS,
    }));
    this.workers = Array.from({ length: 63 }, (_, index) => ({
      id: `w${String(index).padStart(2, '0')}`,
      zone: ZONES[index % 4] ?? '',
      pace: PACES[index % 3] ?? 1,
      held: new Set<string>(),
      copies: new Set<string>(),
      runs: [],
    }));
    names.forEach((name, index) => {
      const replicas = index < BUSY_MODELS ? 3 + ((index + 1) % 2) : 1;
      const roomy = this.random
        .shuffle(this.workers)
        .filter((worker) => this.freeMb(worker) >= this.sizeOf(name));
      for (const worker of roomy.slice(0, replicas)) worker.held.add(name);
    });
    for (const worker of this.workers)
      for (const name of this.random.shuffle(names.filter((model) => !worker.held.has(model))).slice(0, 5))
        worker.copies.add(name);
  }

  /** Plays until a time and reports on the part after `fromMs`. */
  play(untilMs: number, fromMs: number, isSpread: boolean): Outcome {
    const seen = { requests: 0, withSlot: 0, unheld: 0, over: 0, steps: 0 };
    const decisions: ReplicaDecision[] = [];
    for (; this.now < untilMs; this.now += STEP_MS) {
      this.finishRuns();
      const counts = this.now >= fromMs;
      for (const { name } of this.models)
        for (let left = this.arrivals(name); left > 0; left -= 1) {
          const worker = this.send(name);
          if (!counts) continue;
          seen.requests += 1;
          if (worker === undefined) seen.unheld += 1;
          else if (worker.runs.length <= 16) seen.withSlot += 1;
        }
      if (counts) seen.over += this.workers.filter(({ runs }) => runs.length > 16).length / 63;
      if (counts) seen.steps += 1;
      if (isSpread) decisions.push(...this.spread());
    }
    return { ...seen, workersOverSlots: seen.over / seen.steps, decisions };
  }

  private finishRuns(): void {
    for (const worker of this.workers) {
      const open = worker.runs.filter(({ endsAt }) => endsAt > this.now);
      worker.runs.splice(0, worker.runs.length, ...open);
      if (worker.load === undefined || worker.load.endsAt > this.now) continue;
      worker.held.add(worker.load.model);
      delete worker.load;
    }
  }

  private arrivals(model: string): number {
    const before = this.demand.get(model) ?? 0;
    let count = 0;
    for (let at = 0; (at += this.random.exponential(1000 / this.rateOf(model, this.now))) < STEP_MS;)
      count += 1;
    this.demand.set(model, before * 0.5 ** (STEP_MS / 4000) + count);
    return count;
  }

  /** Sends a request to the holder that is expected to serve it first. */
  private send(model: string): PlayedWorker | undefined {
    const holders = this.workers.filter(({ held }) => held.has(model));
    const [best] = holders.sort(
      (left, right) => left.runs.length * left.pace - right.runs.length * right.pace,
    );
    const runMs = modelIndex(model) < 26 ? BUSY_RUN_MS : RARE_RUN_MS;
    best?.runs.push({ model, endsAt: this.now + runMs * best.pace });
    if (best === undefined) this.loadOnDemand(model);
    return best;
  }

  /** Loads a model that nobody holds, as every coordinator does, in place of the models with the least demand. */
  private loadOnDemand(model: string): void {
    if (this.workers.some(({ load }) => load?.model === model)) return;
    const usable = this.workers.filter(({ load, copies }) => load === undefined && copies.has(model));
    for (const worker of usable) {
      const idle = [...worker.held].filter((held) => worker.runs.every((run) => run.model !== held));
      const demandFor = (held: string): number => this.demand.get(held) ?? 0;
      const victims = idle.sort((left, right) => demandFor(left) - demandFor(right)).slice(0, 1);
      const freedMb = this.freeMb(worker) + this.sizeOf(victims[0] ?? '');
      const decision = {
        model,
        workerId: worker.id,
        victims: this.freeMb(worker) >= this.sizeOf(model) ? [] : victims,
      };
      if (freedMb >= this.sizeOf(model) && this.begin(decision)) return;
    }
  }

  /** Each zone's coordinator decides from reports of some age and carries out what concerns its own workers. */
  private spread(): ReplicaDecision[] {
    this.reports = this.reports.filter(({ at }) => this.now - at < REPORT_AGE_MS);
    this.reports.push({ at: this.now, workers: this.workers.map(reportOf) });
    const done: ReplicaDecision[] = [];
    ZONES.forEach((zone, index) => {
      const history = this.histories.get(zone);
      if (history === undefined || this.now % PASS_MS !== (index * PASS_MS) / 4) return;
      const { decisions } = decideReplicas({
        workers: this.reports[0]?.workers ?? [],
        loading: this.workers.flatMap(({ load }) =>
          load === undefined ? [] : [{ model: load.model, readyInMs: load.endsAt - this.now }],
        ),
        waiting: new Map(),
        demandFor: (model) => this.demand.get(model) ?? 0,
        models: this.models,
        mayLoad: () => true,
        weightsMb: WORKER_MB,
        history,
        now: this.now,
      });
      for (const decision of decisions)
        if (decision.zone === zone && this.begin(decision)) done.push(decision);
    });
    return done;
  }

  private begin({
    workerId,
    model,
    victims,
  }: Pick<ReplicaDecision, 'workerId' | 'model' | 'victims'>): boolean {
    const worker = this.workers.find(({ id }) => id === workerId);
    if (worker === undefined || worker.load !== undefined) return false;
    if (worker.runs.some((run) => victims.includes(run.model))) return false;
    for (const victim of victims) {
      worker.held.delete(victim);
      worker.copies.add(victim);
    }
    worker.load = { model, endsAt: this.now + LOAD_MS };
    return true;
  }

  private freeMb({ held }: PlayedWorker): number {
    return [...held].reduce((left, model) => left - this.sizeOf(model), WORKER_MB);
  }

  private sizeOf(model: string): number {
    return model === '' ? 0 : (this.models[modelIndex(model)]?.weightsMb ?? 0);
  }
}

function reportOf({ id, zone, pace, held, copies, runs, load }: PlayedWorker): SpreadWorker {
  const requestsByModel = new Map<string, number>();
  for (const { model } of runs) requestsByModel.set(model, (requestsByModel.get(model) ?? 0) + 1);
  return {
    id,
    zone,
    slots: 16,
    pace,
    held: [...held],
    copies: new Set(copies),
    canLoad: load === undefined,
    requests: runs.length,
    requestsByModel,
  };
}

/** Returns the name of a model: busy from 0, idle from 11, rare from 26. */
export function modelName(index: number): string {
  return `m${String(index).padStart(3, '0')}`;
}

/** Returns the index of a model. */
export function modelIndex(model: string): number {
  return Number(model.slice(1));
}
