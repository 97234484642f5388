import type { RandomSource } from '@laburnumgap/kernel';
import type { ClaimSettings } from './ClaimSettings.js';

/** Keeps a slot from asking a store that fails. The pause doubles with each failure in a row. */
export class ClaimStoreBackoff {
  private closedUntilMs = Number.NEGATIVE_INFINITY;
  private pauseMs = 0;

  constructor(
    private readonly settings: Pick<ClaimSettings, 'backoffMaxMs' | 'backoffMinMs'>,
    private readonly random: RandomSource,
  ) {}

  /** How long the store is not asked, 0 when it may be. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.closedUntilMs - nowMs);
  }

  /** Notes a failure; returns when to come back, with jitter. */
  recordFailure(nowMs: number): number {
    const { backoffMaxMs, backoffMinMs } = this.settings;
    this.pauseMs = Math.min(Math.max(this.pauseMs * 2, backoffMinMs), backoffMaxMs);
    this.closedUntilMs = nowMs + this.pauseMs;
    return this.pauseMs * (1 + this.random.nextUnit());
  }

  /** Notes that the store answers. */
  recordSuccess(): void {
    this.pauseMs = 0;
    this.closedUntilMs = Number.NEGATIVE_INFINITY;
  }
}
