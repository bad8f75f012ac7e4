/** Injectable pseudo-random source; seeded for reproducible simulations. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 0x1_0000_0000;
const ID_ALPHABET = '0123456789abcdefghijklmnopqrstuvwxyz';
const DEFAULT_ID_LENGTH = 16;

/** Seeded pseudo-random number generator; not for cryptographic use. */
export class Random {
  private readonly generator;

  /** @param seed Any 32-bit integer; equal seeds give equal sequences. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a uniform number in [0, 1). */
  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }

  /** Returns a uniform integer in [0, bound). */
  integer(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns a uniform number in [low, high). */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** Returns a random element, or undefined when the list is empty. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.integer(items.length)];
  }

  /** Returns a new list with the elements in random order. */
  shuffle<T>(items: readonly T[]): T[] {
    const result = [...items];
    for (let index = result.length - 1; index > 0; index -= 1) {
      const other = this.integer(index + 1);
      const swapped = result[index] as T;
      result[index] = result[other] as T;
      result[other] = swapped;
    }
    return result;
  }

  /** Returns a random identifier of lower-case letters and digits. */
  id(length = DEFAULT_ID_LENGTH): string {
    let text = '';
    for (let index = 0; index < length; index += 1) {
      text += ID_ALPHABET.charAt(this.integer(ID_ALPHABET.length));
    }
    return text;
  }

  /** Returns an independent generator seeded from this one. */
  fork(): Random {
    return new Random(this.generator.next());
  }
}
