/**
 * Witnesses of a lease: daemons that the holder names in its record. The holder acts only while most of them have
 * answered it of late. A candidate may take the lease before its lifetime ends once most of them have refused the holder:
 * two majorities of the same witnesses share one, so a holder that was refused cannot act, be it lost, frozen or cut off.
 * Witnesses keep this in memory only; one that was started again is another witness and counts for nobody.
 */
import type { Clock } from '@woodbarrow/runtime';

/** One run of a daemon as a witness. */
export interface WitnessId {
  readonly id: string;
  readonly instance: number;
}

/** Milliseconds for which a holder may act after it asked a witness that answered. */
export const CONTACT_LIFETIME_MS = 1500;
/** Allowance for clocks that run at different speeds, as a share of that time. */
const DRIFT_SHARE = 0.02;

/** A holder's word that it still uses a lease. */
export interface ContactRequest {
  /** Name of the lease. */
  readonly lease: string;
  /** Revision of its record as the holder knows it. */
  readonly revision: number;
}

/** A candidate's wish that the holder be refused. */
export interface RefusalRequest {
  readonly lease: string;
  /** Revision of the record that the candidate is about to replace. */
  readonly revision: number;
}

/** Answer to a {@link RefusalRequest}. */
export interface RefusalAnswer {
  /** Whether the holder is refused from now on, until the record has a higher revision. */
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
  private readonly refused = new Map<string, number>();
  private readonly startedAt: number;

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonic();
  }

  /** A holder asks to go on. Returns whether it may. */
  contact({ lease, revision }: ContactRequest): boolean {
    if ((this.refused.get(lease) ?? 0) >= revision) return false;
    this.contactAt.set(lease, this.clock.monotonic());
    return true;
  }

  /** A candidate asks for the holder to be refused: granted when what the holder was answered here has lapsed. */
  refuse({ lease, revision }: RefusalRequest): RefusalAnswer {
    const lastContactAgoMs = this.clock.monotonic() - (this.contactAt.get(lease) ?? this.startedAt);
    if (lastContactAgoMs < CONTACT_LIFETIME_MS * (1 + DRIFT_SHARE))
      return { agreed: false, lastContactAgoMs };
    this.refused.set(lease, Math.max(this.refused.get(lease) ?? 0, revision));
    return { agreed: true, lastContactAgoMs };
  }
}
