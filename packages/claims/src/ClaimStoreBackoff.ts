import type { RandomSource } from '@laburnumgap/kernel';
import type { ClaimSettings } from './ClaimSettings.js';

/** Exponential backoff of a slot's store calls: the delay doubles with each consecutive failure. */
export class ClaimStoreBackoff {
  private backoffUntilMs = Number.NEGATIVE_INFINITY;
  private delayMs = 0;

  constructor(
    private readonly settings: Pick<ClaimSettings, 'backoffMaxMs' | 'backoffMinMs'>,
    private readonly random: RandomSource,
  ) {}

  /** Milliseconds until the store may be called again, 0 when it may be called now. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.backoffUntilMs - nowMs);
  }

  /** Records a failure. Returns the delay to suggest to clients, in milliseconds, with jitter. */
  recordFailure(nowMs: number): number {
    const { backoffMaxMs, backoffMinMs } = this.settings;
    this.delayMs = Math.min(Math.max(this.delayMs * 2, backoffMinMs), backoffMaxMs);
    this.backoffUntilMs = nowMs + this.delayMs;
    return this.delayMs * (1 + this.random.nextUnit());
  }

  /** Records a successful call, which ends the backoff. */
  recordSuccess(): void {
    this.delayMs = 0;
    this.backoffUntilMs = Number.NEGATIVE_INFINITY;
  }
}
