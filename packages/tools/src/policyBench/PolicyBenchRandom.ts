import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator. */
export interface BenchRandom {
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number;
  /** Log-normally distributed with the given median. */
  logNormal(median: number, sigma: number): number;
  /** Uniformly distributed in [0, 1). */
  nextUnit(): number;
  /** Picks an item with probability proportional to its share. */
  pick<T extends { readonly share: number }>(first: T, ...others: readonly T[]): T;
}

/**
 * Creates a seeded random number generator.
 *
 * @param seed - the seed
 * @returns the generator
 */
export function createBenchRandom(seed: number): BenchRandom {
  const generator = xoroshiro128plus(seed);
  const nextUnit = (): number => uniformFloat64(generator);
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - nextUnit())) * Math.cos(2 * Math.PI * nextUnit());
  return {
    exponential: (mean) => -mean * Math.log(1 - nextUnit()),
    logNormal: (median, sigma) => median * Math.exp(sigma * normal()),
    nextUnit,
    pick: <T extends { readonly share: number }>(first: T, ...others: readonly T[]) => {
      const total = others.reduce((sum, item) => sum + item.share, first.share);
      let left = nextUnit() * total - first.share;
      let picked = first;
      for (const item of others) {
        if (left <= 0) {
          break;
        }
        picked = item;
        left -= item.share;
      }
      return picked;
    },
  };
}
