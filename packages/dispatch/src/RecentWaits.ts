interface Wait {
  readonly endedAtMs: number;
  readonly waitMs: number;
}

/** Waits count for this long after they ended: about the time that an engine runs one output. */
const WINDOW_MS = 8_000;

/**
 * How long generations recently waited for capacity, whether they got it or not. Callers that are
 * refused in an overload are told to retry after this time.
 */
export class RecentWaits {
  private waits: Wait[] = [];

  /** Records a wait that has just ended. */
  recordWait(waitMs: number, nowMs: number): void {
    this.waits.push({ endedAtMs: nowMs, waitMs });
    this.dropExpired(nowMs);
  }

  /** Mean of the recent waits in milliseconds; 0 without any. */
  meanMs(nowMs: number): number {
    this.dropExpired(nowMs);
    const sumMs = this.waits.reduce((sum, { waitMs }) => sum + waitMs, 0);
    return sumMs / Math.max(1, this.waits.length);
  }

  private dropExpired(nowMs: number): void {
    this.waits = this.waits.filter(({ endedAtMs }) => nowMs - endedAtMs < WINDOW_MS);
  }
}
