import type { ClaimSettings } from './ClaimSettings.js';

/**
 * Limits the write rate of a slot to one per interval on average, with a burst after an idle time.
 * Checks of the head that replace a write count as writes. Implements the generic cell rate
 * algorithm (GCRA).
 */
export class ClaimWritePacer {
  private theoreticalArrivalMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: Pick<ClaimSettings, 'commitBurst' | 'commitIntervalMs'>) {}

  /** Monotonic time from which the next write may start. */
  get nextWriteAtMs(): number {
    const { commitBurst, commitIntervalMs } = this.settings;
    return this.theoreticalArrivalMs - (commitBurst - 1) * commitIntervalMs;
  }

  /** Records the start of a write. */
  recordWrite(nowMs: number): void {
    this.theoreticalArrivalMs =
      Math.max(nowMs, this.theoreticalArrivalMs) + this.settings.commitIntervalMs;
  }
}
