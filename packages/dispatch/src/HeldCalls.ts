/** Weight of the newest interval in the moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Longer intervals show that nothing waited, not that the servers are slow. */
const MAX_INTERVAL_MS = 2_000;

/** Fraction of the time until the final response that a call waits for room at a server. */
const MAX_WAIT_FRACTION = 0.6;
/** Interval at which the most urgent calls that can still be on time look for room. */
const ON_TIME_RECHECK_MS = 10;
/** Added to that interval for each priority rank. */
const RECHECK_MS_PER_RANK = 10;
/** Late calls take the room that others leave. */
const LATE_RECHECK_MS = 200;

/** Input of {@link decideHold}. */
export interface HoldInput {
  /** Time that the call is expected to wait from now on; 0 when it waits already. */
  readonly expectedWaitMs: number;
  readonly targetLatencyMs: number;
  /** Time from the arrival of the call until its final response must be sent. */
  readonly timeoutMs: number;
  /** Priority rank of the team or route; 0 is the most urgent. */
  readonly urgency: number;
  readonly waitedMs: number;
}

/**
 * Decides whether a call waits until a server has room. More urgent calls look for room more often, and
 * late ones rarely.
 *
 * @param input - the call and its times
 * @returns milliseconds until it looks again; undefined when it could not be answered in time
 */
export function decideHold(input: HoldInput): number | undefined {
  const { expectedWaitMs, targetLatencyMs, timeoutMs, urgency, waitedMs } = input;
  if (waitedMs + expectedWaitMs >= MAX_WAIT_FRACTION * timeoutMs) {
    return undefined;
  }
  return waitedMs < targetLatencyMs
    ? ON_TIME_RECHECK_MS + urgency * RECHECK_MS_PER_RANK
    : LATE_RECHECK_MS;
}

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
