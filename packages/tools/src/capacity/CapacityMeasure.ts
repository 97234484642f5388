/** Measurements of processor time and memory within this process. */

const BYTES_ROUNDS = 3;
const CPU_ROUNDS = 5;

/**
 * Measures processor time of one operation: the least of several rounds, after a first one that
 * only warms up.
 *
 * @param operations - operations in a round
 * @param run - runs operation number n
 * @returns microseconds of processor time an operation
 */
export function cpuUsOf(operations: number, run: (n: number) => void): number {
  let least = Number.POSITIVE_INFINITY;
  let next = 0;
  for (let round = 0; round <= CPU_ROUNDS; round += 1) {
    const before = process.cpuUsage();
    for (let n = 0; n < operations; n += 1) {
      run(next);
      next += 1;
    }
    const { system, user } = process.cpuUsage(before);
    if (round > 0) {
      least = Math.min(least, (system + user) / operations);
    }
  }
  return least;
}

/**
 * Measures the heap that one entry of a structure holds. Needs `--expose-gc`.
 *
 * @param entries - entries of the structure
 * @param build - builds the structure, which is kept alive while it is measured
 * @returns bytes an entry
 */
export function heapBytesOf(entries: number, build: () => unknown): number {
  const collect = globalThis.gc;
  if (!collect) {
    throw new Error('run with --expose-gc');
  }
  // All rounds stay alive: one that is freed while the next is built would hide its size.
  // The first one also fills caches and is not counted.
  const kept: unknown[] = [build()];
  const sizes: number[] = [];
  for (let round = 0; round < BYTES_ROUNDS; round += 1) {
    collect();
    collect();
    const before = process.memoryUsage();
    kept.push(build());
    collect();
    collect();
    const after = process.memoryUsage();
    const grown = after.heapUsed - before.heapUsed + after.arrayBuffers - before.arrayBuffers;
    sizes.push(grown / entries);
  }
  sizes.sort((a, b) => a - b);
  return kept.length > BYTES_ROUNDS ? (sizes[Math.floor(BYTES_ROUNDS / 2)] ?? Number.NaN) : 0;
}

/** A straight line through points. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of x and y
 * @returns the line
 */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { base: meanY - slope * meanX, slope };
}
