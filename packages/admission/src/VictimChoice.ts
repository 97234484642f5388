/** A generation that was preempted this often is not preempted again. */
export const MAX_PREEMPTIONS = 2;

/** A running generation that could be preempted. */
export interface VictimCandidate {
  /** Prompt and produced tokens, which would have to be recomputed after a preemption. */
  readonly costTokens: number;
  readonly expectedRemainingTokens: number;
  readonly preemptions: number;
  readonly priorityClass: number;
}

/**
 * Generations with fewer expected remaining tokens are not preempted: they release their memory
 * sooner by completing.
 */
const ALMOST_DONE_TOKENS = 24;

/**
 * Chooses the generation to preempt: from the lowest priority class, then the one that was preempted
 * least often, then the one that costs least to recompute.
 *
 * @param candidates - the running generations
 * @returns the chosen candidate, or undefined if all candidates are protected
 */
export function chooseVictim<Candidate extends VictimCandidate>(
  candidates: Iterable<Candidate>,
): Candidate | undefined {
  let victim: Candidate | undefined;
  for (const candidate of candidates) {
    if (candidate.preemptions >= MAX_PREEMPTIONS) {
      continue;
    }
    if (candidate.expectedRemainingTokens < ALMOST_DONE_TOKENS) {
      continue;
    }
    if (!victim || isBetterVictim(candidate, victim)) {
      victim = candidate;
    }
  }
  return victim;
}

function isBetterVictim(candidate: VictimCandidate, other: VictimCandidate): boolean {
  if (candidate.priorityClass !== other.priorityClass) {
    return candidate.priorityClass > other.priorityClass;
  }
  if (candidate.preemptions !== other.preemptions) {
    return candidate.preemptions < other.preemptions;
  }
  return candidate.costTokens < other.costTokens;
}
