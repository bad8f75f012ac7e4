/** Randomness as the daemons see it: an injected source, seeded in simulation. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 0x1_0000_0000;
const ID_ALPHABET = '0123456789abcdefghijklmnopqrstuvwxyz';
const DEFAULT_ID_LENGTH = 16;

/** Source of random numbers. */
export class Random {
  private readonly generator;

  /** @param seed Any 32-bit integer; the same seed gives the same numbers. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }

  /** Uniform integer in [0, bound). */
  integer(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** One element, or undefined when the list is empty. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.integer(items.length)];
  }

  /** A new list with the elements in random order. */
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

  /** A random identifier of lower-case letters and digits. */
  id(length = DEFAULT_ID_LENGTH): string {
    let text = '';
    for (let index = 0; index < length; index += 1) {
      text += ID_ALPHABET.charAt(this.integer(ID_ALPHABET.length));
    }
    return text;
  }

  /** A separate source derived from this one. */
  fork(): Random {
    return new Random(this.generator.next());
  }
}
