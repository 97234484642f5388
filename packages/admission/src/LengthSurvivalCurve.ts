import { LENGTH_BUCKET_COUNT, bucketBoundTokens, lengthBucketOf } from './LengthBuckets.js';

/** Below this probability, a conditional probability is taken as 0 instead of dividing by it. */
const MIN_SURVIVAL_PROBABILITY = 1e-9;

/** Survival function of output lengths: the probability that an output exceeds a length. */
export class LengthSurvivalCurve {
  /** Probability of an output longer than the lower bound of each bucket. */
  private readonly survivalByBucket: Float64Array;

  /**
   * @param bucketProbabilities - probability of each length bucket
   */
  constructor(bucketProbabilities: ArrayLike<number>) {
    this.survivalByBucket = new Float64Array(LENGTH_BUCKET_COUNT + 1);
    for (let bucket = LENGTH_BUCKET_COUNT - 1; bucket >= 0; bucket -= 1) {
      this.survivalByBucket[bucket] =
        (this.survivalByBucket[bucket + 1] ?? 0) + (bucketProbabilities[bucket] ?? 0);
    }
  }

  /** Probability of an output longer than `tokens`, interpolated linearly within a bucket. */
  survivalProbability(tokens: number): number {
    const bucket = lengthBucketOf(tokens);
    const lowerTokens = bucket === 0 ? 0 : bucketBoundTokens(bucket - 1);
    const upperTokens = bucketBoundTokens(bucket);
    const survivalAtLower = this.survivalByBucket[bucket] ?? 0;
    const survivalAtUpper = this.survivalByBucket[bucket + 1] ?? 0;
    const position = Math.min(1, (tokens - lowerTokens) / (upperTokens - lowerTokens));
    return survivalAtLower + (survivalAtUpper - survivalAtLower) * position;
  }

  /**
   * Probability that an output that has reached `producedTokens` grows by more than `stepTokens`.
   */
  growthProbability(producedTokens: number, stepTokens: number): number {
    const survivalNow = this.survivalProbability(producedTokens);
    if (survivalNow < MIN_SURVIVAL_PROBABILITY) {
      return 0;
    }
    return this.survivalProbability(producedTokens + stepTokens) / survivalNow;
  }

  /**
   * Expected number of further tokens of an output that has reached `producedTokens`.
   *
   * @param producedTokens - tokens produced so far
   * @param maxTokens - the caller's limit on the output length
   * @returns the mean remaining length in tokens
   */
  expectedRemainingTokens(producedTokens: number, maxTokens: number): number {
    const survivalNow = this.survivalProbability(producedTokens);
    if (survivalNow < MIN_SURVIVAL_PROBABILITY || maxTokens <= producedTokens) {
      return 0;
    }
    let expectedTokens = 0;
    let startTokens = producedTokens;
    let startSurvival = survivalNow;
    for (
      let bucket = lengthBucketOf(producedTokens + 1);
      bucket < LENGTH_BUCKET_COUNT;
      bucket += 1
    ) {
      const endTokens = Math.min(bucketBoundTokens(bucket), maxTokens);
      const endSurvival = this.survivalProbability(endTokens);
      expectedTokens += ((startSurvival + endSurvival) / 2) * Math.max(0, endTokens - startTokens);
      if (endTokens === maxTokens) {
        break;
      }
      startTokens = endTokens;
      startSurvival = endSurvival;
    }
    return expectedTokens / survivalNow;
  }
}
