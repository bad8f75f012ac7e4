/** Which relays follow the store, from what they tell again and again. */
import type { Clock } from '@woodbarrow/runtime';

/** Time for which a relay's word that it follows the store is believed, in milliseconds: three of its reports. */
const WORD_LIFETIME_MS = 1000;

interface RelayWord {
  readonly at: number;
  readonly follows: boolean;
}

/** Words of relays as one of them hears them. */
export class FollowerWatch {
  private readonly words = new Map<string, RelayWord>();

  constructor(private readonly clock: Clock) {}

  /** A relay has told whether it follows the store. */
  note(relayId: string, follows: boolean): void {
    this.words.set(relayId, { at: this.clock.elapsed(), follows });
  }

  /** Whether a relay has told lately that it follows the store. */
  isFollowing(relayId: string): boolean {
    const word = this.words.get(relayId);
    return word?.follows === true && this.clock.elapsed() - word.at <= WORD_LIFETIME_MS;
  }

  /** How many of some relays follow the store. One that is new is given the time of a word to begin. */
  countFollowing(relays: readonly { readonly id: string }[]): number {
    const now = this.clock.elapsed();
    let count = 0;
    for (const { id } of relays) {
      const word = this.words.get(id);
      if (word === undefined) this.words.set(id, { at: now, follows: true });
      if (word === undefined || (word.follows && now - word.at <= WORD_LIFETIME_MS)) count += 1;
    }
    return count;
  }
}
