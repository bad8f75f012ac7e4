/** What the witnesses of a lease have answered its holder. */
import type { Clock } from '@woodbarrow/runtime';
import { areSameWitnesses, CONTACT_LIFETIME_MS, majorityOf, type WitnessId } from './lease-witness.js';

/** Contact of one holder with the witnesses of one lease. */
export class HolderContact {
  private witnesses: readonly WitnessId[] = [];
  /** When each witness was last asked that has answered, in elapsed time. */
  private readonly lastAnsweredRequestAt = new Map<string, number>();
  /** Elapsed time since which the present witnesses are asked. */
  private witnessesSetAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Names the witnesses of the record as it stands now; only what they answered counts, also before. */
  setWitnesses(witnesses: readonly WitnessId[]): void {
    if (areSameWitnesses(this.witnesses, witnesses)) return;
    for (const { id, instance } of this.witnesses) {
      if (!witnesses.some((kept) => kept.id === id && kept.instance === instance))
        this.lastAnsweredRequestAt.delete(id);
    }
    this.witnesses = witnesses;
    this.witnessesSetAt = this.clock.elapsed();
  }

  /** A witness has answered that the holder may go on. @param askedAt When it was asked, in elapsed time. */
  noteAnswer({ id, instance }: WitnessId, askedAt: number): void {
    if (!this.witnesses.some((witness) => witness.id === id && witness.instance === instance)) return;
    this.lastAnsweredRequestAt.set(id, Math.max(askedAt, this.lastAnsweredRequestAt.get(id) ?? -Infinity));
  }

  /** Whether enough witnesses have answered lately for the holder to act; always so without witnesses. */
  get isFresh(): boolean {
    return this.expiresInMs() > 0;
  }

  /** Milliseconds for which no majority has answered; 0 while contact is fresh and soon after the witnesses were named. */
  lostMs(): number {
    const lastAt = Math.max(this.witnessesSetAt, this.majorityRequestAt());
    return this.witnesses.length === 0 ? 0 : this.clock.elapsed() - lastAt;
  }

  /** Witnesses that have not answered for a while. */
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

  /** The latest time from which on a majority has been asked and has answered. */
  private majorityRequestAt(): number {
    const times = this.witnesses.map(({ id }) => this.lastAnsweredRequestAt.get(id) ?? -Infinity);
    times.sort((left, right) => right - left);
    return times[majorityOf(this.witnesses) - 1] ?? -Infinity;
  }
}
