/** Outputs longer than this all fall into the last bucket. */
export const MAX_DISTINGUISHED_TOKENS = 200_000;

/** Ratio of the bounds of adjacent buckets. */
const BUCKET_GROWTH = 1.3;

/** Inclusive upper bounds of the length buckets in tokens, in ascending order. */
export const LENGTH_BUCKET_BOUNDS_TOKENS: readonly number[] = computeBucketBounds();

/** Number of length buckets. */
export const LENGTH_BUCKET_COUNT = LENGTH_BUCKET_BOUNDS_TOKENS.length;

/**
 * Finds the bucket of an output length.
 *
 * @param tokens - the output length in tokens
 * @returns the index of the first bucket whose bound is not below the length, or of the last bucket
 */
export function lengthBucketOf(tokens: number): number {
  let low = 0;
  let high = LENGTH_BUCKET_COUNT - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (bucketBoundTokens(middle) >= tokens) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

/**
 * Returns the upper bound of a bucket.
 *
 * @param bucket - index of the bucket
 * @returns the bound in tokens; 0 for an index out of range
 */
export function bucketBoundTokens(bucket: number): number {
  return LENGTH_BUCKET_BOUNDS_TOKENS[bucket] ?? 0;
}

function computeBucketBounds(): number[] {
  const bounds = [1];
  let bound = 1;
  while (bound < MAX_DISTINGUISHED_TOKENS) {
    bound = Math.max(bound + 1, Math.round(bound * BUCKET_GROWTH));
    bounds.push(bound);
  }
  return bounds;
}
