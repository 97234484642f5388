/** Samples of one quantity, each for a span of time. */
interface SpeedSample {
  readonly atMs: number;
  readonly value: number;
  /** Number of observed time slices that the sample stands for. */
  readonly weight: number;
}

/** Options of {@link SpeedSamples}. */
export interface SpeedSamplesOptions {
  /** Samples above this age never count. */
  readonly maxAgeMs: number;
  /** Older samples than `windowMs` count only until this weight is reached. */
  readonly minWeight: number;
  /** Share of the samples, by weight, that lie below the estimate. */
  readonly quantile: number;
  /** Samples of this time always count. */
  readonly windowMs: number;
}

/** An estimate with what it is based on. */
export interface SpeedEstimate {
  /** Age of the latest sample. */
  readonly ageMs: number;
  readonly value: number;
  readonly weight: number;
}

/** Bounds the memory of the engines that many daemons observe. */
const MAX_SAMPLES = 96;

/**
 * Estimates a quantity by a quantile over the samples of some seconds. Samples count by the time that
 * they stand for, so that a short slow period with few events, or many, has the weight of its length.
 * Engines that are observed rarely keep older samples until there are enough.
 */
export class SpeedSamples {
  /** In order of time. */
  private readonly samples: SpeedSample[] = [];

  constructor(private readonly options: SpeedSamplesOptions) {}

  /** Adds a sample; samples may arrive out of order by the delay of reports. */
  record(value: number, weight: number, atMs: number): void {
    const laterCount = countFromEnd(this.samples, (sample) => sample.atMs > atMs);
    this.samples.splice(this.samples.length - laterCount, 0, { atMs, value, weight });
    if (this.samples.length > MAX_SAMPLES) {
      this.samples.shift();
    }
  }

  /**
   * Estimates the quantity.
   *
   * @param nowMs - monotonic time
   * @returns the estimate, or undefined without samples that count
   */
  estimate(nowMs: number): SpeedEstimate | undefined {
    const { maxAgeMs, quantile } = this.options;
    while (this.samples[0] && nowMs - this.samples[0].atMs > maxAgeMs) {
      this.samples.shift();
    }
    const latest = this.samples.at(-1);
    if (!latest) {
      return undefined;
    }
    const counting = this.countingSamples(nowMs);
    const weight = counting.reduce((sum, sample) => sum + sample.weight, 0);
    const byValue = counting.sort((a, b) => a.value - b.value);
    let remaining = weight * quantile;
    const found = byValue.find((sample) => {
      remaining -= sample.weight;
      return remaining <= 0;
    });
    return {
      ageMs: Math.max(0, nowMs - latest.atMs),
      value: found?.value ?? latest.value,
      weight,
    };
  }

  /** The samples of the window, and older ones until there are enough. */
  private countingSamples(nowMs: number): SpeedSample[] {
    const { minWeight, windowMs } = this.options;
    let weight = 0;
    const count = countFromEnd(this.samples, (sample) => {
      const counts = nowMs - sample.atMs <= windowMs || weight < minWeight;
      weight += sample.weight;
      return counts;
    });
    return this.samples.slice(this.samples.length - count);
  }
}

/** Number of samples at the end of a list that fulfil a condition. */
function countFromEnd(
  samples: readonly SpeedSample[],
  fulfils: (sample: SpeedSample) => boolean,
): number {
  let count = 0;
  for (let index = samples.length - 1; index >= 0; index -= 1) {
    const sample = samples[index];
    if (!sample || !fulfils(sample)) {
      return count;
    }
    count += 1;
  }
  return count;
}
