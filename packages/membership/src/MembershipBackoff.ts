import type { RandomSource } from '@laburnumgap/kernel';
import { RETRY_INITIAL_MS, RETRY_MAX_MS } from './MembershipConstants.js';

/** Exponential backoff with jitter: the bound doubles with each consecutive failure. */
export class MembershipBackoff {
  readonly #random: RandomSource;
  #failures = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Returns the delay before the next try, uniform between half the bound and the bound. */
  nextDelayMs(): number {
    const boundMs = Math.min(RETRY_MAX_MS, RETRY_INITIAL_MS * 2 ** this.#failures);
    this.#failures = Math.min(this.#failures + 1, 16);
    return (boundMs * (1 + this.#random.nextUnit())) / 2;
  }

  /** Resets the bound after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
