import type { GenerationId } from '@laburnumgap/kernel';
import type { ContinuationPolicy } from './ContinuationPolicy.js';

/** Options of a tracker. */
export interface GenerationTrackerOptions {
  /** Whether tokens reach the caller only once the answer is whole. */
  readonly buffered?: boolean;
  /** Index of the first token that the caller wants; it has the ones before. */
  readonly resumeFromIndex?: number;
  readonly generationId: GenerationId;
  /** Texts of leading tokens that are known already. */
  readonly knownTexts?: readonly string[];
  readonly maxFailuresWithoutProgress?: number;
  readonly placementTimeoutMs?: number;
  readonly policy?: ContinuationPolicy;
  /** Number of the latest attempt that is known to have been started; 0 for none. */
  readonly startedAttempt?: number;
}
