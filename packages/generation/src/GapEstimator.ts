/** Options of a gap estimator. */
export interface GapEstimatorOptions {
  /** Upper limit of the timeout. */
  readonly ceilingMs?: number;
  /** The timeout is the mean gap plus this many deviations. */
  readonly deviations?: number;
  /** Lower limit of the timeout. */
  readonly floorMs?: number;
  /** Timeout until the first gap was recorded. */
  readonly initialMs?: number;
}

const DEFAULT_DEVIATIONS = 6;
const DEFAULT_FLOOR_MS = 250;
const DEFAULT_INITIAL_MS = 2_000;
const DEFAULT_CEILING_MS = 10_000;
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Smaller than the gain, so that a rare long gap keeps the timeout up for longer. */
const DEVIATION_DECAY = 1 / 32;

/**
 * Estimates the gap between two events from its moving mean and deviation, as TCP does for round
 * trips, and after which silence to suspect that an event was lost.
 */
export class GapEstimator {
  private readonly ceilingMs: number;
  private readonly deviations: number;
  private deviationMs = 0;
  private readonly floorMs: number;
  private readonly initialMs: number;
  private meanMs: number | undefined;

  constructor(options: GapEstimatorOptions = {}) {
    this.ceilingMs = options.ceilingMs ?? DEFAULT_CEILING_MS;
    this.deviations = options.deviations ?? DEFAULT_DEVIATIONS;
    this.floorMs = options.floorMs ?? DEFAULT_FLOOR_MS;
    this.initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
  }

  /** Records the gap before an event that arrived. */
  recordGap(gapMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = gapMs;
      this.deviationMs = gapMs / 2;
      return;
    }
    const errorMs = gapMs - this.meanMs;
    this.meanMs += MEAN_GAIN * errorMs;
    const excessMs = Math.abs(errorMs) - this.deviationMs;
    this.deviationMs += (excessMs > 0 ? DEVIATION_GAIN : DEVIATION_DECAY) * excessMs;
  }

  /** Silence in milliseconds after which the engine's status is to be queried. */
  suspicionTimeoutMs(): number {
    if (this.meanMs === undefined) {
      return this.initialMs;
    }
    const timeoutMs = this.meanMs + this.deviations * this.deviationMs;
    return Math.min(this.ceilingMs, Math.max(this.floorMs, timeoutMs));
  }
}
