import type { GenerationAction, GenerationTracker } from '@laburnumgap/generation';
import type { DecisionSink, RequestId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';

/** Ends a run whose generation another run has taken over. */
export const SUPERSEDED_END: Extract<GenerationAction, { kind: 'end' }> = {
  kind: 'end',
  refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs'),
};

/**
 * Records the next action of a generation in the decision log. Reading on is not recorded, and
 * neither is the first placement, which records its routes itself.
 *
 * @param decisions - the decision log
 * @param action - the next action
 * @param tracker - the tracker of the generation
 * @param requestId - the request of the generation
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
