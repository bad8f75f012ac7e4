/** Port: the fixed allowance of retries that all daemons share. */

/** Why a retry is withheld. */
export type RetryWithheldReason =
  /** All retries of the allowance are in use in this window. */
  | 'used_up'
  /** What earlier allocators granted may still count in this window. */
  | 'allocator_starting'
  /** No allocator responded in time. */
  | 'no_allocator';

/** A retry that may be sent once. */
export interface RetryPermit {
  /**
   * `earned` by requests of this daemon, `granted` from the fixed allowance of the deployment by an allocator, or from the part of it
   * that the `first_member` of the deployment has.
   */
  readonly source: 'earned' | 'granted' | 'first_member';
  /** Whether the retry may still be sent. Check right before it is sent. */
  isValid(): boolean;
  /** Returns the permit of a retry that did not reach a back end. */
  refund(): void;
}

/** Result of a request for a retry. */
export type RetryOutcome =
  | { readonly kind: 'allowed'; readonly permit: RetryPermit }
  | { readonly kind: 'withheld'; readonly reason: RetryWithheldReason };

/** Grants retries from the fixed allowance. */
export interface RetryAllowance {
  /** Acquires one retry. Never rejects, and resolves within a fraction of a second. */
  acquire(service: string, signal: AbortSignal): Promise<RetryOutcome>;
  /** Work in the background until `signal` aborts. @default none */
  run?(signal: AbortSignal): Promise<void>;
}

/** Allowance of a deployment that allows retries only in proportion to its requests. */
export const NO_ALLOWANCE: RetryAllowance = {
  acquire: () => Promise.resolve({ kind: 'withheld', reason: 'used_up' }),
};
