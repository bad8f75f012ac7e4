/** What the decision on replicas reads and returns. */
import type { ModelDefinition } from '@woodbarrow/backends';
import type { SpreadHistory } from './spread-history.js';

/** A worker that accepts requests, as its service's coordinators see it. */
export interface SpreadWorker {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Duration of work relative to the usual. */
  readonly pace: number;
  /** Models that it holds. */
  readonly held: readonly string[];
  /** Models of which it has a copy in host memory or on disk. */
  readonly copies: ReadonlySet<string>;
  /** Whether it could start a load: no load is in progress on it, and its zone has a coordinator. */
  readonly canLoad: boolean;
  /** Requests in progress over all daemons. */
  readonly requests: number;
  readonly requestsByModel: ReadonlyMap<string, number>;
}

/** A load in progress in any zone. */
export interface SpreadLoad {
  readonly model: string;
  /** Expected milliseconds until the model is resident. */
  readonly readyInMs: number;
}

/** Inputs of `decideReplicas`. */
export interface SpreadInputs {
  /** Workers of the service in all zones, without draining ones. */
  readonly workers: readonly SpreadWorker[];
  readonly loading: readonly SpreadLoad[];
  /** Requests that wait at the daemons for room on a worker, by model. */
  readonly waiting: ReadonlyMap<string, number>;
  /** Returns the recent demand for a model: the decayed number of its requests. */
  readonly demandFor: (model: string) => number;
  readonly models: readonly ModelDefinition[];
  /** Whether a model may be loaded at all; false under quarantine. */
  readonly mayLoad: (model: string) => boolean;
  /** Memory of a worker for the weights of models, in MB. */
  readonly weightsMb: number;
  readonly history: SpreadHistory;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
}

/** Why a model gets another replica. */
export type ReplicaReason =
  /** Its projected load exceeds the allowed share of its capacity. */
  | 'load'
  /** The requests of other models leave its holders no free slot. */
  | 'capacity'
  /** All its holders are slow and shared with busy models, so that its streams pause. */
  | 'pauses';

/** A replica to add. */
export interface ReplicaDecision {
  readonly model: string;
  readonly workerId: string;
  readonly zone: string;
  readonly reason: ReplicaReason;
  /** Projected load, in requests. */
  readonly load: number;
  /** Requests that the holders can run beside those of other models. */
  readonly capacity: number;
  /** Models expected to be evicted; the zone's planner has the last word. */
  readonly victims: readonly string[];
}

/** A replica that is wanted, before a worker is chosen. */
export type WantedReplica = Pick<ReplicaDecision, 'model' | 'reason' | 'load' | 'capacity'>;

/** Result of `decideReplicas`. */
export interface SpreadResult {
  /** Replicas to add now in all zones, best first. */
  readonly decisions: readonly ReplicaDecision[];
  /** Replicas for which no worker has both a copy and room. */
  readonly unplaced: readonly WantedReplica[];
}
