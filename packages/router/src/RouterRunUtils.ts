import type { GenerationAction } from '@laburnumgap/generation';
import { refusal } from '@laburnumgap/kernel';

/** The end of a run whose generation another run has taken over. */
export const SUPERSEDED_END: Extract<GenerationAction, { kind: 'end' }> = {
  kind: 'end',
  refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs'),
};
