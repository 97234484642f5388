import type { Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { PLACEMENT_RETRY_MS } from './GenerationConstants.js';

/**
 * Creates the refusal that ends a generation which cannot be continued.
 *
 * @param deliveredTokens - number of tokens that the caller may have received
 * @param detail - why it cannot be continued
 * @param retryAfterMs - delay in milliseconds before a retry, if known
 * @returns the refusal, which states how many tokens are valid
 */
export function createEarlyEndRefusal(
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
