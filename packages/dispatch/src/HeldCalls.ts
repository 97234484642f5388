/** Weight of the newest interval in the moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Longer intervals show that nothing waited, not that the servers are slow. */
const MAX_INTERVAL_MS = 2_000;

/** Calls to one service that wait in this daemon for a server with room. */
export class HeldCalls {
  private lastStartedMs: number | undefined;
  private meanIntervalMs: number | undefined;
  private waitingCount = 0;

  /** Records that a call waits. */
  add(): void {
    this.waitingCount += 1;
  }

  /** Records that a call waits no longer. */
  remove(): void {
    this.waitingCount -= 1;
  }

  /** Records that a call was sent to a server. */
  recordStarted(nowMs: number): void {
    if (this.lastStartedMs !== undefined && this.waitingCount > 0) {
      const intervalMs = Math.min(MAX_INTERVAL_MS, nowMs - this.lastStartedMs);
      const meanMs = this.meanIntervalMs ?? intervalMs;
      this.meanIntervalMs = meanMs + (intervalMs - meanMs) * SMOOTHING_FACTOR;
    }
    this.lastStartedMs = nowMs;
  }

  /**
   * Time that one more call is expected to wait behind those that wait already.
   *
   * @returns milliseconds; 0 as long as the rate of the servers is unknown
   */
  expectedWaitMs(): number {
    return this.waitingCount * (this.meanIntervalMs ?? 0);
  }
}
