import type { ClaimSettings } from './ClaimSettings.js';

/** Spaces the writes of a slot: a burst after a quiet time, one an interval on average. */
export class ClaimWritePacer {
  private debtUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: Pick<ClaimSettings, 'commitBurst' | 'commitIntervalMs'>) {}

  /** From when the next write may start. */
  get nextWriteAtMs(): number {
    const { commitBurst, commitIntervalMs } = this.settings;
    return this.debtUntilMs - (commitBurst - 1) * commitIntervalMs;
  }

  /** Notes that a write starts. */
  recordWrite(nowMs: number): void {
    this.debtUntilMs = Math.max(nowMs, this.debtUntilMs) + this.settings.commitIntervalMs;
  }
}
