/** Messages by which daemons request units of a shared limit from the quota allocators of the zones. */
import type { RateLimitReport } from './backend-messages.js';
import { definePeerMethod } from './method.js';

/** A request to a quota allocator for units of a limit. */
export interface GrantRequest {
  /** Units still missing for the first waiting request. */
  readonly needed: number;
  /** Units still missing for all waiting requests. */
  readonly queued: number;
  /** Further units that are expected to be used soon. */
  readonly ahead: number;
  /** Whether fewer units than `needed` are acceptable because other allocators can supply the rest. */
  readonly mayBePart: boolean;
  /** Whether this is the last allocator asked; if so, its response sets the time of the next retry. */
  readonly isLast: boolean;
}

/** Response of a quota allocator. */
export interface GrantAnswer {
  /** Units granted. */
  readonly granted: number;
  /** Milliseconds for which the granted units are valid, counted from when they were requested. */
  readonly lifetimeMs: number;
  /** Units available but not granted. */
  readonly left: number;
  /** Milliseconds until the missing units become available; set by the last allocator asked. */
  readonly retryAfterMs: number;
}

/** A request for units of a tenant's quota. */
export interface QuotaGrantMessage extends GrantRequest {
  /** Zone whose allocator is asked. */
  readonly zone: string;
  readonly tenant: string;
}

export const quotaGrantMethod = definePeerMethod<QuotaGrantMessage, GrantAnswer>('quota.grant');

/** A request for permission to send requests to a back end with a rate limit. */
export interface RateLimitGrantMessage extends GrantRequest {
  /** Zone of the back end, whose allocator is asked. */
  readonly zone: string;
  readonly backEndId: string;
  /** The limit as observed by the caller. */
  readonly report: RateLimitReport;
}

/** Number of requests that may be sent, with the limit as observed by the allocator. */
export interface RateLimitGrantAnswer extends GrantAnswer {
  readonly report: RateLimitReport;
}

export const rateLimitGrantMethod = definePeerMethod<RateLimitGrantMessage, RateLimitGrantAnswer>(
  'rate_limit.grant',
);
