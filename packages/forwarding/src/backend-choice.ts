/** Result of choosing a back end. */
import type { BackEnd } from '@woodbarrow/backends';

/** A back end to send to, or why there is none. */
export type BackendChoice =
  | { readonly kind: 'send'; readonly backEnd: BackEnd; readonly reason: string }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason; readonly retryAfterMs: number };

/** Why a request is refused without having run. */
export type RefusalReason =
  | 'no_backend'
  | 'all_excluded'
  | 'model_unavailable'
  | 'model_too_late'
  | 'client_gone'
  /** All suitable back ends are at their rate limits or have asked for a pause. */
  | 'not_accepting'
  | 'connections_exhausted';

/** Builds a refusal. @param retryAfterMs Suggested delay before a retry, in milliseconds. */
export function refusal(reason: RefusalReason, retryAfterMs: number): BackendChoice {
  return { kind: 'refuse', reason, retryAfterMs };
}
