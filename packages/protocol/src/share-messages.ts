/** Messages by which a daemon with much traffic borrows the unused shares that others have of back ends. */
import { definePeerMethod } from './method.js';

/** Number of requests that one daemon lets another run at a back end in its place. */
export interface LentShare {
  readonly backEndId: string;
  readonly requests: number;
}

/** Asks a daemon to lend what it does not use; replaces what it has lent to the sender before. */
export interface LendSharesMessage {
  readonly from: string;
  readonly backEndIds: readonly string[];
}

/** Answer to {@link LendSharesMessage}. */
export interface LendSharesAnswer {
  readonly lent: readonly LentShare[];
}

export const lendSharesMethod = definePeerMethod<LendSharesMessage, LendSharesAnswer>('shares.lend');
