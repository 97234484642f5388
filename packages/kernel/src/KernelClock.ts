/** Monotonic clock of one process. Its readings must not be compared between processes. */
export interface MonotonicClock {
  /** Returns the milliseconds since an arbitrary start; never decreases. */
  nowMs(): number;
}

/** Wall clock, which may jump in either direction. */
export interface WallClock {
  /** Returns the milliseconds since the Unix epoch. */
  nowEpochMs(): number;
}

/** Source of random numbers that a test can seed. */
export interface RandomSource {
  /** Returns the next number, uniformly distributed in [0, 1). */
  nextUnit(): number;
}
