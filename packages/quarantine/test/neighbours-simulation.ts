/**
 * Simulates crashing requests among harmless ones: several daemons, and few workers that each run many
 * requests, so that callers who retry at once run beside a culprit again.
 */
import { Random, SimulatedProcess, sleep } from '@woodbarrow/runtime';
import type { RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment } from './quarantine-deployment.js';

const DAEMONS = 8;
/** Time until an ended process is replaced, in milliseconds. */
const RESTART_MS = 3000;
/** Time from the start of a culprit until its process crashes, in milliseconds. */
const CRASH_AFTER_MS = 50;
/** Maximum number of retries of a caller, and the longest retry delay in milliseconds that it accepts. */
const MAX_RETRIES = 6;
const MAX_RETRY_AFTER_MS = 10_000;
/** Time in which requests arrive, and total time of the simulation, in milliseconds. */
const TRAFFIC_MS = 24_000;
const SIMULATION_MS = 60_000;
/** Time in which all connected daemons must observe a crash, in milliseconds. */
export const PROPAGATION_MS = 3000;

/** Options of {@link NeighboursSimulation}. */
export interface NeighboursOptions {
  readonly seed: number;
  readonly workers: number;
  readonly culprits: number;
  readonly innocents: number;
}

/** Results as observed by callers and workers. */
export interface NeighboursResult {
  /**
   * Innocent contents with a verdict, innocent contents that were served, and the longest time until
   * one was served in milliseconds.
   */
  readonly innocentsRefused: number;
  readonly innocentsServed: number;
  readonly longestMs: number;
  readonly workersEnded: number;
  /**
   * Maximum number of times that one culprit was sent later than {@link PROPAGATION_MS} after its
   * third crash.
   */
  readonly lateSends: number;
  /** Culprits whose last attempt was refused, and culprits with a verdict. */
  readonly culpritsRefused: number;
  readonly culpritsProven: number;
}

interface Run {
  readonly breakOff: () => void;
}

interface CulpritHistory {
  readonly sends: number[];
  readonly crashes: number[];
  isRefused: boolean;
}

/** Runs one simulation. */
export class NeighboursSimulation {
  private readonly deployment = new QuarantineDeployment();
  private readonly clock = new SimulatedProcess(this.deployment.world, {
    name: 'callers',
    zone: 'a',
    region: 'r',
  });
  private readonly random: Random;
  private readonly runs = new Map<string, Set<Run>>();
  private readonly culprits = new Map<string, CulpritHistory>();
  private readonly servedAfterMs = new Map<string, number>();
  private started = 0;

  constructor(private readonly options: NeighboursOptions) {
    this.random = new Random(options.seed);
  }

  async simulate(): Promise<NeighboursResult> {
    const { workers, culprits, innocents } = this.options;
    for (let index = 0; index < DAEMONS; index += 1) this.deployment.addDaemon();
    for (let index = 0; index < workers; index += 1) this.startWorker();
    const calls = [
      ...Array.from({ length: culprits }, (_, index) => this.callCulprit(`culprit-${String(index)}`)),
      ...Array.from({ length: innocents }, (_, index) => this.callInnocent(`innocent-${String(index)}`)),
    ];
    await this.deployment.advance(SIMULATION_MS);
    await Promise.all(calls);
    return this.result();
  }

  private startWorker(): void {
    this.started += 1;
    this.runs.set(`w${String(this.started)}`, new Set());
  }

  /** Resends a culprit to random daemons. */
  private async callCulprit(content: string): Promise<void> {
    const history: CulpritHistory = { sends: [], crashes: [], isRefused: false };
    this.culprits.set(content, history);
    await this.pause(this.random.between(500, 3000));
    while (this.clock.monotonic() < TRAFFIC_MS) {
      const outcome = await this.attempt(content);
      history.isRefused = outcome.kind === 'refused';
      await this.pause(this.random.between(200, 1500));
    }
  }

