import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws of a fault run; the same seed draws the same. */
export interface FaultsRandom {
  /** True with the probability. */
  chance(probability: number): boolean;
  /** A whole number from least to most. */
  int(least: number, most: number): number;
  /** One of the values. */
  pick<T>(values: readonly T[]): T;
}

const CHANCE_STEPS = 1_000_000;

/**
 * Creates the draws of a run.
 *
 * @param seed - the seed
 * @returns the draws
 */
export function createFaultsRandom(seed: number): FaultsRandom {
  const generator = xoroshiro128plus(seed);
  const int = (least: number, most: number): number => uniformInt(generator, least, most);
  return {
    chance: (probability) => int(0, CHANCE_STEPS - 1) < probability * CHANCE_STEPS,
    int,
    pick: <T>(values: readonly T[]) => {
      const value = values[int(0, values.length - 1)];
      if (value === undefined) {
        throw new Error('nothing to pick from');
      }
      return value;
    },
  };
}
