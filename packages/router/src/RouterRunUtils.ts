import type { GenerationAction, GenerationTracker } from '@laburnumgap/generation';
import type { DecisionSink, RequestId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';

/** The end of a run whose generation another run has taken over. */
export const SUPERSEDED_END: Extract<GenerationAction, { kind: 'end' }> = {
  kind: 'end',
  refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs'),
};

/**
 * Records what is done next with a generation, where that is a decision of its own.
 *
 * @param decisions - takes the record
 * @param action - what is done
 * @param tracker - the generation
 * @param requestId - its request
 */
export function recordAction(
  decisions: DecisionSink,
  action: GenerationAction,
  tracker: GenerationTracker,
  requestId: RequestId,
): void {
  if (action.kind === 'await' || (action.kind === 'place' && action.attempt === 1)) {
    return;
  }
  const { attempt, nextIndex } = tracker;
  const isPlacement = action.kind === 'place';
  const reason = isPlacement ? action.reason : undefined;
  decisions.record({
    decision: isPlacement ? 'retry' : action.kind,
    fields: { attempt, nextIndex, reason },
    requestId,
  });
}
