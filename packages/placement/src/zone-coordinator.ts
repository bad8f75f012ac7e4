/**
 * The zone coordinator: the daemon that holds the zone's lease and orders loads and unloads. Every load is recorded
 * at a majority of voters before it is ordered, and its memory counts as committed from then on until the worker's
 * inventory shows otherwise.
 */
import type { LogEventName } from '@woodbarrow/observability';
import type { Lease, LeaseCandidate } from '@woodbarrow/coordination';
import type { Catalog } from '@woodbarrow/configuration';
import type { EngineClient } from '@woodbarrow/engine';
import type { Membership } from '@woodbarrow/membership';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Machine, MachineListClient } from '@woodbarrow/object-store';
import {
  describePlacementMethod,
  reportDemandMethod,
  type DescribePlacementResponse,
  type ReportDemandRequest,
  type ReportDemandResponse,
} from '@woodbarrow/protocol';
import { WoodbarrowError } from '@woodbarrow/errors';
import { TaskGroup, Wakeup, sleep, type Clock } from '@woodbarrow/runtime';
import { ModelActivity } from './model-activity.js';
import { LoadPermits, permitLimitsOfZone } from './load-permits.js';
import {
  allotmentOf,
  planPlacement,
  type LoadAction,
  type PlacementPlan,
  type UnloadAction,
} from './placement-planner.js';
import { ReplicaPublisher } from './replica-publisher.js';
import { WorkerAgent } from './worker-agent.js';
import { WorkerView, workerRecordKey, type WorkerRecord } from './worker-view.js';

/** Timing of the coordinator, in milliseconds. */
export interface CoordinatorTimings {
  /** Maximum pause between two plans. @default 1000 */
  readonly planIntervalMs: number;
  /** Pause between two reads of the machine list. @default 2000 */
  readonly machineListIntervalMs: number;
  /** Pause between two inventory polls of an idle worker. @default 5000 */
  readonly idlePollMs: number;
  /** Pause between two inventory polls of a worker with a load or unload in progress. @default 200 */
  readonly busyPollMs: number;
  /** Time after which a machine missing from the list is removed. @default 15000 */
  readonly absentAfterMs: number;
}

/** Defaults of {@link CoordinatorTimings}. */
export const DEFAULT_COORDINATOR_TIMINGS: CoordinatorTimings = {
  planIntervalMs: 1000,
  machineListIntervalMs: 2000,
  idlePollMs: 5000,
  busyPollMs: 200,
  absentAfterMs: 15_000,
};

/** Options of {@link ZoneCoordinator}. */
export interface ZoneCoordinatorOptions {
  readonly zone: string;
  readonly lease: LeaseCandidate;
  readonly catalog: Catalog;
  readonly engines: EngineClient;
  readonly machines: MachineListClient;
  readonly membership: Membership;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly timings?: Partial<CoordinatorTimings>;
  /** Called for each state change that should be logged. */
  readonly onEvent?: (event: LogEventName, details: Readonly<Record<string, unknown>>) => void;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

/** Counters of {@link ZoneCoordinator}. */
export interface CoordinatorCounters {
  loadsOrdered: number;
  unloadsOrdered: number;
  ordersRefused: number;
  ordersUnanswered: number;
  takeovers: number;
}

const PERMIT_SEPARATOR = '\u0000';
/** Minimum average spacing between the inventory polls of different idle workers, in milliseconds. */
const IDLE_POLL_SPACING_MS = 125;
const MIN_PLAN_PAUSE_MS = 20;

/** State of the coordinator during one lease. */
interface Tenure {
  readonly lease: Lease;
  readonly tasks: TaskGroup;
  readonly workers: Map<string, WorkerView>;
  readonly agents: Map<string, WorkerAgent>;
  readonly absentSince: Map<string, number>;
  readonly permits: LoadPermits;
  readonly warming: Set<string>;
  hasReadMachines: boolean;
  lastPlan: PlacementPlan | undefined;
  readonly publisher: ReplicaPublisher;
}

/** Decides the placement of one zone while this daemon holds the zone's lease. */
export class ZoneCoordinator {
  readonly counters: CoordinatorCounters = {
    loadsOrdered: 0,
    unloadsOrdered: 0,
    ordersRefused: 0,
    ordersUnanswered: 0,
    takeovers: 0,
  };
  private readonly timings: CoordinatorTimings;
  private readonly activities = new Map<string, ModelActivity>();
  private tenure: Tenure | undefined;
  private readonly wakeup = new Wakeup();

