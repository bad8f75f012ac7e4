/** Tracks which witnesses of a lease have answered its holder. */
import type { Clock } from '@woodbarrow/runtime';
import { areSameWitnesses, CONTACT_LIFETIME_MS, majoritySize, type WitnessId } from './lease-witness.js';

/** Contact between one lease holder and its witnesses. */
export class HolderContact {
  private witnesses: readonly WitnessId[] = [];
  /** Time at which the last answered request was sent to each witness, in elapsed time. */
  private readonly lastAnsweredRequestAt = new Map<string, number>();
  /** Elapsed time at which the current witnesses were set. */
  private witnessesSetAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Sets the witnesses that the lease record names. Answers of witnesses that remain stay valid. */
  setWitnesses(witnesses: readonly WitnessId[]): void {
    if (areSameWitnesses(this.witnesses, witnesses)) return;
    for (const { id, instance } of this.witnesses) {
      if (!witnesses.some((kept) => kept.id === id && kept.instance === instance))
        this.lastAnsweredRequestAt.delete(id);
    }
    this.witnesses = witnesses;
    this.witnessesSetAt = this.clock.elapsed();
  }

  /**
   * Records that a witness has accepted the holder's request.
   *
   * @param askedAt Time at which the request was sent, in elapsed time.
   */
  recordAnswer({ id, instance }: WitnessId, askedAt: number): void {
    if (!this.witnesses.some((witness) => witness.id === id && witness.instance === instance)) return;
    this.lastAnsweredRequestAt.set(id, Math.max(askedAt, this.lastAnsweredRequestAt.get(id) ?? -Infinity));
  }

  /**
   * Whether a majority of the witnesses has answered within the contact lifetime; always true without
   * witnesses.
   */
  get isFresh(): boolean {
    return this.expiresInMs() > 0;
  }

  /**
   * Milliseconds since a majority last answered or since the witnesses were set, whichever is later; 0
   * without witnesses.
   */
  withoutMajorityMs(): number {
    const lastAt = Math.max(this.witnessesSetAt, this.majorityRequestAt());
    return this.witnesses.length === 0 ? 0 : this.clock.elapsed() - lastAt;
  }

  /** Witnesses that have not answered any request of the last `longerThanMs` milliseconds. */
  unresponsiveWitnesses(longerThanMs: number): readonly WitnessId[] {
    const oldest = this.clock.elapsed() - longerThanMs;
    return this.witnesses.filter(
      ({ id }) => Math.max(this.witnessesSetAt, this.lastAnsweredRequestAt.get(id) ?? 0) < oldest,
    );
  }

  private expiresInMs(): number {
    if (this.witnesses.length === 0) return Infinity;
    return this.majorityRequestAt() + CONTACT_LIFETIME_MS - this.clock.elapsed();
  }

  /** Latest time such that a majority has answered a request sent then or later, in elapsed time. */
  private majorityRequestAt(): number {
    const times = this.witnesses.map(({ id }) => this.lastAnsweredRequestAt.get(id) ?? -Infinity);
    times.sort((left, right) => right - left);
    return times[majoritySize(this.witnesses) - 1] ?? -Infinity;
  }
}
