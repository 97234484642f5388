import type { Metrics } from '@laburnumgap/telemetry';
import { GAP_SAMPLE_INTERVAL_TOKENS } from './RouterConstants.js';

/** Latency metrics of one generation as its caller observes them. */
export class RouterRunMetrics {
  private lastTokenAtMs: number | undefined;
  private maxGapMs = 0;
  private stallMs = 0;
  private tokens = 0;

  constructor(
    private readonly metrics: Metrics,
    private readonly startedAtMs: number,
  ) {}

  /** Counts a token; a gap longer than the threshold counts as a stall. */
  recordToken(nowMs: number, stallThresholdMs: number): void {
    this.tokens += 1;
    if (this.lastTokenAtMs === undefined) {
      this.metrics.observe('first_token_ms', nowMs - this.startedAtMs);
    } else {
      this.recordGap(nowMs - this.lastTokenAtMs, stallThresholdMs);
    }
    this.lastTokenAtMs = nowMs;
  }

  /** Counts a preemption by its cause: the engine or its scheduler. */
  recordPreemption(cause: string): void {
    this.metrics.increment('preemptions', 1, { cause });
  }

  /** Reports the totals once the generation has ended. */
  reportTotals(): void {
    this.metrics.observe('stall_ms', this.stallMs);
    this.metrics.observe('max_token_gap_ms', this.maxGapMs);
    this.metrics.increment('tokens', this.tokens);
  }

  private recordGap(gapMs: number, stallThresholdMs: number): void {
    this.maxGapMs = Math.max(this.maxGapMs, gapMs);
    if (gapMs > stallThresholdMs) {
      this.stallMs += gapMs;
    }
    if (this.tokens % GAP_SAMPLE_INTERVAL_TOKENS === 0) {
      this.metrics.observe('token_gap_ms', gapMs);
    }
  }
}
