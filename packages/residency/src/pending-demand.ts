/** Demands that wait at a zone's coordinator until their model is resident or they expire. */
import type { Clock } from '@woodbarrow/runtime';

/** Result of a demand for a model. */
export type Placement = { readonly kind: 'resident'; readonly backEndId: string } | RefusedPlacement;

/** Refusal of a demand. */
export interface RefusedPlacement {
  readonly kind: 'refused';
  readonly reason: RefusedDemandReason;
  /** Retry delay in milliseconds. */
  readonly retryAfterMs: number;
}

/** Reason of a refusal. */
export type RefusedDemandReason =
  /** No worker has capacity. */
  | 'no_place'
  /** The model will be resident, but later than the demand can wait. */
  | 'loading'
  /** Another zone holds the model by now and should be asked. */
  | 'held_elsewhere'
  /** The demand has expired. */
  | 'not_in_time'
  /** The queue of the coordinator is full. */
  | 'queue_full'
  /** The load is quarantined because workers crashed under it. */
  | 'load_quarantined';

/** Reason why no worker of a zone can load a model. */
export type NoPlaceCause =
  /** No usable worker accepts orders now. */
  | 'no_worker'
  /** Demand for all resident models is too high to evict any. */
  | 'no_victim'
  /** No worker has a local copy, and the weight store may not be used. */
  | 'store_barred'
  /** Memory is occupied by loads and unloads in progress or of unknown outcome. */
  | 'no_memory';

/** A waiting demand. Times are monotonic, in milliseconds. */
export interface PendingDemand {
  readonly arrivedAt: number;
  /** Time until which an answer is in time; later answers are worth less. */
  readonly targetAt: number;
  /** Time at which the demand expires. */
  readonly deadline: number;
  /** Ids of workers that must not be used. */
  readonly without: readonly string[];
  /** Whether the weight store may be used. */
  readonly mayUseStore: boolean;
  /** Whether it has not been settled yet. */
  readonly isWaiting: () => boolean;
  /** Settles the demand; later calls have no effect. */
  readonly settle: (placement: Placement) => void;
}

/** Restrictions on the placement of a demand. */
export type DemandLimits = Pick<PendingDemand, 'without' | 'mayUseStore'>;

/** Time limits of a demand, in milliseconds. */
export interface DemandTimes {
  /** Within which an answer is in time. */
  readonly targetMs: number;
  /** Within which an answer is useful at all. */
  readonly withinMs: number;
}

/** Identifies what is requested: a model of a service, or one more replica of it. */
export interface WantedModel {
  readonly service: string;
  readonly model: string;
  /** Whether a replica is requested in addition to existing ones. */
  readonly isAdditionalReplica: boolean;
}

/** All waiting demands for the same model, served together by one load. */
export interface DemandGroup extends WantedModel {
  readonly key: string;
  readonly demands: readonly PendingDemand[];
}

/** A demand whose deadline has passed. */
export interface ExpiredDemand {
  readonly wanted: WantedModel;
  readonly demand: PendingDemand;
}

/** Maximum number of waiting demands of one coordinator. */
export const MAX_PENDING_DEMANDS = 2000;

/** Queue of demands, grouped by what they request. */
export class DemandQueue {
  private readonly groups = new Map<string, WantedModel & { key: string; demands: PendingDemand[] }>();
  private size = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of waiting demands. */
  get length(): number {
    return this.size;
  }

  /** Returns all groups in the order of their first demand. */
  all(): readonly DemandGroup[] {
    return [...this.groups.values()];
  }

  /** Returns the waiting demands of a group. */
  demandsOf(key: string): readonly PendingDemand[] {
    return this.groups.get(key)?.demands ?? [];
  }

  /** Adds a demand. @returns Whether the queue had capacity. */
  add(wanted: WantedModel, demand: PendingDemand): boolean {
    if (this.size >= MAX_PENDING_DEMANDS) return false;
    const key = groupKey(wanted);
    const group = this.groups.get(key);
    if (group === undefined) this.groups.set(key, { ...wanted, key, demands: [demand] });
    else group.demands.push(demand);
    this.size += 1;
    return true;
  }

  /** Removes a group and returns its demands. */
  take(key: string): readonly PendingDemand[] {
    const demands = this.groups.get(key)?.demands ?? [];
    this.groups.delete(key);
    this.size -= demands.length;
    return demands;
  }

  /** Removes and returns the expired demands. */
  takeExpired(): readonly ExpiredDemand[] {
    const now = this.clock.monotonic();
    const expired: ExpiredDemand[] = [];
    for (const group of this.groups.values()) {
      const late = group.demands.filter((demand) => demand.deadline <= now);
      if (late.length === 0) continue;
      group.demands = group.demands.filter((demand) => demand.deadline > now);
      this.size -= late.length;
      if (group.demands.length === 0) this.groups.delete(group.key);
      for (const demand of late) expired.push({ wanted: group, demand });
    }
    return expired;
  }
}

/** Returns the key of a group. */
export function groupKey({ service, model, isAdditionalReplica }: WantedModel): string {
  return `${service} ${model}${isAdditionalReplica ? ' another' : ''}`;
}
