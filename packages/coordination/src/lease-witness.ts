/**
 * Witnesses of a lease: daemons that the holder names in its record. The holder acts only while a majority of
 * them has answered recently. A candidate may take the lease before its lifetime ends once a majority has
 * refused the holder: any two majorities overlap, so a refused holder that is lost, frozen or partitioned
 * cannot act. Witness state is in memory only; a restarted daemon is a different witness.
 */
import { compareStorePositions, type Incarnation, type StorePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** Identifies one run of a daemon as a witness. */
export type WitnessId = Incarnation;

/** Milliseconds for which a holder may act after it sent a request that a witness accepted. */
export const CONTACT_LIFETIME_MS = 1500;
/** Allowance for different clock rates, as a share of a time that is measured on two machines. */
export const CLOCK_DRIFT_SHARE = 0.02;

/** Position of a lease's record; the era is absent from daemons without support for eras. */
interface LeasePosition {
  /** Name of the lease. */
  readonly lease: string;
  readonly era?: number;
  readonly revision: number;
}

/** Request of a holder to continue, with the position of its last observed record. */
export type ContactRequest = LeasePosition;

/**
 * Request of a candidate to refuse the holder, with the position of the record that it is about to replace.
 */
export type RefusalRequest = LeasePosition;

/** Answer to a {@link RefusalRequest}. */
export interface RefusalAnswer {
  /** Whether the holder is refused until the record has a later position. */
  readonly agreed: boolean;
  /** Milliseconds since this witness last accepted a request of the holder, or since the witness started. */
  readonly lastContactAgoMs: number;
}

/** Returns the smallest number of witnesses that is a majority. */
export function majoritySize(witnesses: readonly WitnessId[]): number {
  return Math.floor(witnesses.length / 2) + 1;
}

/** Whether two sets of witnesses are equal, in any order. */
export function areSameWitnesses(left: readonly WitnessId[], right: readonly WitnessId[]): boolean {
  return (
    left.length === right.length &&
    left.every(({ id, instance }) => right.some((other) => other.id === id && other.instance === instance))
  );
}

/** Witness state of one daemon for all leases. */
export class LeaseWitness {
  private readonly contactAt = new Map<string, number>();
  /** Latest position of each lease's record whose holder was refused. */
  private readonly refusedPositions = new Map<string, StorePosition>();
  private readonly startedAt: number;

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonic();
  }

  /** Handles a holder's request to continue; returns whether the holder may act. */
  confirmContact(request: ContactRequest): boolean {
    const { lease } = request;
    const refused = this.refusedPositions.get(lease);
    if (refused !== undefined && compareStorePositions(refused, this.positionOf(request)) >= 0) return false;
    this.contactAt.set(lease, this.clock.monotonic());
    return true;
  }

  /**
   * Handles a candidate's request to refuse the holder; agrees once the holder's contact here has expired.
   */
  refuse(request: RefusalRequest): RefusalAnswer {
    const { lease } = request;
    const lastContactAgoMs = this.clock.monotonic() - (this.contactAt.get(lease) ?? this.startedAt);
    if (lastContactAgoMs < CONTACT_LIFETIME_MS * (1 + CLOCK_DRIFT_SHARE))
      return { agreed: false, lastContactAgoMs };
    const position = this.positionOf(request);
    const refused = this.refusedPositions.get(lease);
    if (refused === undefined || compareStorePositions(position, refused) > 0)
      this.refusedPositions.set(lease, position);
    return { agreed: true, lastContactAgoMs };
  }

  private positionOf({ lease, era, revision }: LeasePosition): StorePosition {
    return { era: era ?? this.refusedPositions.get(lease)?.era ?? 0, revision };
  }
}
