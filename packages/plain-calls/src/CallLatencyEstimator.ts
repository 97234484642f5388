/** Options of the latency estimates. */
export interface CallLatencyEstimatorOptions {
  /** Durations kept for each call. */
  readonly maxSamples?: number;
  /** Calls of which durations are kept; the one unused for longest is dropped first. */
  readonly maxCalls?: number;
  /** Durations before there is an estimate. */
  readonly minSamples?: number;
}

interface Samples {
  readonly durationsMs: number[];
  next: number;
}

const DEFAULT_KEPT_SAMPLES = 128;
const DEFAULT_MAX_CALLS = 2_000;
const DEFAULT_MIN_SAMPLES = 20;
const HEDGE_QUANTILE = 0.95;

/** Estimates from which duration on a call counts as slow: its 95th percentile so far. */
export class CallLatencyEstimator {
  private readonly keptSamples: number;
  private readonly maxCalls: number;
  private readonly minSamples: number;
  private readonly samples = new Map<string, Samples>();

  constructor(options: CallLatencyEstimatorOptions = {}) {
    this.keptSamples = options.maxSamples ?? DEFAULT_KEPT_SAMPLES;
    this.maxCalls = options.maxCalls ?? DEFAULT_MAX_CALLS;
    this.minSamples = options.minSamples ?? DEFAULT_MIN_SAMPLES;
  }

  /** Notes how long a call took. */
  recordDuration(call: string, durationMs: number): void {
    const samples = this.samples.get(call) ?? { durationsMs: [], next: 0 };
    this.samples.delete(call);
    this.samples.set(call, samples);
    samples.durationsMs[samples.next] = durationMs;
    samples.next = (samples.next + 1) % this.keptSamples;
    if (this.samples.size > this.maxCalls) {
      this.samples.delete(this.samples.keys().next().value ?? call);
    }
  }

  /** The 95th percentile in milliseconds; undefined while too few calls were seen. */
  slowThresholdMs(call: string): number | undefined {
    const durationsMs = this.samples.get(call)?.durationsMs;
    if (durationsMs === undefined || durationsMs.length < this.minSamples) {
      return undefined;
    }
    const sorted = [...durationsMs].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * HEDGE_QUANTILE) - 1];
  }
}
