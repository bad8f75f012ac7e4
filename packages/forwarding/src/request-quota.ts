/** Port: enforcement of tenant quotas over all daemons. */
import type { TenantQuota } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** Permission to run one request once. */
export interface QuotaTicket {
  /** Whether the ticket has not expired. Check right before the request is sent. */
  isValid(): boolean;
  /** Returns the units of a request that did not run. */
  refund(): void;
  /** Elapsed time in milliseconds at which it expires. @default never */
  readonly expiresAt?: number;
}

/** How urgently a request needs its units. */
export interface QuotaUrgency {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time for which waiting for a refill is of use, in milliseconds. */
  readonly usefulWaitMs: number;
}

/** Why units were not available, as far as the daemon knows. */
export interface QuotaShortage {
  readonly limitPerSecond: number;
  readonly units: number;
  /** Units that nobody claims at the allocators that responded, in total. */
  readonly unitsLeft: number;
  /** Allocators that responded, of those called. */
  readonly allocatorsAnswered: number;
  readonly allocators: number;
}

/** Result of acquiring units. */
export type QuotaOutcome =
  | { readonly kind: 'granted'; readonly ticket: QuotaTicket }
  /** The tenant has used up its quota. */
  | { readonly kind: 'over_limit'; readonly retryAfterMs: number; readonly shortage?: QuotaShortage }
  /** The quota allocator does not respond, so usage is unknown. */
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number; readonly shortage?: QuotaShortage };

/** Enforces the quotas of tenants. */
export interface RequestQuota {
  /**
   * Acquires the units of one request.
   *
   * @param withinMs Maximum useful wait for the quota allocator, in milliseconds.
   * @param urgency Absent counts as the least urgent. Used only if units are divided among priorities.
   */
  acquire(
    tenant: string,
    quota: TenantQuota,
    units: number,
    withinMs: number,
    signal: AbortSignal,
    urgency?: QuotaUrgency,
  ): Promise<QuotaOutcome>;
}

/** Returns the units of a request: 1, its prompt and output tokens, or `plainTokens` if it states no token counts. */
export function unitsOf({ unit, plainTokens }: TenantQuota, facts: RequestFacts): number {
  if (unit === 'requests') return 1;
  return facts.hasTokenCounts ? facts.promptTokens + facts.outputTokens : plainTokens;
}
