/** Options of a gap estimator. */
export interface GapEstimatorOptions {
  /** Suspicion is never raised later. */
  readonly ceilingMs?: number;
  /** Deviations above the mean at which a gap is suspect. */
  readonly deviations?: number;
  /** Suspicion is never raised sooner. */
  readonly floorMs?: number;
  /** Used until the first gap was seen. */
  readonly initialMs?: number;
}

const DEFAULT_DEVIATIONS = 6;
const DEFAULT_FLOOR_MS = 250;
const DEFAULT_INITIAL_MS = 2_000;
const DEFAULT_CEILING_MS = 10_000;
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** A rare long gap is remembered longer than it took to learn. */
const DEVIATION_DECAY = 1 / 32;

/** Estimates the usual gap between two events, and from which gap on to suspect that one is lost. */
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

  /** Takes a gap that was seen. */
  recordGap(gapMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = gapMs;
      this.deviationMs = gapMs / 2;
      return;
    }
    const error = gapMs - this.meanMs;
    this.meanMs += MEAN_GAIN * error;
    const excess = Math.abs(error) - this.deviationMs;
    this.deviationMs += (excess > 0 ? DEVIATION_GAIN : DEVIATION_DECAY) * excess;
  }

  /** The gap from which on to ask. */
  suspicionTimeoutMs(): number {
    if (this.meanMs === undefined) {
      return this.initialMs;
    }
    const suspectMs = this.meanMs + this.deviations * this.deviationMs;
    return Math.min(this.ceilingMs, Math.max(this.floorMs, suspectMs));
  }
}
