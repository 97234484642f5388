const MS_PER_SECOND = 1000;

/** Token bucket that holds the calls of one second. */
export class RateLimiter {
  readonly #perSecond: number;
  #availableCalls: number;
  #updatedAtMs: number | undefined;

  constructor(perSecond = Infinity) {
    this.#perSecond = perSecond;
    this.#availableCalls = perSecond;
  }

  /** Takes one call from the bucket; returns false when the rate is exceeded. */
  tryAcquire(nowMs: number): boolean {
    if (this.#perSecond === Infinity) {
      return true;
    }
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#updatedAtMs = nowMs;
    const refill = (elapsedMs * this.#perSecond) / MS_PER_SECOND;
    this.#availableCalls = Math.min(this.#perSecond, this.#availableCalls + refill);
    if (this.#availableCalls < 1) {
      return false;
    }
    this.#availableCalls -= 1;
    return true;
  }
}
