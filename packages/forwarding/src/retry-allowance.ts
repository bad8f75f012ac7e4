/** Port: the fixed allowance of retries that all daemons share. */
import type { RequestCount } from './retry-window-bound.js';

/** Why a retry is withheld. */
export type RetryWithheldReason =
  /** All retries of the allowance are in use in this window. */
  | 'used_up'
  /** What earlier allocators granted may still count in this window. */
  | 'allocator_starting'
  /** No allocator responded in time. */
  | 'no_allocator';

/** A retry of the fixed allowance. */
export interface AllowedRetry {
  /**
   * `granted` by an allocator, or from the part of the allowance that the `first_member` of the deployment has.
   */
  readonly source: 'granted' | 'first_member';
  /** Whether the retry may still be sent. Check right before it is sent. */
  isValid(): boolean;
  /** Returns the permit of a retry that did not reach a back end. */
  refund(): void;
  /** Elapsed time in milliseconds until which the allowance counts it as on its way. @default always */
  readonly countedUntil?: number;
}

/** A retry that may be sent once. */
export interface RetryPermit extends Pick<AllowedRetry, 'isValid' | 'refund'> {
  /** `earned` by requests of this daemon, or from the fixed allowance. */
  readonly source: 'earned' | AllowedRetry['source'];
  /**
   * Must be called once it is known when a retry that was sent has reached a back end.
   *
   * @param mayArriveUntil Latest possible elapsed time in milliseconds.
   */
  settle(mayArriveUntil: number): void;
}

/** Result of a request for a retry. */
export type RetryOutcome<Permit = RetryPermit> =
  | { readonly kind: 'allowed'; readonly permit: Permit }
  | { readonly kind: 'withheld'; readonly reason: RetryWithheldReason };

/** Grants retries from the fixed allowance. */
export interface RetryAllowance {
  /**
   * Acquires one retry. Never rejects, and resolves within a fraction of a second.
   *
   * @param takeRequests Returns the requests of this daemon that are too few to earn a retry, which it counts no longer.
   */
  acquire(
    service: string,
    signal: AbortSignal,
    takeRequests: () => readonly RequestCount[],
  ): Promise<RetryOutcome<AllowedRetry>>;
  /** Work in the background until `signal` aborts. @default none */
  run?(signal: AbortSignal): Promise<void>;
}

/** Allowance of a deployment that allows retries only in proportion to its requests. */
export const NO_ALLOWANCE: RetryAllowance = {
  acquire: () => Promise.resolve({ kind: 'withheld', reason: 'used_up' }),
};
