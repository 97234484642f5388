import { randomInt } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import type { MonotonicClock, RandomSource } from '@laburnumgap/kernel';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const SEED_RANGE = 2 ** 31;

/** Monotonic clock of this process. It keeps running while the process is suspended. */
export const PROCESS_CLOCK: MonotonicClock = {
  nowMs: () => performance.now(),
};

/**
 * Creates a pseudorandom number generator.
 *
 * @param seed - the seed; by default a random one
 * @returns the generator
 */
export function createRandomSource(seed: number = randomInt(SEED_RANGE)): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    nextUnit: () => uniformFloat64(generator),
  };
}
