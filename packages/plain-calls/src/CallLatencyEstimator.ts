/** Options of {@link CallLatencyEstimator}. */
export interface CallLatencyEstimatorOptions {
  /** Durations that are kept of each call; further ones replace the oldest. */
  readonly maxSamples?: number;
  /** Calls whose durations are kept; the least recently used one is dropped first. */
  readonly maxCalls?: number;
  /** Fewest durations for an estimate. */
  readonly minSamples?: number;
}

/** Ring buffer of a call's latest durations. */
interface SampleRing {
  readonly durationsMs: number[];
  nextIndex: number;
}

const DEFAULT_MAX_SAMPLES = 128;
const DEFAULT_MAX_CALLS = 2_000;
const DEFAULT_MIN_SAMPLES = 20;
const SLOW_QUANTILE = 0.95;

/**
 * Estimates from which duration on a call counts as slow, and may be hedged: the 95th percentile of
 * its latest durations.
 */
export class CallLatencyEstimator {
  private readonly maxSamples: number;
  private readonly maxCalls: number;
  private readonly minSamples: number;
  private readonly rings = new Map<string, SampleRing>();

  constructor(options: CallLatencyEstimatorOptions = {}) {
    this.maxSamples = options.maxSamples ?? DEFAULT_MAX_SAMPLES;
    this.maxCalls = options.maxCalls ?? DEFAULT_MAX_CALLS;
    this.minSamples = options.minSamples ?? DEFAULT_MIN_SAMPLES;
  }

  /** Records the duration of a call. */
  recordDuration(callName: string, durationMs: number): void {
    const ring = this.rings.get(callName) ?? { durationsMs: [], nextIndex: 0 };
    this.rings.delete(callName);
    this.rings.set(callName, ring);
    ring.durationsMs[ring.nextIndex] = durationMs;
    ring.nextIndex = (ring.nextIndex + 1) % this.maxSamples;
    if (this.rings.size > this.maxCalls) {
      this.rings.delete(this.rings.keys().next().value ?? callName);
    }
  }

  /** Duration from which the call counts as slow; undefined while there are too few durations. */
  slowThresholdMs(callName: string): number | undefined {
    const durationsMs = this.rings.get(callName)?.durationsMs;
    if (durationsMs === undefined || durationsMs.length < this.minSamples) {
      return undefined;
    }
    const sorted = [...durationsMs].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * SLOW_QUANTILE) - 1];
  }
}
