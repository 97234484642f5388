/** A server that has ended is not back at its address before this time. */
const MIN_STANDSTILL_MS = 1_000;
/** What arrived during a standstill has been read after this time. */
const CATCH_UP_MS = 1_000;

/**
 * Records when this process stood still: frozen, or without a processor. What it reads after that can be
 * older than what it finds out now.
 */
export class Standstills {
  private endedMs = -Infinity;

  /**
   * @param lastTickMs - monotonic time of the construction
   */
  constructor(private lastTickMs: number) {}

  /** Called several times in {@link MIN_STANDSTILL_MS} while the process runs. */
  onTick(nowMs: number): void {
    if (this.standsStill(nowMs)) {
      this.endedMs = nowMs;
    }
    this.lastTickMs = nowMs;
  }

  /** Whether data that is read now can have arrived long ago. */
  mayReadLate(nowMs: number): boolean {
    return this.standsStill(nowMs) || nowMs - this.endedMs < CATCH_UP_MS;
  }

  private standsStill(nowMs: number): boolean {
    return nowMs - this.lastTickMs >= MIN_STANDSTILL_MS;
  }
}
