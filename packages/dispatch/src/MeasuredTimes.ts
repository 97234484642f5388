import { RecencyMap } from './RecencyMap.js';

/** Usual value of a measured time, and its mean distance from that. */
export interface MeasuredTime {
  readonly deviationMs: number;
  readonly meanMs: number;
}

/** Weight of the newest value: rare slow requests are remembered for dozens of others. */
const SMOOTHING_FACTOR = 0.05;
/** Part of a first value that counts as its deviation. */
const FIRST_DEVIATION_FRACTION = 0.5;
/** More kinds than a configuration usually has routes. */
const MAX_KINDS = 512;

/** Moving mean and mean deviation of times, by kind of request. */
export class MeasuredTimes {
  private readonly times = new RecencyMap<string, MeasuredTime>(MAX_KINDS);

  /** Records a time of one kind of request. */
  record(kind: string, tookMs: number): void {
    const known = this.times.get(kind);
    if (!known) {
      this.times.set(kind, { deviationMs: tookMs * FIRST_DEVIATION_FRACTION, meanMs: tookMs });
      return;
    }
    const { deviationMs, meanMs } = known;
    const distanceMs = Math.abs(tookMs - meanMs);
    this.times.set(kind, {
      deviationMs: deviationMs + (distanceMs - deviationMs) * SMOOTHING_FACTOR,
      meanMs: meanMs + (tookMs - meanMs) * SMOOTHING_FACTOR,
    });
  }

  /** What was measured of a kind of request; undefined as long as nothing was. */
  of(kind: string): MeasuredTime | undefined {
    return this.times.get(kind);
  }
}