  constructor(private readonly options: ZoneCoordinatorOptions) {
    this.timings = { ...DEFAULT_COORDINATOR_TIMINGS, ...options.timings };
  }

  /** Whether this daemon currently coordinates the zone. */
  get isActive(): boolean {
    return this.tenure?.lease.isValid === true;
  }

  /** Registers the peer handlers, and coordinates whenever the lease is held. */
  start(): void {
    const { lease, peers } = this.options;
    lease.events.on('acquired', (held) => {
      this.beginTenure(held);
    });
    lease.events.on('lost', () => {
      this.endTenure();
    });
    peers.handle(reportDemandMethod, (request) => this.handleDemandReport(request));
    peers.handle(describePlacementMethod, () => this.describe());
  }

  /** Stops coordinating at once and sends nothing more, as in a crash. */
  abort(): void {
    this.endTenure();
  }

  private beginTenure(lease: Lease): void {
    this.endTenure();
    this.counters.takeovers += 1;
    const { clock } = this.options;
    const workers = new Map<string, WorkerView>();
    const tenure: Tenure = {
      lease,
      tasks: new TaskGroup(clock, this.options.onTaskFailure ?? (() => undefined)),
      workers,
      agents: new Map(),
      absentSince: new Map(),
      permits: new LoadPermits(clock),
      warming: new Set(),
      hasReadMachines: false,
      lastPlan: undefined,
      publisher: new ReplicaPublisher({
        zone: this.options.zone,
        fence: lease.fence,
        membership: this.options.membership,
        peers: this.options.peers,
        workers,
        blockedBy: (model) => this.tenure?.lastPlan?.blocked.get(model),
      }),
    };
    this.tenure = tenure;
    this.restoreRecords(tenure);
    this.emitEvent('coordinator_started', { fence: lease.fence, complete: lease.isComplete });
    tenure.tasks.loop(
      'placement.machines',
      () => this.timings.machineListIntervalMs,
      () => this.readMachines(tenure),
    );
    tenure.tasks.spawn('placement.plan', (signal) => this.planLoop(tenure, signal));
  }

  private endTenure(): void {
    const tenure = this.tenure;
    if (tenure === undefined) return;
    this.tenure = undefined;
    tenure.tasks.abort();
    this.emitEvent('coordinator_stopped', { fence: tenure.lease.fence });
  }

  /** Adds the workers in the replicated records; each may hold the models in its record until it is reached. */
  private restoreRecords(tenure: Tenure): void {
    for (const [key, value] of tenure.lease.values()) {
      if (!key.startsWith('worker/')) continue;
      const record = value as WorkerRecord;
      const worker = this.addWorker(tenure, key.slice('worker/'.length), record.origin);
      for (const holding of record.holdings) worker.intents.set(holding.model, holding);
      worker.hasUnknownOutcome = true;
    }
  }

  private addWorker(tenure: Tenure, id: string, origin: string): WorkerView {
    const worker = new WorkerView(id, origin, !tenure.lease.isComplete);
    tenure.workers.set(id, worker);
    const agent = new WorkerAgent({
      worker,
      lease: tenure.lease,
      engines: this.options.engines,
      clock: this.options.clock,
      counters: this.counters,
      idlePollMs: () => Math.max(this.timings.idlePollMs, tenure.workers.size * IDLE_POLL_SPACING_MS),
      busyPollMs: this.timings.busyPollMs,
      onChange: () => {
        this.handleWorkerChange(tenure);
      },
    });
    tenure.agents.set(id, agent);
    tenure.tasks.spawn(`placement.worker.${id}`, (signal) => agent.run(signal));
    return worker;
  }

  private async readMachines(tenure: Tenure): Promise<void> {
    const machines = await this.options.machines.list({ kind: 'worker', zone: this.options.zone });
    if (this.tenure !== tenure) return;
    for (const machine of machines) this.applyMachine(tenure, machine);
    this.removeAbsentWorkers(tenure, new Set(machines.map((machine) => machine.id)));
    tenure.hasReadMachines = true;
    this.wakeup.wake();
  }

