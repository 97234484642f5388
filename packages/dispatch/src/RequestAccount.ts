/** Decision on one request to a server that limits its requests. */
export type PermitDecision =
  | { readonly kind: 'declined'; readonly retryAfterMs: number }
  /** The request must be sent `waitMs` from now. */
  | { readonly kind: 'granted'; readonly waitMs: number };

const MS_PER_S = 1_000;
/** Keeps rounding errors from adding a millisecond. */
const ROUNDING_MS = 1e-6;
/** A limit counts requests a second, so that a second's worth may arrive at once. */
const MAX_SAVED_S = 1;
/** Without any request nobody would learn that a server takes requests again. */
const MIN_REQUESTS_PER_S = 0.1;

/**
 * Counts the requests to one server against its limit (token bucket). Starts without saved requests,
 * because the previous holder of the account may have spent them. A request that can wait reserves one
 * that is not saved up yet.
 */
export class RequestAccount {
  private balance = 0;

  constructor(private updatedMs: number) {}

  /**
   * Takes one request from the account.
   *
   * @param requestsPerS - the limit that applies now
   * @param maxWaitMs - how long the request can wait
   * @param nowMs - monotonic time
   * @returns the decision; a declined request was not counted
   */
  take(requestsPerS: number, maxWaitMs: number, nowMs: number): PermitDecision {
    const rate = Math.max(MIN_REQUESTS_PER_S, requestsPerS);
    const earned = (Math.max(0, nowMs - this.updatedMs) / MS_PER_S) * rate;
    this.balance = Math.min(Math.max(1, rate * MAX_SAVED_S), this.balance + earned);
    this.updatedMs = nowMs;
    const dueInMs = ((1 - this.balance) / rate) * MS_PER_S;
    const waitMs = Math.max(0, Math.ceil(dueInMs - ROUNDING_MS));
    if (waitMs > maxWaitMs) {
      return { kind: 'declined', retryAfterMs: waitMs };
    }
    this.balance -= 1;
    return { kind: 'granted', waitMs };
  }
}
