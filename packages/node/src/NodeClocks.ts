import { randomInt } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import type { MonotonicClock, RandomSource } from '@laburnumgap/kernel';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const SEED_RANGE = 2 ** 31;

/** Monotonic time of this process. It goes on while the process is paused. */
export const PROCESS_CLOCK: MonotonicClock = {
  nowMs: () => performance.now(),
};

/**
 * Creates a source of random numbers.
 *
 * @param seed - the seed; without it each process draws its own
 * @returns the source
 */
export function createRandomSource(seed: number = randomInt(SEED_RANGE)): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    nextUnit: () => uniformFloat64(generator),
  };
}
