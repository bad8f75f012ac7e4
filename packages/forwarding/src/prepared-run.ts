/** All that one send of a request needs: a back end, permission to use it, and the admission of the quarantine. */
import type { Verdict } from '@woodbarrow/quarantine';
import type { RefusalReason, SendChoice } from './backend-choice.js';
import type { AllowanceRefusal } from './request-allowance.js';
import type { SendPermit } from './send-permits.js';

/** A run that may be sent now. */
export interface PreparedRun {
  readonly choice: SendChoice;
  readonly permit: SendPermit;
  /** Whether it may still be sent. Check right before: others may have used up connections, and permits expire. */
  readonly isValid: () => boolean;
  /** Returns all that is held for the run. Called once, when it has ended or is not sent. */
  readonly release: () => void;
}

/** Why a request is not sent. */
export type StopReason =
  | { readonly kind: 'quarantined'; readonly verdict: Verdict }
  | { readonly kind: 'awaiting_trial'; readonly retryAfterMs: number }
  | { readonly kind: 'over_quota'; readonly refusal: AllowanceRefusal }
  | { readonly kind: 'no_back_end'; readonly reason: RefusalReason; readonly retryAfterMs: number }
  /** The route or the retry budget does not allow another send. */
  | { readonly kind: 'not_repeated' }
  /** Time is up, the client has disconnected, or the wait was cancelled. */
  | { readonly kind: 'expired' };

/** Result of preparing a run. */
export type Preparation =
  | { readonly kind: 'prepared'; readonly run: PreparedRun }
  /** What was known has changed; the preparation can be tried again. */
  | { readonly kind: 'again' }
  | { readonly kind: 'stop'; readonly reason: StopReason };

/** Functions that return what is held, called in reverse order. */
export class Releases {
  private functions: (() => void)[] = [];

  add(release: () => void): void {
    this.functions.push(release);
  }

  releaseAll(): void {
    for (const release of this.functions.splice(0).reverse()) release();
  }
}
