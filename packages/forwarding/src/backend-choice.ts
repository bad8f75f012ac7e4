/** Result of choosing a back end. */
import type { BackEnd } from '@woodbarrow/backends';
import type { DispatchPlace } from './worker-places.js';

/** A back end to send to. */
export interface SendChoice {
  readonly kind: 'send';
  readonly backEnd: BackEnd;
  readonly reason: string;
  /** Place reserved on the back end until the request is in progress there. */
  readonly place?: DispatchPlace;
  /** Time for which the request waited for the place, in milliseconds. */
  readonly queuedMs?: number;
}

/** A back end to send to, or why there is none. */
export type BackendChoice =
  | SendChoice
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      /** With `connections_exhausted`, back ends that only lack a connection. */
      readonly backEndIds?: readonly string[];
    };

/** Why a request is refused without having run. */
export type RefusalReason =
  | 'no_backend'
  /** Neither this daemon nor one that could relay reaches any back end. */
  | 'back_ends_unreachable'
  | 'all_excluded'
  | 'model_unavailable'
  | 'model_too_late'
  /** No back end is left that runs the software version that began the stream. */
  | 'software_version_gone'
  | 'client_gone'
  /** All suitable back ends are at their rate limits or have asked for a pause. */
  | 'not_accepting'
  | 'connections_exhausted'
  /** All workers that hold the model are full for longer than the request can wait. */
  | 'workers_full';

/** Suggested delay before a stream without a back end of its version is taken up again, in milliseconds; a worker may be restarted by then. */
export const VERSION_GONE_RETRY_MS = 1000;

/** Whether a back end runs a software version. @param softwareVersion Any if undefined. */
export function runsVersion(backEnd: BackEnd, softwareVersion: string | undefined): boolean {
  return softwareVersion === undefined || backEnd.softwareVersion === softwareVersion;
}

/** Builds a refusal. @param retryAfterMs Suggested delay before a retry, in milliseconds. */
export function refusal(reason: RefusalReason, retryAfterMs: number): BackendChoice {
  return { kind: 'refuse', reason, retryAfterMs };
}

/** Builds a refusal for a request that could be sent to `backEnds` if this daemon had a connection left. */
export function connectionsExhausted(backEnds: readonly BackEnd[], retryAfterMs: number): BackendChoice {
  const backEndIds = backEnds.map(({ id }) => id);
  return { kind: 'refuse', reason: 'connections_exhausted', retryAfterMs, backEndIds };
}
