import type { PromptShape } from './PromptShape.js';

/** Output of one run in two seconds; on a full engine another run usually ends in that time. */
export const RESERVED_GROWTH_TOKENS = 200;
/** Output lengths have a long tail: their mean is above the median that callers state. */
const MEAN_TO_MEDIAN_RATIO = 1.3;
/** An output that exceeds its estimate is expected to reach this multiple of its length so far. */
const OUTGROWN_LENGTH_FACTOR = 1.6;

/**
 * Estimates the total output tokens of a generation.
 *
 * @param prompt - the request
 * @param producedTokens - output tokens so far
 * @returns expected length of the whole output
 */
export function plannedOutputTokens(prompt: PromptShape, producedTokens: number): number {
  const medianTokens = prompt.expectedOutputTokens ?? prompt.maxOutputTokens / 2;
  const planned = Math.max(
    medianTokens * MEAN_TO_MEDIAN_RATIO,
    producedTokens * OUTGROWN_LENGTH_FACTOR,
  );
  return Math.min(prompt.maxOutputTokens, planned);
}

/**
 * Output tokens for which KV cache is reserved. While one output grows, others end and free more
 * than it takes, so only the growth of a short time is reserved.
 *
 * @param prompt - the request
 * @param producedTokens - output tokens so far
 * @returns tokens so far plus the reserved growth
 */
export function reservedOutputTokens(prompt: PromptShape, producedTokens: number): number {
  const remaining = plannedOutputTokens(prompt, producedTokens) - producedTokens;
  return producedTokens + Math.min(RESERVED_GROWTH_TOKENS, Math.max(0, remaining));
}