  private applyMachine(tenure: Tenure, machine: Machine): void {
    const worker = tenure.workers.get(machine.id) ?? this.addWorker(tenure, machine.id, machine.address);
    tenure.absentSince.delete(machine.id);
    if (worker.machineState !== machine.state) {
      worker.machineState = machine.state;
      this.emitEvent('worker_state_changed', { worker: worker.id, state: machine.state });
      tenure.publisher.publishChanges();
    }
  }

  /** Marks unlisted workers as absent, and removes them with their records after `absentAfterMs`. */
  private removeAbsentWorkers(tenure: Tenure, listed: ReadonlySet<string>): void {
    const now = this.options.clock.monotonic();
    for (const worker of [...tenure.workers.values()]) {
      if (listed.has(worker.id)) continue;
      worker.machineState = 'absent';
      const since = tenure.absentSince.get(worker.id) ?? now;
      tenure.absentSince.set(worker.id, since);
      if (now - since < this.timings.absentAfterMs) continue;
      tenure.agents.get(worker.id)?.stop();
      tenure.agents.delete(worker.id);
      tenure.workers.delete(worker.id);
      tenure.absentSince.delete(worker.id);
      this.emitEvent('worker_gone', { worker: worker.id });
      void tenure.lease.write(new Map([[workerRecordKey(worker.id), null]])).catch(() => undefined);
    }
  }

  private handleWorkerChange(tenure: Tenure): void {
    if (this.tenure !== tenure) return;
    tenure.publisher.publishChanges();
    this.wakeup.wake();
  }

  private async planLoop(tenure: Tenure, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await this.planOnce(tenure);
      await this.wakeup.wait(clock, this.timings.planIntervalMs, signal);
      await sleep(clock, MIN_PLAN_PAUSE_MS, signal);
    }
  }

  private async planOnce(tenure: Tenure): Promise<void> {
    if (!tenure.lease.isValid || !tenure.hasReadMachines) return;
    await this.completeRecovery(tenure);
    const nowMs = this.options.clock.monotonic();
    const plan = planPlacement({
      zone: this.options.zone,
      nowMs,
      wallMs: this.options.clock.wall(),
      recovered: tenure.lease.isComplete,
      workers: [...tenure.workers.values()],
      models: this.options.catalog.modelsById(),
      demandsOf: (model) => this.activities.get(model)?.currentDemands(nowMs) ?? [],
      activityOf: (model) => this.activityOf(model),
      warming: this.updateWarmingModels(tenure),
    });
    tenure.lastPlan = plan;
    this.executePlan(tenure, plan);
    tenure.publisher.publishChanges();
  }

  /** Completes the recovery after a takeover once the holdings of every worker are known. */
  private async completeRecovery(tenure: Tenure): Promise<void> {
    if (tenure.lease.isComplete) return;
    for (const worker of tenure.workers.values()) {
      if (!worker.isReached || worker.hasUnknownHoldings) return;
    }
    const records = [...tenure.workers.values()].map(
      (worker) => [workerRecordKey(worker.id), worker.toRecord()] as const,
    );
    await tenure.lease.write(new Map(records));
    await tenure.lease.markComplete();
    this.emitEvent('coordinator_recovered', { workers: tenure.workers.size });
  }

  private executePlan(tenure: Tenure, plan: PlacementPlan): void {
    this.releasePermits(tenure);
    for (const action of plan.unloads) this.beginUnload(tenure, action);
    for (const action of plan.loads) this.beginLoad(tenure, action);
    for (const action of plan.warming) this.beginWarming(tenure, action);
    for (const { worker, model, adapter, memoryGib } of plan.adapters) {
      tenure.agents.get(worker.id)?.loadAdapter(model.id, adapter, memoryGib);
    }
  }

  /** Releases the permits of loads that have completed or failed. */
  private releasePermits(tenure: Tenure): void {
    tenure.permits.retainOnly((key) => {
      const [workerId = '', model = ''] = key.split(PERMIT_SEPARATOR);
      const worker = tenure.workers.get(workerId);
      return worker !== undefined && (worker.intents.has(model) || worker.loaded(model)?.state === 'loading');
    });
  }

  private beginUnload(tenure: Tenure, { model, worker, reason }: UnloadAction): void {
    if (worker.retiring.has(model)) return;
    worker.retiring.add(model);
    this.emitEvent('replica_unloading', { model, worker: worker.id, reason });
    tenure.agents.get(worker.id)?.unload(model);
  }

