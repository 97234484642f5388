import type { GenerationAction, GenerationTracker } from '@laburnumgap/generation';
import type { DecisionRecord, RequestId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';

/** The end of a run whose generation another run has taken over. */
export const SUPERSEDED_END: Extract<GenerationAction, { kind: 'end' }> = {
  kind: 'end',
  refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs'),
};

/**
 * Describes what is done next with a generation, for the decision log.
 *
 * @param action - what is done
 * @param tracker - the generation
 * @param requestId - its request
 * @returns the record; undefined for what is no decision of its own
 */
export function decisionOf(
  action: GenerationAction,
  tracker: GenerationTracker,
  requestId: RequestId,
): DecisionRecord | undefined {
  if (action.kind === 'await' || (action.kind === 'place' && action.attempt === 1)) {
    return undefined;
  }
  const { attempt, nextIndex } = tracker;
  const isPlacement = action.kind === 'place';
  const reason = isPlacement ? action.reason : undefined;
  return {
    decision: isPlacement ? 'retry' : action.kind,
    fields: { attempt, nextIndex, reason },
    requestId,
  };
}
