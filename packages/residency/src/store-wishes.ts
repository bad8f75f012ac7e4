/**
 * Lists the loads that a zone wants from the weight store for services with slow loads: of models that are asked for, of models
 * whose holders are overloaded, and ahead of demand of models that exist on no worker.
 */
import {
  DEMAND_HALF_LIFE_MS,
  type BackEnd,
  type BackendDirectory,
  type EngineDefinition,
  type LoadTracker,
  type ModelDefinition,
} from '@woodbarrow/backends';
import type { StoreWish, StoreWishKind } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { groupKey, type DemandGroup, type PendingDemand } from './pending-demand.js';
import type { PlacementChoice } from './placement-choice.js';

/** Options of {@link StoreWishes}. */
export interface StoreWishesOptions {
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly clock: Clock;
}

/** The state of one service from which its wishes are made. */
export interface WishInputs {
  readonly service: string;
  readonly engine: EngineDefinition;
  /** Groups of demands that wait in the zone. */
  readonly groups: readonly DemandGroup[];
  /** Whether a load of the group may be ordered in this zone. */
  readonly mayBegin: (group: DemandGroup) => boolean;
  /** Chooses the worker for a group as if the store were free; undefined when none has capacity. */
  readonly place: (group: DemandGroup, kind: StoreWishKind) => PlacementChoice | undefined;
  /** Milliseconds until the zone may start another load by its rate limit. */
  readonly windowWaitMs: number;
}

/** A model that a zone may wish for. */
interface Candidate {
  readonly model: ModelDefinition;
  readonly kind: StoreWishKind;
  readonly requestsPerS: number;
}

/** Share of the slots of a model's holders from which they count as overloaded: demand may double during a load. */
const OVERLOAD_SHARE = 0.5;
/** Recent requests from which a model without a holder counts as asked for; see `isInTime` for the rate. */
const MIN_DEMAND = 0.3;
/** Maximum number of wishes ahead of demand per zone and service; more than a link loads before traffic begins. */
const MAX_AHEAD_WISHES = 16;

/** Makes the wishes of one zone. */
export class StoreWishes {
  constructor(private readonly options: StoreWishesOptions) {}

  /** Returns the wishes for a service. */
  of(inputs: WishInputs): StoreWish[] {
    const { service, groups } = inputs;
    const waiting = new Map(groups.map((group) => [group.model, group]));
    const candidates = new Map<string, Candidate>();
    for (const candidate of this.candidates(inputs)) candidates.set(candidate.model.name, candidate);
    for (const { model, isAdditionalReplica } of groups) {
      const definition = inputs.engine.models.get(model);
      if (definition === undefined) continue;
      const kind = isAdditionalReplica ? 'replica' : 'first';
      candidates.set(model, { model: definition, kind, requestsPerS: this.requestsPerS(model) });
    }
    return [...candidates.values()].flatMap((candidate) => {
      const { model, kind } = candidate;
      const group = this.groupOf(service, model.name, kind, waiting.get(model.name)?.demands);
      return this.wishFor(group, candidate, inputs);
    });
  }

  /** Returns a group with one more demand that may use the store, for a load that no waiting request has caused. */
  groupOf(
    service: string,
    model: string,
    kind: StoreWishKind,
    demands: readonly PendingDemand[] = [],
  ): DemandGroup {
    const wanted = { service, model, isAdditionalReplica: kind === 'replica' };
    return { ...wanted, key: groupKey(wanted), demands: demands.length > 0 ? demands : [this.ownDemand()] };
  }

  private ownDemand(): PendingDemand {
    const now = this.options.clock.monotonic();
    return {
      arrivedAt: now,
      targetAt: now,
      deadline: now,
      without: [],
      mayUseStore: true,
      isWaiting: () => false,
      settle: () => undefined,
    };
  }

  private wishFor(
    group: DemandGroup,
    { model, kind, requestsPerS }: Candidate,
    inputs: WishInputs,
  ): StoreWish[] {
    if (!group.demands.some(({ mayUseStore }) => mayUseStore) || !inputs.mayBegin(group)) return [];
    const choice = inputs.place(group, kind);
    if (choice?.source !== 'store') return [];
    const now = this.options.clock.monotonic();
    const open = group.demands.filter(({ deadline }) => deadline > now);
    return [
      {
        service: group.service,
        model: model.name,
        kind,
        waiting: open.length,
        waitingForMs: Math.round(Math.max(0, ...open.map(({ deadline }) => deadline - now))),
        requestsPerS,
        loadMs: Math.round(choice.loadMs),
        worker: choice.candidate.backEnd.id,
        costMs: Math.round(choice.unloadMs + choice.loadMs),
        startableInMs: Math.round(Math.max(choice.candidate.busyMs, choice.notBeforeMs, inputs.windowWaitMs)),
      },
    ];
  }

  /** Returns the models that need the store by the state of the workers, whether or not demands wait for them. */
  private candidates({ service, engine }: WishInputs): Candidate[] {
    const workers = this.options.directory.ofService(service).filter(({ draining }) => !draining);
    // Before the first records of workers are read, all models seem to be missing.
    if (workers.length === 0) return [];
    const copies = new Map<string, Set<string>>();
    for (const worker of workers) {
      for (const name of [...worker.nearby.onDisk, ...worker.nearby.inMemory])
        copies.set(name, (copies.get(name) ?? new Set()).add(worker.id));
    }
    const found: Candidate[] = [];
    let ahead = 0;
    for (const model of engine.models.values()) {
      const candidate = this.candidate(service, engine, model, copies.get(model.name));
      if (candidate === undefined) continue;
      if (candidate.kind === 'ahead') ahead += 1;
      if (candidate.kind !== 'ahead' || ahead <= MAX_AHEAD_WISHES) found.push(candidate);
    }
    return found;
  }

  private candidate(
    service: string,
    { slots }: EngineDefinition,
    model: ModelDefinition,
    copiesOn: ReadonlySet<string> = new Set(),
  ): Candidate | undefined {
    const { directory, loads } = this.options;
    const demand = loads.demandFor(model.name);
    const requestsPerS = this.requestsPerS(model.name);
    // Most models have copies and little demand; their holders need not be looked up.
    if (copiesOn.size > 0 && demand < 1) return undefined;
    const holders = directory.holdersOf(service, { model: model.name });
    if (holders.length === 0) {
      if (copiesOn.size > 0) return undefined;
      return { model, kind: demand >= MIN_DEMAND ? 'first' : 'ahead', requestsPerS };
    }
    if ([...copiesOn].some((id) => !holders.some((holder) => holder.id === id))) return undefined;
    const share = this.excessShare(holders, model.name, slots);
    return share <= 0 ? undefined : { model, kind: 'replica', requestsPerS: requestsPerS * share };
  }

  /** Returns the share of a model's requests in progress beyond what its holders should run. */
  private excessShare(holders: readonly BackEnd[], model: string, slots: number): number {
    const { loads } = this.options;
    const running = holders.reduce((sum, { id }) => sum + loads.requestsFor(id, model), 0);
    return running === 0 ? 0 : 1 - (slots * holders.length * OVERLOAD_SHARE) / running;
  }

  /** Converts the decayed number of recent requests to a rate. */
  private requestsPerS(model: string): number {
    return (this.options.loads.demandFor(model) * Math.LN2 * 1000) / DEMAND_HALF_LIFE_MS;
  }
}
