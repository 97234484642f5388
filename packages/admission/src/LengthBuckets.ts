/** Longest output that is told apart. */
export const LONGEST_OUTPUT_TOKENS = 200_000;

const BUCKET_GROWTH = 1.3;

/** Upper bounds of the length buckets in tokens, each about a third above the one before. */
export const LENGTH_BUCKET_BOUNDS_TOKENS: readonly number[] = bucketBounds();

/** Number of length buckets. */
export const LENGTH_BUCKETS = LENGTH_BUCKET_BOUNDS_TOKENS.length;

/**
 * Finds the bucket of a length.
 *
 * @param tokens - the length
 * @returns the index of the first bucket whose bound is at least the length
 */
export function lengthBucketOf(tokens: number): number {
  let low = 0;
  let high = LENGTH_BUCKETS - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (boundOf(middle) >= tokens) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

/**
 * Upper bound of a bucket; 0 for the index before the first.
 *
 * @param bucket - index of the bucket
 * @returns the bound in tokens
 */
export function boundOf(bucket: number): number {
  return LENGTH_BUCKET_BOUNDS_TOKENS[bucket] ?? 0;
}

function bucketBounds(): number[] {
  const bounds = [1];
  let bound = 1;
  while (bound < LONGEST_OUTPUT_TOKENS) {
    bound = Math.max(bound + 1, Math.round(bound * BUCKET_GROWTH));
    bounds.push(bound);
  }
  return bounds;
}