  private beginLoad(tenure: Tenure, { model, worker, estimate }: LoadAction): void {
    if (estimate.source === 'remote' && !this.tryAcquirePermit(tenure, worker.id, model.id)) return;
    this.emitEvent('replica_loading', { model: model.id, worker: worker.id, source: estimate.source });
    tenure.agents.get(worker.id)?.load(model, estimate);
  }

  private beginWarming(tenure: Tenure, { model, worker, estimate }: LoadAction): void {
    if (!this.tryAcquirePermit(tenure, worker.id, model.id)) return;
    this.emitEvent('checkpoint_warming', { model: model.id, worker: worker.id });
    tenure.warming.add(model.id);
    tenure.agents.get(worker.id)?.load(model, estimate);
  }

  /** Returns the models loaded only to cache their checkpoint; one with demand becomes an ordinary replica. */
  private updateWarmingModels(tenure: Tenure): ReadonlySet<string> {
    const now = this.options.clock.monotonic();
    for (const model of tenure.warming) {
      const isHeld = [...tenure.workers.values()].some((worker) => worker.mayHold(model));
      const isWanted = (this.activities.get(model)?.currentDemands(now) ?? []).some(
        (demand) => demand.arrivals > 0 || demand.waiting.length > 0,
      );
      if (!isHeld || isWanted) tenure.warming.delete(model);
    }
    return tenure.warming;
  }

  private tryAcquirePermit(tenure: Tenure, workerId: string, model: string): boolean {
    const store = this.options.catalog.deployment()?.weightStore;
    if (store === undefined) return true;
    const limits = permitLimitsOfZone(store, Math.max(1, this.options.catalog.zones().length));
    return tenure.permits.tryAcquire(`${workerId}${PERMIT_SEPARATOR}${model}`, limits);
  }

  private activityOf(model: string): ModelActivity {
    let activity = this.activities.get(model);
    if (activity === undefined) {
      activity = new ModelActivity(this.options.clock.monotonic());
      this.activities.set(model, activity);
    }
    return activity;
  }

  private handleDemandReport(request: ReportDemandRequest): ReportDemandResponse {
    const tenure = this.currentTenure();
    const now = this.options.clock.monotonic();
    let hasWaitingRequests = false;
    for (const demand of request.demands) {
      this.activityOf(demand.model).recordReport(request.owner, demand, now);
      for (const worker of demand.suspects) tenure.agents.get(worker)?.pollSoon();
      hasWaitingRequests ||= demand.waiting.length > 0;
    }
    if (hasWaitingRequests) this.wakeup.wake();
    return { models: request.demands.map((demand) => tenure.publisher.replicasOf(demand.model)) };
  }

  private currentTenure(): Tenure {
    const tenure = this.tenure;
    if (tenure === undefined || !tenure.lease.isValid) {
      throw new WoodbarrowError('not_leader', 'this daemon does not hold the coordinator lease of this zone');
    }
    return tenure;
  }

  private describe(): DescribePlacementResponse {
    const tenure = this.currentTenure();
    const workers = [...tenure.workers.values()];
    const models = [...this.options.catalog.modelsById().values()]
      .map((model) => {
        const entries = workers.flatMap((worker) => worker.loaded(model.id) ?? []);
        return {
          model: model.id,
          allotment: allotmentOf(model, this.options.zone),
          decided: tenure.lastPlan?.decided.get(model.id) ?? 0,
          loaded: entries.filter((entry) => entry.state === 'ready').length,
          loading: entries.filter((entry) => entry.state === 'loading').length,
        };
      })
      .filter((model) => model.allotment > 0 || model.loaded > 0);
    return {
      zone: this.options.zone,
      fence: tenure.lease.fence,
      recovered: tenure.lease.isComplete,
      models,
      workers: workers.map((worker) => ({
        workerId: worker.id,
        reached: worker.isReached,
        leaving: worker.machineState !== 'live',
        memoryGib: worker.inventory?.memoryGib ?? 0,
        committedGib: worker.committedGib,
        replicas: (worker.inventory?.models ?? []).map(({ model, state }) => ({ model, state })),
      })),
    };
  }

  private emitEvent(name: LogEventName, details: Readonly<Record<string, unknown>>): void {
    this.options.onEvent?.(name, { zone: this.options.zone, ...details });
  }
}
