/** Preemptions after which a generation is let run to its end. */
export const MAX_PREEMPTIONS = 2;

/** A running generation that could be preempted. */
export interface VictimCandidate {
  /** Prompt and produced tokens, which would have to be computed again. */
  readonly costTokens: number;
  readonly expectedRemainingTokens: number;
  readonly preemptions: number;
  readonly priorityClass: number;
}

/** A generation that is about to end gives its memory back sooner than a preemption would. */
const ALMOST_DONE_TOKENS = 24;

/**
 * Chooses what to preempt: the lowest class, then the one preempted least often, then the one that
 * costs least to compute again.
 *
 * @param candidates - the running generations
 * @returns the victim, or undefined when every candidate is protected
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
