/** Short periods in which engines take longer, over all engines of a service. */
export interface SlowPeriodPattern {
  /** Time of a step in a slow period against its usual time. */
  readonly factor: number;
  /** Share of the time that is slow. */
  readonly share: number;
}

/** Used until enough slices were observed; the same pattern that tests replay. */
const DEFAULT_PATTERN: SlowPeriodPattern = { factor: 2.5, share: 0.15 };
/** Fewest observed time slices by which the pattern is learned. */
const MIN_SLICES = 200;
/** Halving all counts from here on makes the pattern follow changes over some minutes. */
const MAX_SLICES = 4_000;
const BIN_WIDTH = 0.1;
/** Ratios from here on are counted together: pauses that no slow period explains. */
const MAX_RATIO = 6;
/** Share of the slices below the typical factor; less than two thirds of the slow ones are above it. */
const FACTOR_QUANTILE = 0.95;
/** Slices above this part of the factor count as slow; prefill that was not known stays below it. */
const SLOW_FRACTION = 0.85;
/** Below this factor the differences are scatter. */
const MIN_FACTOR = 1.3;

/**
 * Learns by how much engines slow down for short periods and how often, from the ratios of time slices
 * to the usual time of their engine. The pattern is a property of the service, so that all engines
 * contribute to one histogram of fixed size.
 */
export class SlowPeriods {
  private readonly bins: number[] = Array.from({ length: binOf(MAX_RATIO) + 1 }, () => 0);
  private sliceCount = 0;

  /** Records the time of a slice relative to the usual time of its engine. */
  record(ratio: number): void {
    const bin = binOf(Math.min(MAX_RATIO, ratio));
    this.bins[bin] = (this.bins[bin] ?? 0) + 1;
    this.sliceCount += 1;
    if (this.sliceCount >= MAX_SLICES) {
      this.bins.forEach((count, index) => {
        this.bins[index] = count / 2;
      });
      this.sliceCount /= 2;
    }
  }

  /** The pattern as learned so far. */
  pattern(): SlowPeriodPattern {
    if (this.sliceCount < MIN_SLICES) {
      return DEFAULT_PATTERN;
    }
    const factor = this.ratioAt(FACTOR_QUANTILE);
    if (factor < MIN_FACTOR) {
      return { factor, share: 0 };
    }
    const slowCount = this.bins
      .slice(binOf(factor * SLOW_FRACTION))
      .reduce((sum, count) => sum + count, 0);
    return { factor, share: slowCount / this.sliceCount };
  }

  private ratioAt(quantile: number): number {
    let remaining = quantile * this.sliceCount;
    const bin = this.bins.findIndex((count) => {
      remaining -= count;
      return remaining <= 0;
    });
    return (Math.max(0, bin) + 0.5) * BIN_WIDTH;
  }
}

function binOf(ratio: number): number {
  return Math.floor(ratio / BIN_WIDTH);
}
