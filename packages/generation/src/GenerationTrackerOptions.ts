import type { GenerationId } from '@laburnumgap/kernel';
import type { ContinuationPolicy } from './ContinuationPolicy.js';

/** Options of a generation tracker. */
export interface GenerationTrackerOptions {
  /** Whether the caller gets all tokens at once, when the answer is complete. */
  readonly buffered?: boolean;
  readonly generationId: GenerationId;
  /** Texts of the leading tokens, as far as they are known already. */
  readonly knownTexts?: readonly string[];
  /** Consecutive failures without a new token that the generation survives. */
  readonly maxFailuresWithoutProgress?: number;
  /** How long a generation that was started before looks for another engine. */
  readonly placementTimeoutMs?: number;
  readonly policy?: ContinuationPolicy;
  /** Index of the first token to deliver; the caller has received the ones before. */
  readonly resumeFromIndex?: number;
  /** Number of the latest attempt that is known to have started; 0 for none. */
  readonly startedAttempt?: number;
}
