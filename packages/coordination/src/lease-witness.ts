/**
 * Witnesses of a lease: daemons that the holder names in its record. The holder acts only while most of them have
 * answered it of late. A candidate may take the lease before its lifetime ends once most of them have refused the holder:
 * two majorities of the same witnesses share one, so a holder that was refused cannot act, be it lost, frozen or cut off.
 * Witnesses keep this in memory only; one that was started again is another witness and counts for nobody.
 */
import { compareStorePositions, type StorePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** One run of a daemon as a witness. */
export interface WitnessId {
  readonly id: string;
  readonly instance: number;
}

/** Milliseconds for which a holder may act after it asked a witness that answered. */
export const CONTACT_LIFETIME_MS = 1500;
/** Allowance for clocks that run at different speeds, as a share of that time. */
const CLOCK_DRIFT_SHARE = 0.02;

/** Position of a lease's record; the era is absent from daemons that know none. */
interface LeasePosition {
  /** Name of the lease. */
  readonly lease: string;
  readonly era?: number;
  readonly revision: number;
}

/** A holder's word that it still uses a lease, with the position of its record as the holder knows it. */
export type ContactRequest = LeasePosition;

/** A candidate's wish that the holder be refused, with the position of the record that it is about to replace. */
export type RefusalRequest = LeasePosition;

/** Answer to a {@link RefusalRequest}. */
export interface RefusalAnswer {
  /** Whether the holder is refused from now on, until the record has a later position. */
  readonly agreed: boolean;
  /** Milliseconds since the holder was last answered here; since this witness started when it never was. */
  readonly lastContactAgoMs: number;
}

/** Number of witnesses that is more than half of all. */
export function majorityOf(witnesses: readonly WitnessId[]): number {
  return Math.floor(witnesses.length / 2) + 1;
}

/** Whether two sets of witnesses are equal, in any order. */
export function areSameWitnesses(left: readonly WitnessId[], right: readonly WitnessId[]): boolean {
  return (
    left.length === right.length &&
    left.every(({ id, instance }) => right.some((other) => other.id === id && other.instance === instance))
  );
}

/** One daemon as a witness of any leases. */
export class LeaseWitness {
  private readonly contactAt = new Map<string, number>();
  /** Latest position of each lease's record under which its holder was refused. */
  private readonly refusedPositions = new Map<string, StorePosition>();
  private readonly startedAt: number;

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonic();
  }

  /** A holder asks to go on. Returns whether it may. */
  contact(request: ContactRequest): boolean {
    const { lease } = request;
    const refused = this.refusedPositions.get(lease);
    if (refused !== undefined && compareStorePositions(refused, this.positionOf(request)) >= 0) return false;
    this.contactAt.set(lease, this.clock.monotonic());
    return true;
  }

  /** A candidate asks for the holder to be refused: granted when what the holder was answered here has lapsed. */
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
