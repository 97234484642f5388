import type { RandomSource } from '@laburnumgap/kernel';
import { RETRY_INITIAL_MS, RETRY_MAX_MS } from './MembershipConstants.js';

/** Jittered exponential backoff: the bound doubles with each failure in a row. */
export class MembershipBackoff {
  readonly #random: RandomSource;
  #failures = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Wait before the next try, uniform between half the bound and the bound. */
  nextDelayMs(): number {
    const boundMs = Math.min(RETRY_MAX_MS, RETRY_INITIAL_MS * 2 ** this.#failures);
    this.#failures = Math.min(this.#failures + 1, 16);
    return (boundMs * (1 + this.#random.nextUnit())) / 2;
  }

  /** Starts again from the first bound. */
  reset(): void {
    this.#failures = 0;
  }
}
