/** Measures CPU time and memory within this process. */

const BYTES_ROUNDS = 3;
const CPU_ROUNDS = 5;

/**
 * Measures the CPU time of one operation: the minimum over several rounds, after a warm-up round.
 *
 * @param operations - operations per round
 * @param run - runs operation number n
 * @returns CPU time per operation in microseconds
 */
export function measureCpuUs(operations: number, run: (n: number) => void): number {
  let minUs = Number.POSITIVE_INFINITY;
  let next = 0;
  for (let round = 0; round <= CPU_ROUNDS; round += 1) {
    const before = process.cpuUsage();
    for (let n = 0; n < operations; n += 1) {
      run(next);
      next += 1;
    }
    const { system, user } = process.cpuUsage(before);
    if (round > 0) {
      minUs = Math.min(minUs, (system + user) / operations);
    }
  }
  return minUs;
}

/**
 * Measures the memory per entry of a data structure. Requires `--expose-gc`.
 *
 * @param entries - number of entries in the structure
 * @param build - builds the structure, which stays reachable during the measurement
 * @returns bytes per entry, the median over several rounds
 * @throws without `--expose-gc`
 */
export function measureHeapBytes(entries: number, build: () => unknown): number {
  const collect = globalThis.gc;
  if (!collect) {
    throw new Error('run node with --expose-gc');
  }
  // The structures of all rounds stay reachable: freeing one while the next is built would hide the
  // growth. The first one also fills caches and is not counted.
  const retained: unknown[] = [build()];
  const sizes: number[] = [];
  for (let round = 0; round < BYTES_ROUNDS; round += 1) {
    collect();
    collect();
    const before = process.memoryUsage();
    retained.push(build());
    collect();
    collect();
    const after = process.memoryUsage();
    const grown = after.heapUsed - before.heapUsed + after.arrayBuffers - before.arrayBuffers;
    sizes.push(grown / entries);
  }
  sizes.sort((a, b) => a - b);
  return retained.length > BYTES_ROUNDS ? (sizes[Math.floor(BYTES_ROUNDS / 2)] ?? Number.NaN) : 0;
}

/** A straight line, `base + slope * x`. */
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
