/**
 * Adds replicas in one zone: evaluates the decision on replicas over the workers of all zones, and gives those for its
 * own zone to the load scheduler.
 */
import {
  isTargetOfModel,
  type BackEnd,
  type BackendDirectory,
  type EngineDefinition,
  type LoadTracker,
  type PaceView,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import type { EventLog } from '@woodbarrow/observability';
import type { LoadUnderWay } from '@woodbarrow/protocol';
import type { LoadQuarantine } from '@woodbarrow/quarantine';
import type { Clock } from '@woodbarrow/runtime';
import type { LoadScheduler } from './load-scheduler.js';
import { adapterReserveMb } from './placement-choice.js';
import type { ReplicaDecision, ReplicaReason, SpreadWorker, WantedReplica } from './replica-decision.js';
import { decideReplicas } from './replica-spread.js';
import { SpreadHistory } from './spread-history.js';
import type { WorkerOrders } from './worker-orders.js';

/** What a coordinator knows of the other zones. */
export interface OtherZones {
  /** Whether a zone has a coordinator. */
  readonly hasCoordinator: (zone: string) => boolean;
  /** Returns the loads in progress in the other zones, as last reported. */
  readonly loadsUnderWay: () => readonly LoadUnderWay[];
}

/** What is read of a worker of the zone. */
export type SpreadableWorker = Pick<WorkerOrders, 'backEndId' | 'isSynchronized' | 'isResponsive' | 'busyMs'>;

/** Options of {@link ReplicaSpreader}. */
export interface ReplicaSpreaderOptions {
  readonly zone: string;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly paces: PaceView;
  readonly quarantine: LoadQuarantine;
  readonly scheduler: Pick<LoadScheduler, 'quote' | 'wait' | 'loadsUnderWay'>;
  readonly otherZones: OtherZones;
  /** Returns the workers of the zone that accept requests. */
  readonly workersOf: (service: string) => readonly SpreadableWorker[];
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Additional replicas since the start. */
export interface ReplicaCounts {
  readonly decided: ReadonlyMap<ReplicaReason, number>;
  readonly loaded: number;
}

/** Returns the sum of the counts of several zones. */
export function addReplicaCounts(counts: readonly ReplicaCounts[]): ReplicaCounts {
  const decided = new Map<ReplicaReason, number>();
  let loaded = 0;
  for (const zone of counts) {
    loaded += zone.loaded;
    for (const [reason, count] of zone.decided) decided.set(reason, (decided.get(reason) ?? 0) + count);
  }
  return { decided, loaded };
}

/** Time within which a replica must be resident, in milliseconds; the demand may be another by then. */
const REPLICA_DEADLINE_MS = 4000;

const NO_REQUESTS: ReadonlyMap<string, number> = new Map();

/** Adds the replicas of one zone. */
export class ReplicaSpreader {
  private readonly histories = new Map<string, SpreadHistory>();
  private readonly decided = new Map<ReplicaReason, number>();
  private readonly unplaced = new Map<string, readonly WantedReplica[]>();
  private loaded = 0;

  constructor(private readonly options: ReplicaSpreaderOptions) {}

  get counts(): ReplicaCounts {
    return { decided: this.decided, loaded: this.loaded };
  }

  /** Returns the replicas of a service for which no worker had both a copy and room at the last evaluation. */
  unplacedOf(service: string): readonly WantedReplica[] {
    return this.unplaced.get(service) ?? [];
  }

  /** Decides on the replicas of a service and starts those in this zone. */
  spread({ name, engine }: ServiceDefinition): void {
    if (engine === undefined) return;
    const { scheduler, otherZones, loads, quarantine, clock, zone } = this.options;
    const loading = [...scheduler.loadsUnderWay(), ...otherZones.loadsUnderWay()];
    const { decisions, unplaced } = decideReplicas({
      workers: this.workersOf(name, engine, loading),
      loading,
      waiting: loads.waitingByModel(),
      demandFor: (model) => loads.demandFor(model),
      models: [...engine.models.values()],
      mayLoad: (model) => quarantine.verdictOf(name, { model }) === undefined,
      weightsMb: engine.weightsMb - adapterReserveMb(engine),
      history: this.historyOf(name),
      now: clock.monotonic(),
    });
    this.unplaced.set(name, unplaced);
    for (const decision of decisions) if (decision.zone === zone) this.add(name, decision);
  }

  /** Requests a load on exactly the chosen worker, unless it would come too late. */
  private add(service: string, { model, workerId, reason, load, capacity }: ReplicaDecision): void {
    const { scheduler, directory, log, zone } = this.options;
    // The scheduler places loads on workers of its own zone only; a longer list would slow each of its plans.
    const others = directory
      .ofService(service)
      .filter((backEnd) => backEnd.zone === zone && backEnd.id !== workerId);
    const limits = { without: others.map(({ id }) => id), mayUseStore: false };
    const wanted = { service, model, isAdditionalReplica: true };
    log.changed('replica_wanted', {
      zone,
      model,
      backEnd: workerId,
      load: Math.round(load),
      capacity: Math.round(capacity),
      reason,
    });
    this.decided.set(reason, (this.decided.get(reason) ?? 0) + 1);
    const { readyMs } = scheduler.quote(wanted, REPLICA_DEADLINE_MS, limits);
    // The scheduler would queue a load that is too late for the deadline but has recent demand.
    if (readyMs > REPLICA_DEADLINE_MS && Number.isFinite(readyMs)) return;
    const times = { targetMs: Math.min(readyMs, REPLICA_DEADLINE_MS), withinMs: REPLICA_DEADLINE_MS };
    void scheduler.wait(wanted, times, limits).then(({ kind }) => {
      if (kind === 'resident') this.loaded += 1;
    });
  }

  private workersOf(
    service: string,
    { models }: EngineDefinition,
    loading: readonly LoadUnderWay[],
  ): SpreadWorker[] {
    const { directory, otherZones, zone, paces, loads } = this.options;
    const requestsByTarget = loads.requestsByTarget();
    const held = new Map<string, string[]>();
    for (const model of models.keys()) {
      for (const { id } of directory.holdersOf(service, { model }))
        held.set(id, [...(held.get(id) ?? []), model]);
    }
    const loadingOn = new Set(loading.map(({ backEndId }) => backEndId));
    const own = new Map(this.options.workersOf(service).map((worker) => [worker.backEndId, worker]));
    const zones = new Set(directory.ofService(service).map((backEnd) => backEnd.zone));
    const coordinated = new Set([...zones].filter((other) => otherZones.hasCoordinator(other)));
    const canLoad = (backEnd: BackEnd): boolean => {
      if (loadingOn.has(backEnd.id)) return false;
      if (backEnd.zone !== zone) return coordinated.has(backEnd.zone);
      const worker = own.get(backEnd.id);
      return worker?.isSynchronized === true && worker.isResponsive && worker.busyMs <= 0;
    };
    return directory
      .ofService(service)
      .filter(({ draining }) => !draining)
      .map((backEnd) => {
        const { id, slots, nearby } = backEnd;
        const models = held.get(id) ?? [];
        const byTarget = requestsByTarget.get(id);
        return {
          id,
          zone: backEnd.zone,
          slots,
          pace: paces.paceOf(id),
          held: models,
          copies: new Set([...nearby.inMemory, ...nearby.onDisk]),
          canLoad: canLoad(backEnd),
          requests: [...(byTarget?.values() ?? [])].reduce((sum, requests) => sum + requests, 0),
          requestsByModel: byTarget === undefined ? NO_REQUESTS : requestsByModel(byTarget, models),
        };
      });
  }

  private historyOf(service: string): SpreadHistory {
    let history = this.histories.get(service);
    if (history === undefined) {
      history = new SpreadHistory();
      this.histories.set(service, history);
    }
    return history;
  }
}

/** Sums the requests for a model and its adapters. */
function requestsByModel(
  byTarget: ReadonlyMap<string, number>,
  models: readonly string[],
): ReadonlyMap<string, number> {
  const sums = new Map(models.map((model) => [model, 0]));
  for (const [target, requests] of byTarget) {
    for (const model of models)
      if (isTargetOfModel(target, model)) sums.set(model, (sums.get(model) ?? 0) + requests);
  }
  return sums;
}
