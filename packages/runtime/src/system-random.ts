/** Random source seeded by the operating system. */
import { randomInt } from 'node:crypto';
import { Random } from './random.js';

const SEED_BOUND = 0x7fff_ffff;

/** Creates a random source with an unpredictable seed. */
export function systemRandom(): Random {
  return new Random(randomInt(SEED_BOUND));
}
