import { LENGTH_BUCKETS, boundOf, lengthBucketOf } from './LengthBuckets.js';

/** Smallest chance used as a divisor. */
const SMALLEST_CHANCE = 1e-9;

/** An output length distribution, read as the chance that an output goes on. */
export class LengthCurve {
  /** Chance of an output longer than the bound before each bucket. */
  private readonly tail: Float64Array;

  /**
   * @param shares - probability of each length bucket
   */
  constructor(shares: ArrayLike<number>) {
    this.tail = new Float64Array(LENGTH_BUCKETS + 1);
    for (let bucket = LENGTH_BUCKETS - 1; bucket >= 0; bucket -= 1) {
      this.tail[bucket] = (this.tail[bucket + 1] ?? 0) + (shares[bucket] ?? 0);
    }
  }

  /** Chance of an output longer than `tokens`. */
  chanceBeyond(tokens: number): number {
    const bucket = lengthBucketOf(tokens);
    const lower = bucket === 0 ? 0 : boundOf(bucket - 1);
    const upper = boundOf(bucket);
    const before = this.tail[bucket] ?? 0;
    const after = this.tail[bucket + 1] ?? 0;
    const position = Math.min(1, (tokens - lower) / (upper - lower));
    return before + (after - before) * position;
  }

  /** Chance that an output which has reached `producedTokens` grows by more than `stepTokens`. */
  chanceOfGrowth(producedTokens: number, stepTokens: number): number {
    const reached = this.chanceBeyond(producedTokens);
    if (reached < SMALLEST_CHANCE) {
      return 0;
    }
    return this.chanceBeyond(producedTokens + stepTokens) / reached;
  }

  /**
   * Expected further tokens of an output that has reached `producedTokens`.
   *
   * @param producedTokens - tokens so far
   * @param maxTokens - the caller's bound
   * @returns the mean remaining length
   */
  expectedRemaining(producedTokens: number, maxTokens: number): number {
    const reached = this.chanceBeyond(producedTokens);
    if (reached < SMALLEST_CHANCE || maxTokens <= producedTokens) {
      return 0;
    }
    let sum = 0;
    let from = producedTokens;
    let chance = reached;
    for (let bucket = lengthBucketOf(producedTokens + 1); bucket < LENGTH_BUCKETS; bucket += 1) {
      const to = Math.min(boundOf(bucket), maxTokens);
      const chanceAtEnd = this.chanceBeyond(to);
      sum += ((chance + chanceAtEnd) / 2) * Math.max(0, to - from);
      if (to === maxTokens) {
        break;
      }
      from = to;
      chance = chanceAtEnd;
    }
    return sum / reached;
  }
}
