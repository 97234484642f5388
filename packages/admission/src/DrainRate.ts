const MEMORY_MS = 20_000;
const MIN_MEASURED_MS = 2_000;

/**
 * Rate at which an engine takes work out of its queue, measured only while something waits: an
 * engine without a queue says nothing about how fast it could go.
 */
export class DrainRate {
  private measuredMs = 0;
  private servedWork = 0;
  private sinceMs: number | undefined;

  /** Notes a grant. */
  noteServed(work: number): void {
    if (this.sinceMs !== undefined) {
      this.servedWork += work;
    }
  }

  /** Notes whether requests wait from now on. */
  noteWaiting(isWaiting: boolean, nowMs: number): void {
    if (this.sinceMs !== undefined) {
      const passedMs = Math.max(0, nowMs - this.sinceMs);
      const kept = Math.exp(-passedMs / MEMORY_MS);
      this.measuredMs = this.measuredMs * kept + passedMs;
      this.servedWork *= kept;
    }
    this.sinceMs = isWaiting ? nowMs : undefined;
  }

  /**
   * Time until work is served.
   *
   * @param work - the work ahead
   * @returns the time, or undefined while too little was measured
   */
  waitMs(work: number): number | undefined {
    if (this.measuredMs < MIN_MEASURED_MS || this.servedWork <= 0) {
      return undefined;
    }
    return (work * this.measuredMs) / this.servedWork;
  }
}
