import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random number generator of a fault run; the same seed gives the same numbers. */
export interface FaultsRandom {
  /** Returns true with the given probability. */
  chance(probability: number): boolean;
  /** Returns an integer from min to max, both inclusive. */
  int(min: number, max: number): number;
  /** Returns one of the values; throws if there are none. */
  pick<T>(values: readonly T[]): T;
}

const CHANCE_STEPS = 1_000_000;

/**
 * Creates a seeded random number generator.
 *
 * @param seed - the seed
 * @returns the generator
 */
export function createFaultsRandom(seed: number): FaultsRandom {
  const generator = xoroshiro128plus(seed);
  const int = (min: number, max: number): number => uniformInt(generator, min, max);
  return {
    chance: (probability) => int(0, CHANCE_STEPS - 1) < probability * CHANCE_STEPS,
    int,
    pick: <T>(values: readonly T[]) => {
      const value = values[int(0, values.length - 1)];
      if (value === undefined) {
        throw new Error('cannot pick from an empty list');
      }
      return value;
    },
  };
}
