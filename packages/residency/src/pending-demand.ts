/** Requests for models that wait at a zone's coordinator until their model is resident, or can no longer be in time. */
import type { Clock } from '@woodbarrow/runtime';

/** What became of a demand for a model. */
export type Placement = { readonly kind: 'resident'; readonly backEndId: string } | RefusedPlacement;

/** A demand that is turned down. */
export interface RefusedPlacement {
  readonly kind: 'refused';
  readonly reason: RefusedDemandReason;
  /** Milliseconds after which asking again is of use. */
  readonly retryAfterMs: number;
}

/** Why a demand is turned down. */
export type RefusedDemandReason =
  /** No worker can make room at all. */
  | 'no_place'
  /** The model will be resident, but later than the demand can wait. */
  | 'loading'
  /** Another zone has it by now: it is to be asked. */
  | 'held_elsewhere'
  /** The demand's time has passed. */
  | 'not_in_time'
  /** More demands wait than the coordinator keeps. */
  | 'queue_full'
  /** Its load has proved to end the workers that begin it. */
  | 'load_quarantined';

/** Why no worker of a zone can make room for a model. */
export type NoPlaceCause =
  /** No worker that may be used takes orders now. */
  | 'no_worker'
  /** All that is resident is asked for too much to make way. */
  | 'no_victim'
  /** No worker has a copy, and the weight store may not be used. */
  | 'store_barred'
  /** Loads and unloads under way, or of unknown outcome, hold the memory. */
  | 'no_memory';

/** One demand that waits. Times are monotonic, in milliseconds. */
export interface PendingDemand {
  readonly arrivedAt: number;
  /** Answers that begin later earn less. */
  readonly targetAt: number;
  /** It is of no use afterwards. */
  readonly deadline: number;
  /** Workers that cannot be used for it. */
  readonly without: readonly string[];
  /** Whether the weight store may be used for it. */
  readonly mayUseStore: boolean;
  /** Whether it has not been settled. */
  readonly isWaiting: () => boolean;
  /** Ends the wait; later calls do nothing. */
  readonly settle: (placement: Placement) => void;
}

/** What may be used for a demand. */
export type DemandLimits = Pick<PendingDemand, 'without' | 'mayUseStore'>;

/** Milliseconds that a demand has. */
export interface DemandTimes {
  /** Within which an answer is in time. */
  readonly targetMs: number;
  /** Within which it is of any use. */
  readonly withinMs: number;
}

/** What is wanted: a model of a service, on any worker of the zone or on one more. */
export interface WantedModel {
  readonly service: string;
  readonly model: string;
  /** Wants one more replica beside those there are. */
  readonly isAdditionalReplica: boolean;
}

/** All demands that wait for the same. One load serves them together. */
export interface DemandGroup extends WantedModel {
  readonly key: string;
  readonly demands: readonly PendingDemand[];
}

/** A demand whose time has passed. */
export interface ExpiredDemand {
  readonly wanted: WantedModel;
  readonly demand: PendingDemand;
}

/** Demands that one coordinator keeps at most. */
export const MAX_PENDING_DEMANDS = 2000;

/** Demands that wait, by what they want. */
export class DemandQueue {
  private readonly groups = new Map<string, WantedModel & { key: string; demands: PendingDemand[] }>();
  private size = 0;

  constructor(private readonly clock: Clock) {}

  /** Demands that wait. */
  get length(): number {
    return this.size;
  }

  /** What is wanted now, in the order in which it was first asked for. */
  all(): readonly DemandGroup[] {
    return [...this.groups.values()];
  }

  /** Demands of a group that wait. */
  demandsOf(key: string): readonly PendingDemand[] {
    return this.groups.get(key)?.demands ?? [];
  }

  /** Adds a demand. @returns Whether there was room. */
  add(wanted: WantedModel, demand: PendingDemand): boolean {
    if (this.size >= MAX_PENDING_DEMANDS) return false;
    const key = groupKey(wanted);
    const group = this.groups.get(key);
    if (group === undefined) this.groups.set(key, { ...wanted, key, demands: [demand] });
    else group.demands.push(demand);
    this.size += 1;
    return true;
  }

  /** Takes all demands of a group out. */
  take(key: string): readonly PendingDemand[] {
    const demands = this.groups.get(key)?.demands ?? [];
    this.groups.delete(key);
    this.size -= demands.length;
    return demands;
  }

  /** Takes out the demands whose time has passed. */
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

/** Key of what is wanted. */
export function groupKey({ service, model, isAdditionalReplica }: WantedModel): string {
  return `${service} ${model}${isAdditionalReplica ? ' another' : ''}`;
}
