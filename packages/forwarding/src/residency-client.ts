/** Port: how the router asks for a model or adapter to be made resident. */
import type { ModelTarget } from '@woodbarrow/backends';

/** A demand for a target, on any worker. */
export interface ResidencyDemand {
  readonly service: string;
  readonly target: ModelTarget;
  /** Workers that cannot be used for it. */
  readonly without: readonly string[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Milliseconds within which it must be resident for an answer in time. */
  readonly targetMs: number;
  /** Milliseconds after which it no longer helps. */
  readonly withinMs: number;
}

/** What became of a demand. */
export type ResidencyOutcome =
  | { readonly held: true; readonly backEndId: string }
  | { readonly held: false; readonly retryAfterMs: number; readonly reason: string };

/** Makes targets resident. */
export interface ResidencyClient {
  /** Resolves when the target is resident somewhere, or when it will not be in time. Never rejects. */
  request(demand: ResidencyDemand, signal: AbortSignal): Promise<ResidencyOutcome>;
  /** Says that the replicas of a model have more work than they bear; returns at once. */
  requestReplica(service: string, model: string, priority: number): void;
}
