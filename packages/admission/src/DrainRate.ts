const DECAY_TIME_CONSTANT_MS = 20_000;
/** The rate is undefined until requests have waited for this time in total. */
const MIN_MEASURED_MS = 2_000;

/**
 * Measures the rate at which work is admitted from an engine's queue. Time without queued requests
 * is excluded, because an engine without a queue does not show its capacity. Older measurements
 * decay exponentially.
 */
export class DrainRate {
  private measuredMs = 0;
  private servedWork = 0;
  private waitingSinceMs: number | undefined;

  /** Records the work of a granted request, in tokens times decoding steps. */
  recordServed(work: number): void {
    if (this.waitingSinceMs !== undefined) {
      this.servedWork += work;
    }
  }

  /** Records whether requests are queued from now on. */
  recordWaiting(isWaiting: boolean, nowMs: number): void {
    if (this.waitingSinceMs !== undefined) {
      const elapsedMs = Math.max(0, nowMs - this.waitingSinceMs);
      const decayFactor = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
      this.measuredMs = this.measuredMs * decayFactor + elapsedMs;
      this.servedWork *= decayFactor;
    }
    this.waitingSinceMs = isWaiting ? nowMs : undefined;
  }

  /**
   * Expected time until queued work has been admitted.
   *
   * @param work - the work ahead, in tokens times decoding steps
   * @returns the time in milliseconds, or undefined while there are too few measurements
   */
  waitMs(work: number): number | undefined {
    if (this.measuredMs < MIN_MEASURED_MS || this.servedWork <= 0) {
      return undefined;
    }
    return (work * this.measuredMs) / this.servedWork;
  }
}
