/** Messages by which daemons ask the granters of zones for units of a limit that holds over all daemons. */
import type { RateLimitReport } from './backend-messages.js';
import { definePeerMethod } from './method.js';

/** What a granter is asked for. */
export interface GrantWish {
  /** Units that the first waiting request lacks. */
  readonly needed: number;
  /** Units that all waiting requests lack. */
  readonly queued: number;
  /** Units that are expected to be used soon beside these. */
  readonly ahead: number;
  /** Whether less than the first request needs is of use: the rest comes from other granters. */
  readonly mayBePart: boolean;
  /** No other granter is asked after this one: its answer says when to come back. */
  readonly isLast: boolean;
}

/** Units handed out. */
export interface GrantAnswer {
  readonly granted: number;
  /** Milliseconds for which they may be used, from when they were asked for. */
  readonly lifetimeMs: number;
  /** Units that were there and were not handed out. */
  readonly left: number;
  /** Milliseconds until what was lacking will be there; told by the last granter that is asked. */
  readonly retryAfterMs: number;
}

/** A wish for units of a tenant's limit. */
export interface QuotaGrantMessage extends GrantWish {
  /** Zone whose granter is asked. */
  readonly zone: string;
  readonly tenant: string;
}

export const quotaGrantMethod = definePeerMethod<QuotaGrantMessage, GrantAnswer>('quota.grant');

/** A wish to send requests to a back end that limits its rate. */
export interface RateLimitGrantMessage extends GrantWish {
  /** Zone of the back end, whose granter is asked. */
  readonly zone: string;
  readonly backEndId: string;
  /** What the asker knows of the limit. */
  readonly report: RateLimitReport;
}

/** Requests that may be sent, and what the granter knows of the limit. */
export interface RateLimitGrantAnswer extends GrantAnswer {
  readonly report: RateLimitReport;
}

export const rateLimitGrantMethod = definePeerMethod<RateLimitGrantMessage, RateLimitGrantAnswer>(
  'rate_limit.grant',
);
