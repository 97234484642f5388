interface Wait {
  readonly endedMs: number;
  readonly waitMs: number;
}

/** Waits count for this long: about the time for which an engine is busy with one output. */
const RECENT_MS = 8_000;

/**
 * How long generations waited for room a moment ago, whether they got it or not. Answers callers that
 * are refused in an overload and want to know when to come back.
 */
export class RecentWaits {
  private waits: Wait[] = [];

  /** Notes the end of a wait. */
  recordWait(waitMs: number, nowMs: number): void {
    this.waits.push({ endedMs: nowMs, waitMs });
    this.forgetOld(nowMs);
  }

  /** Mean of the recent waits; 0 without any. */
  meanMs(nowMs: number): number {
    this.forgetOld(nowMs);
    const sumMs = this.waits.reduce((sum, { waitMs }) => sum + waitMs, 0);
    return sumMs / Math.max(1, this.waits.length);
  }

  private forgetOld(nowMs: number): void {
    this.waits = this.waits.filter(({ endedMs }) => nowMs - endedMs < RECENT_MS);
  }
}
