/** Monotonic time of one process. Never compared between processes. */
export interface MonotonicClock {
  /** Milliseconds since an arbitrary start; never goes back. */
  nowMs(): number;
}

/** Wall-clock time, which may jump. */
export interface WallClock {
  /** Milliseconds since the Unix epoch. */
  nowEpochMs(): number;
}

/** Source of random numbers that a test can seed. */
export interface RandomSource {
  /** The next number, uniform in [0, 1). */
  nextUnit(): number;
}
