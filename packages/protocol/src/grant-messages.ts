/** Messages by which daemons request units of a shared limit from the quota allocators of the zones. */
import type { RateLimitReport } from './backend-messages.js';
import { definePeerMethod } from './method.js';

/** How long a request can wait for units, and how the allocator recognizes it in further calls. */
export interface GrantClaim {
  /** Identifies the waiting request among those of all daemons. */
  readonly id: string;
  /** Time for which waiting for the units is of use, in milliseconds. */
  readonly usefulWaitMs: number;
  /** Whether the daemon asks the other allocators before it decides where to wait. */
  readonly isProbe: boolean;
  /** Units of requests that the daemon has refused without a call since its last call. */
  readonly refusedUnits: number;
}

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
  /** Priority of the waiting request, 0 to 9; 0 is the most urgent. Absent counts as the least urgent. */
  readonly priority?: number;
  /** Absent if the daemon does not wait for units that are set aside for it. */
  readonly claim?: GrantClaim;
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
  /** Whether units are being set aside for the claim; the daemon asks again after `retryAfterMs`. */
  readonly isWaiting?: boolean;
  /** Milliseconds until the allocator would have the units of this request, after those that wait. */
  readonly dueMs?: number;
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

/** Requests that a daemon counted within a short span. */
export interface RequestCountEntry {
  /** Milliseconds since the start of the span. */
  readonly agoMs: number;
  /** Requests that may have been sent from this span on. */
  readonly sent: number;
  /** Requests that were read in it. */
  readonly read: number;
}

/** A request for retries of a service. */
export interface RetryGrantMessage extends GrantRequest {
  /** Zone whose allocator is asked. */
  readonly zone: string;
  readonly service: string;
  /** Requests of the daemon that the allocator counts from now on, as they are too few to earn a retry there. @default none */
  readonly requests?: readonly RequestCountEntry[];
}

/** Number of retries granted. */
export interface RetryGrantAnswer extends GrantAnswer {
  /** Milliseconds until the allocator grants retries; until then those of its predecessor may still count. 0 if it grants now. */
  readonly startsInMs: number;
}

export const retryGrantMethod = definePeerMethod<RetryGrantMessage, RetryGrantAnswer>('retries.grant');

/** Retries that were used of the fixed allowance of a service. */
export interface UsedRetries {
  readonly service: string;
  readonly retries: number;
}

/** Tells the allocator of a zone what the first daemon of the deployment has used of the zone's part, and that it uses no more. */
export interface FirstMemberRetriesMessage {
  readonly zone: string;
  readonly used: readonly UsedRetries[];
}

export const firstMemberRetriesMethod = definePeerMethod<FirstMemberRetriesMessage, object>(
  'retries.first_member',
);
