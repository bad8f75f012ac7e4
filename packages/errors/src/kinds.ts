/**
 * The closed list of error kinds and the HTTP response of each.
 *
 * Every failure that a daemon reports to a caller, an operator or a peer is one of these kinds.
 */

/** Whether the request ran on an engine: `maybe` when the daemon cannot determine it. */
export type RanState = 'no' | 'maybe' | 'yes';

/** HTTP status and retry advice that a caller receives for one error kind. */
export interface ErrorResponseSpec {
  readonly status: number;
  readonly ran: RanState;
  /** Whether sending the same request again is safe and may succeed. */
  readonly retryable: boolean;
  /** Delay before a retry in seconds, sent as `Retry-After`; absent when waiting does not help. */
  readonly retryAfterSeconds?: number;
}

/** Maps each error kind to its response. */
export const ERROR_RESPONSES = {
  bad_request: { status: 400, ran: 'no', retryable: false },
  body_too_large: { status: 413, ran: 'no', retryable: false },
  body_too_deep: { status: 400, ran: 'no', retryable: false },
  unsupported_content_type: { status: 415, ran: 'no', retryable: false },
  limit_exceeded: { status: 400, ran: 'no', retryable: false },
  unauthenticated: { status: 401, ran: 'no', retryable: false },
  forbidden: { status: 403, ran: 'no', retryable: false },
  not_found: { status: 404, ran: 'no', retryable: false },
  model_not_found: { status: 404, ran: 'no', retryable: false },
  method_not_allowed: { status: 405, ran: 'no', retryable: false },
  revision_conflict: { status: 409, ran: 'no', retryable: false },
  already_running: { status: 409, ran: 'maybe', retryable: false },
  key_reused: { status: 422, ran: 'no', retryable: false },
  tenant_over_limit: { status: 429, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  queue_full: { status: 429, ran: 'no', retryable: true, retryAfterSeconds: 2 },
  wait_expired: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 5 },
  shed: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 10 },
  not_ready: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 2 },
  stopping: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  platform_unavailable: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 10 },
  write_outcome_unknown: { status: 504, ran: 'maybe', retryable: false },
  /** The request's content crashed the processes that ran it; a retry within a client's deadline does not help. */
  request_quarantined: { status: 503, ran: 'no', retryable: false, retryAfterSeconds: 3600 },
  /** A stream that only another software version, or an unknown one, could go on with. */
  stream_not_resumable: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  no_replica: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  backend_broken: { status: 502, ran: 'maybe', retryable: false },
  request_timeout: { status: 504, ran: 'maybe', retryable: false },
  engine_refused: { status: 502, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  outcome_unknown: { status: 504, ran: 'maybe', retryable: false },
  stream_interrupted: { status: 502, ran: 'yes', retryable: false },
  caller_gone: { status: 499, ran: 'maybe', retryable: false },
  peer_unreachable: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  peer_timeout: { status: 504, ran: 'maybe', retryable: false },
  not_leader: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  lease_lost: { status: 503, ran: 'no', retryable: true, retryAfterSeconds: 1 },
  fence_too_low: { status: 409, ran: 'no', retryable: false },
  settings_invalid: { status: 400, ran: 'no', retryable: false },
  internal: { status: 500, ran: 'maybe', retryable: false },
} as const satisfies Record<string, ErrorResponseSpec>;

export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** All error kinds, in the order of {@link ERROR_RESPONSES}. */
export const ERROR_KINDS = Object.keys(ERROR_RESPONSES) as ErrorKind[];

/** Returns the status and retry advice of an error kind. */
export function errorResponseSpec(kind: ErrorKind): ErrorResponseSpec {
  return ERROR_RESPONSES[kind];
}
