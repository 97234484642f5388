import type { Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { PLACEMENT_RETRY_MS } from './GenerationConstants.js';

/**
 * Builds the error that ends a generation which cannot be continued.
 *
 * @param deliveredTokens - tokens that the caller may have
 * @param detail - why it cannot be continued
 * @param retryAfterMs - when to come back, if that is known
 * @returns the error, which says how much is valid
 */
export function earlyEndOf(
  deliveredTokens: number,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  if (deliveredTokens === 0) {
    return refusal('UPSTREAM_FAILED', detail, retryAfterMs ?? PLACEMENT_RETRY_MS);
  }
  const text = `${detail}; ${deliveredTokens} tokens (0 to ${deliveredTokens - 1}) are valid`;
  return refusal('GENERATION_ENDED_EARLY', text, retryAfterMs);
}
