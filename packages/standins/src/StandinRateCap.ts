const MS_PER_SECOND = 1000;

/** Refuses calls above a rate, with a burst of one second. */
export class RateCap {
  readonly #perSecond: number;
  #left: number;
  #updatedAtMs: number | undefined;

  constructor(perSecond = Infinity) {
    this.#perSecond = perSecond;
    this.#left = perSecond;
  }

  /** Whether one more call is within the rate; counts it. */
  take(nowMs: number): boolean {
    if (this.#perSecond === Infinity) {
      return true;
    }
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#updatedAtMs = nowMs;
    const refill = (elapsedMs * this.#perSecond) / MS_PER_SECOND;
    this.#left = Math.min(this.#perSecond, this.#left + refill);
    if (this.#left < 1) {
      return false;
    }
    this.#left -= 1;
    return true;
  }
}
