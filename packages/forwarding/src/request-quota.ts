/** Port: enforcement of tenant quotas over all daemons. */
import type { TenantQuota } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** Permission to run one request once. */
export interface QuotaTicket {
  /** Whether the ticket has not expired. Check right before the request is sent. */
  isValid(): boolean;
  /** Returns the units of a request that did not run. */
  refund(): void;
}

/** Result of acquiring units. */
export type QuotaOutcome =
  | { readonly kind: 'granted'; readonly ticket: QuotaTicket }
  /** The tenant has used up its quota. */
  | { readonly kind: 'over_limit'; readonly retryAfterMs: number }
  /** The quota allocator does not respond, so usage is unknown. */
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number };

/** Enforces the quotas of tenants. */
export interface RequestQuota {
  /**
   * Acquires the units of one request.
   *
   * @param withinMs Maximum useful wait for the quota allocator, in milliseconds.
   */
  acquire(
    tenant: string,
    quota: TenantQuota,
    units: number,
    withinMs: number,
    signal: AbortSignal,
  ): Promise<QuotaOutcome>;
}

/** Returns the units of a request: 1, its prompt and output tokens, or `plainTokens` if it states no token counts. */
export function unitsOf({ unit, plainTokens }: TenantQuota, facts: RequestFacts): number {
  if (unit === 'requests') return 1;
  return facts.hasTokenCounts ? facts.promptTokens + facts.outputTokens : plainTokens;
}