  /** Sends an innocent content, retrying after the reported delay, and soon after a broken response. */
  private async callInnocent(content: string): Promise<void> {
    await this.pause(this.random.between(0, TRAFFIC_MS));
    const startedAt = this.clock.monotonic();
    for (let returns = 0; returns <= MAX_RETRIES; returns += 1) {
      const outcome = await this.attempt(content);
      if (outcome.kind === 'served') {
        this.servedAfterMs.set(content, this.clock.monotonic() - startedAt);
        return;
      }
      if (outcome.kind === 'refused' && outcome.retryAfterMs > MAX_RETRY_AFTER_MS) return;
      await this.pause(outcome.kind === 'refused' ? outcome.retryAfterMs : this.random.between(20, 300));
    }
  }

  private async attempt(content: string): Promise<Outcome> {
    const daemon = this.random.pick(this.deployment.daemons) as RequestQuarantine;
    const turn = await daemon.acquireSlot(content, new AbortController().signal);
    try {
      const verdict = daemon.verdictOf(content);
      if (verdict !== undefined) return { kind: 'refused', retryAfterMs: verdict.retryAfterMs };
      const avoided = daemon.processesToAvoid(content);
      const worker = this.random.pick([...this.runs.keys()].filter((id) => !avoided.includes(id)));
      if (worker === undefined) return { kind: 'refused', retryAfterMs: 500 };
      const admission = await daemon.admit(content, worker);
      if (admission.kind === 'occupied') return { kind: 'refused', retryAfterMs: 100 };
      if (admission.kind === 'refused') return admission;
      try {
        turn.assignProcess(worker);
        return await this.run(daemon, content, worker);
      } finally {
        admission.end();
      }
    } finally {
      turn.release();
    }
  }

  private async run(daemon: RequestQuarantine, content: string, worker: string): Promise<Outcome> {
    const sentAt = this.clock.monotonic();
    const runs = this.runs.get(worker);
    if (runs === undefined) return { kind: 'broken' };
    const culprit = this.culprits.get(content);
    culprit?.sends.push(sentAt);
    const isBroken = await new Promise<boolean>((resolve) => {
      const run = {
        breakOff: (): void => {
          resolve(true);
        },
      };
      runs.add(run);
      const durationMs = this.random.between(300, 1500);
      this.clock.schedule(durationMs, () => {
        runs.delete(run);
        resolve(false);
      });
      if (culprit !== undefined) this.clock.schedule(CRASH_AFTER_MS, () => this.endWorker(worker, culprit));
    });
    if (isBroken) this.deployment.breakOff(daemon, content, worker, sentAt);
    else daemon.noteServed(content);
    return { kind: isBroken ? 'broken' : 'served' };
  }

  private endWorker(worker: string, culprit: CulpritHistory): void {
    const runs = this.runs.get(worker);
    if (runs === undefined) return;
    culprit.crashes.push(this.clock.monotonic());
    this.runs.delete(worker);
    this.deployment.ended.add(worker);
    for (const run of runs) run.breakOff();
    this.clock.schedule(RESTART_MS, () => this.startWorker());
  }

  private result(): NeighboursResult {
    const refused = [...this.deployment.records.keys()];
    const histories = [...this.culprits.values()];
    return {
      innocentsRefused: refused.filter((content) => !this.culprits.has(content)).length,
      innocentsServed: this.servedAfterMs.size,
      longestMs: Math.max(...this.servedAfterMs.values()),
      workersEnded: this.deployment.ended.size,
      lateSends: Math.max(...histories.map(lateSendsOf)),
      culpritsRefused: histories.filter(({ isRefused }) => isRefused).length,
      culpritsProven: refused.filter((content) => this.culprits.has(content)).length,
    };
  }

  private pause(durationMs: number): Promise<void> {
    return sleep(this.clock, durationMs);
  }
}

/** Outcome of one attempt as observed by the caller. */
type Outcome =
  { readonly kind: 'served' | 'broken' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

function lateSendsOf({ sends, crashes }: CulpritHistory): number {
  const third = crashes[2];
  return third === undefined ? 0 : sends.filter((at) => at > third + PROPAGATION_MS).length;
}
