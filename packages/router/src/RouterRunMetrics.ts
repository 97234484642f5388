import type { Metrics } from '@laburnumgap/telemetry';
import { GAP_SAMPLE_INTERVAL_TOKENS } from './RouterConstants.js';

/** Measures one generation as its caller meets it. */
export class RouterRunMetrics {
  private lastTokenAtMs: number | undefined;
  private maxGapMs = 0;
  private stallMs = 0;
  private tokens = 0;

  constructor(
    private readonly metrics: Metrics,
    private readonly startedAtMs: number,
  ) {}

  /** Notes that a token is there; a gap beyond the usual one counts as a stall. */
  noteToken(nowMs: number, stallThresholdMs: number): void {
    this.tokens += 1;
    if (this.lastTokenAtMs === undefined) {
      this.metrics.observe('first_token_ms', nowMs - this.startedAtMs);
    } else {
      this.noteGap(nowMs - this.lastTokenAtMs, stallThresholdMs);
    }
    this.lastTokenAtMs = nowMs;
  }

  /** Notes a preemption, whoever decided it. */
  notePreemption(cause: string): void {
    this.metrics.increment('preemptions', 1, { cause });
  }

  /** Reports the totals. */
  reportTotals(): void {
    this.metrics.observe('stall_ms', this.stallMs);
    this.metrics.observe('max_token_gap_ms', this.maxGapMs);
    this.metrics.increment('tokens', this.tokens);
  }

  private noteGap(gapMs: number, stallThresholdMs: number): void {
    this.maxGapMs = Math.max(this.maxGapMs, gapMs);
    if (gapMs > stallThresholdMs) {
      this.stallMs += gapMs;
    }
    if (this.tokens % GAP_SAMPLE_INTERVAL_TOKENS === 0) {
      this.metrics.observe('token_gap_ms', gapMs);
    }
  }
}
