/** Workers on virtual time that execute orders, and may do so without an answer or late. */
import type { AdapterCopy, BackEnd, ModelDefinition, ModelTarget } from '@woodbarrow/backends';
import type { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import type { OrderClient, OrderOutcome, WorkerOrder, WorkerReport } from '../src/index.js';

/** Probabilities of faults per order. */
export interface OrderFaults {
  /** The order is executed, but its answer is lost. */
  readonly answerLost: number;
  /** The order is not answered, and executed seconds later if its sequence still matches. */
  readonly appliedLate: number;
}

export const MODEL_MB = 65;
export const WORKER_MB = 200;
export const ADAPTER_SLOTS = 3;
const LOAD_MS = 600;
/** Time from the start of a crashing load to the exit of the process, in milliseconds. */
const CRASH_AFTER_MS = { model: 200, adapter: 5 };
const UNLOAD_MS = 80;
const ADAPTER_MS = 10;
const REPORT_LAG_MS = 100;
const ROUND_TRIP_MS = 2;
const ORDER_TIMEOUT_MS = 400;

/** Returns the definition of a model. */
export function modelDefinition(name: string): ModelDefinition {
  return {
    name,
    weightsMb: MODEL_MB,
    adapterMb: 0,
    storeLoadMs: LOAD_MS,
    diskLoadMs: LOAD_MS,
    memoryLoadMs: LOAD_MS,
  };
}

/** Returns the key of an adapter copy, including the version if the order names one. */
function copyKey({ adapter = '', adapterVersion }: ModelTarget): string {
  return adapterVersion === undefined ? adapter : `${adapter}@${String(adapterVersion)}`;
}

function toCopy(text: string): AdapterCopy {
  const [name = '', version] = text.split('@');
  return version === undefined ? { name } : { name, version: Number(version) };
}

interface Snapshot {
  readonly at: number;
  readonly report: WorkerReport;
}

/** Loads that crash the process of a worker. */
export interface WorkerCrashes {
  readonly crashesUnder: (target: ModelTarget) => boolean;
  readonly onExit: () => void;
}

/** A simulated worker. */
export class SimulatedWorker {
  readonly models = new Map<string, Set<string>>();
  /** Descriptions of accepted orders that exceed its capacity. */
  readonly violations: string[] = [];
  /** Fences of the received orders, in order. */
  readonly fences: number[] = [];
  private readonly incoming = new Map<string, ModelTarget>();
  /** Adapters that runs use, and those of them that are to be unloaded. */
  private readonly inUse = new Set<string>();
  private readonly pendingUnloads = new Set<string>();
  private sequence = 0;
  private changing: string | undefined;
  private changingBy: 'load' | 'unload' | undefined;
  private snapshots: Snapshot[] = [];
  private exited = false;
  /** Whether another process answers at its address. */
  isReplaced = false;

  /** @param crashes Loads that crash the process, and the callback on its exit. */
  constructor(
    private readonly world: SimulatedWorld,
    models: readonly string[],
    private readonly crashes: WorkerCrashes = { crashesUnder: () => false, onExit: () => undefined },
  ) {
    for (const model of models) this.models.set(model, new Set());
    this.takeSnapshot();
  }

  /** Whether the process has exited. */
  get hasExited(): boolean {
    return this.exited;
  }

  /** Ends the process. */
  exit(): void {
    if (this.exited) return;
    this.exited = true;
    this.crashes.onExit();
  }

  /** Returns the state as it was some time ago. */
  report(): WorkerReport {
    const until = this.world.now - REPORT_LAG_MS;
    const [first = this.takeSnapshot()] = this.snapshots;
    const known = this.snapshots.filter((snapshot) => snapshot.at <= until);
    return (known[known.length - 1] ?? first).report;
  }

  /** Executes an order. */
  take(order: WorkerOrder): OrderOutcome {
    this.fences.push(order.fence);
    if (order.expectedSequence !== this.sequence) return 'conflict';
    const outcome = order.target.adapter === undefined ? this.takeModel(order) : this.takeAdapter(order);
    this.takeSnapshot();
    return outcome;
  }

  /** Simulates a run that uses an adapter; an unload is accepted and completes when the run ends. */
  useAdapter(model: string, adapter: string, durationMs: number): void {
    const key = `${model}/${adapter}`;
    this.inUse.add(key);
    this.world.schedule(durationMs, () => {
      this.inUse.delete(key);
      if (!this.pendingUnloads.delete(key)) return;
      this.models.get(model)?.delete(adapter);
      this.takeSnapshot();
    });
  }

  private takeModel({ operation, target }: WorkerOrder): OrderOutcome {
    // A repeated order that is already being executed is accepted once.
    if (this.changing === target.model && this.changingBy === operation) return 'accepted';
    if (this.changing !== undefined) return 'conflict';
    const isHeld = this.models.has(target.model);
    if (operation === 'load' ? isHeld : !isHeld) return 'done';
    if (operation === 'load' && (this.models.size + 1) * MODEL_MB > WORKER_MB) {
      this.violations.push(`load of ${target.model} at ${String(this.world.now)}`);
    }
    this.sequence += 1;
    this.changing = target.model;
    this.changingBy = operation;
    if (this.crashesUnder(operation, target, CRASH_AFTER_MS.model)) return 'accepted';
    this.world.schedule(operation === 'load' ? LOAD_MS : UNLOAD_MS, () => {
      this.changing = undefined;
      if (operation === 'load') this.models.set(target.model, new Set());
      else this.models.delete(target.model);
      this.takeSnapshot();
    });
    return 'accepted';
  }

  private takeAdapter({ operation, target }: WorkerOrder): OrderOutcome {
    const adapters = this.models.get(target.model);
    const adapter = copyKey(target);
    if (adapters === undefined) return 'rejected';
    const isHeld = adapters.has(adapter);
    if (operation === 'load' && isHeld) return 'done';
    const taken = [...this.models.values()].reduce((sum, held) => sum + held.size, 0) + this.incoming.size;
    if (operation === 'load' && taken + 1 > ADAPTER_SLOTS) {
      this.violations.push(`adapter ${adapter} at ${String(this.world.now)}`);
    }
    this.sequence += 1;
    const key = `${target.model}/${adapter}`;
    if (operation === 'unload' && this.inUse.has(key)) {
      this.pendingUnloads.add(key);
      return 'accepted';
    }
    if (operation === 'unload') {
      adapters.delete(adapter);
      return 'done';
    }
    this.incoming.set(key, target);
    if (this.crashesUnder(operation, target, CRASH_AFTER_MS.adapter)) return 'accepted';
    this.world.schedule(ADAPTER_MS, () => {
      this.incoming.delete(key);
      this.models.get(target.model)?.add(adapter);
      this.takeSnapshot();
    });
    return 'accepted';
  }

  private crashesUnder(operation: WorkerOrder['operation'], target: ModelTarget, afterMs: number): boolean {
    if (operation !== 'load' || !this.crashes.crashesUnder(target)) return false;
    this.world.schedule(afterMs, () => {
      this.exit();
    });
    return true;
  }

  private takeSnapshot(): Snapshot {
    const models = [...this.models].map(([name, adapters]) => ({
      name,
      adapters: [...adapters].map(toCopy),
    }));
    const report = {
      models,
      incoming: [...this.incoming.values()],
      busy: this.changing !== undefined,
      sequence: this.sequence,
      nearby: { inMemory: [], onDisk: [] },
    };
    const snapshot = { at: this.world.now, report };
    this.snapshots.push(snapshot);
    return snapshot;
  }
}

/** How calls fail while the links to all workers are cut. No call reaches a worker. */
export type LinkCut = 'reset' | 'refused' | 'silent';

/** Sends orders and requests reports for one coordinator's process. */
export class SimulatedOrderClient implements OrderClient {
  faults: OrderFaults = { answerLost: 0, appliedLate: 0 };
  /** Set while the links are cut. */
  cut: LinkCut | undefined;

  constructor(
    private readonly world: SimulatedWorld,
    private readonly process: SimulatedProcess,
    private readonly workers: ReadonlyMap<string, SimulatedWorker>,
    private readonly random: Random,
  ) {}

  send(backEnd: BackEnd, order: WorkerOrder): Promise<OrderOutcome> {
    const worker = this.workers.get(backEnd.id);
    const draw = this.random.next();
    const { answerLost, appliedLate } = this.faults;
    return new Promise((resolve) => {
      const answer = (outcome: OrderOutcome, delayMs: number): void => {
        this.world.schedule(delayMs, () => {
          this.process.deliver(() => {
            resolve(outcome);
          });
        });
      };
      if (this.cut !== undefined) {
        const failsAfterMs = this.cut === 'silent' ? ORDER_TIMEOUT_MS : ROUND_TRIP_MS / 2;
        answer(this.cut === 'refused' ? 'unreachable' : 'unknown', failsAfterMs);
      } else if (worker === undefined) {
        answer('unknown', ORDER_TIMEOUT_MS);
      } else if (draw < appliedLate) {
        this.world.schedule(this.random.between(2000, 12_000), () => void worker.take(order));
        answer('unknown', ORDER_TIMEOUT_MS);
      } else {
        this.world.schedule(ROUND_TRIP_MS / 2, () => {
          if (worker.hasExited) {
            answer(worker.isReplaced ? 'gone' : 'unreachable', ROUND_TRIP_MS / 2);
            return;
          }
          const outcome = worker.take(order);
          if (draw < appliedLate + answerLost) answer('unknown', ORDER_TIMEOUT_MS);
          else answer(outcome, ROUND_TRIP_MS / 2);
        });
      }
    });
  }

  report(backEnd: BackEnd): Promise<WorkerReport | undefined> {
    return new Promise((resolve) => {
      const isCut = this.cut !== undefined;
      this.world.schedule(this.cut === 'silent' ? ORDER_TIMEOUT_MS : ROUND_TRIP_MS, () => {
        const worker = this.workers.get(backEnd.id);
        const report = isCut || worker?.hasExited === true ? undefined : worker?.report();
        this.process.deliver(() => {
          resolve(report);
        });
      });
    });
  }
}
