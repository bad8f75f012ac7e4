/** Settings of the serving daemon. */
import type { OvershootAllowance } from '@woodbarrow/quota';
import type { StoreWindowOptions } from '@woodbarrow/residency';

/** Address (`ip:port`) and path of the metrics endpoint. */
export interface MetricsEndpoint {
  readonly address: string;
  readonly path: string;
}

/** Limits on repeating requests at another back end, over all daemons. */
export interface RepeatSettings {
  /** Maximum ratio of repeats to requests. */
  readonly ratio: number;
  /** Repeats allowed per window independent of the load. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Settings of one daemon. Addresses are `ip:port`, times milliseconds. */
export interface ServingSettings {
  /** Unique among daemons and the same after a restart. */
  readonly name: string;
  readonly zone: string;
  /** All zones of the deployment, this one included. */
  readonly zones: readonly string[];
  readonly region: string;
  /** Capacity of the machine, in hundredths of a core. */
  readonly capacity: number;
  /** Memory of the machine in MB. */
  readonly memoryMb: number;
  readonly ingressAddress: string;
  readonly readinessAddress: string;
  readonly peerAddress: string;
  readonly metrics?: MetricsEndpoint;
  readonly repeats: RepeatSettings;
  readonly quotaAllowance: OvershootAllowance;
  /**
   * Whether callers compete for capacity; the units of a tenant at its limit then go to the more urgent requests first, and the
   * memory that unread answers take is bounded.
   */
  readonly hasContendedCapacity: boolean;
  /** Allowance beyond the rate limit that a back end reports. */
  readonly rateLimitAllowance: OvershootAllowance;
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Minimum time between orders of successive coordinators of a zone. */
  readonly handoverPauseMs: number;
  readonly storeWindow: StoreWindowOptions;
  /** Maximum time from the request to stop until the process exits. */
  readonly stopGraceMs: number;
}
