/** Port: requests to load a model or adapter on a worker. */
import type { ModelTarget } from '@woodbarrow/backends';

/** Demand for a target on any usable worker. */
export interface ResidencyDemand {
  readonly service: string;
  readonly target: ModelTarget;
  /** Workers that cannot be used for it. */
  readonly without: readonly string[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Milliseconds within which it must be resident to meet the target latency. */
  readonly targetMs: number;
  /** Milliseconds after which it no longer helps. */
  readonly withinMs: number;
}

/** Result of a demand. */
export type ResidencyOutcome =
  | { readonly held: true; readonly backEndId: string }
  | { readonly held: false; readonly retryAfterMs: number; readonly reason: string };

/** Requests loads of models and adapters. */
export interface ResidencyClient {
  /** Resolves when the target is resident somewhere, or when it will not be in time. Never rejects. */
  request(demand: ResidencyDemand, signal: AbortSignal): Promise<ResidencyOutcome>;
  /** Reports that the replicas of a model are overloaded; returns at once. */
  requestReplica(service: string, model: string, priority: number): void;
}
