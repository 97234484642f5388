/** Invariant 701: tokens are accepted only once an attempt was placed. */
export const NO_ATTEMPT_INVARIANT = 701;
/** Invariant 702: the index that a generation resumes from is not negative. */
export const NEGATIVE_INDEX_INVARIANT = 702;

/** Consecutive failures without a new token that a generation survives. */
export const DEFAULT_MAX_FAILURES_WITHOUT_PROGRESS = 6;
/** How long a generation that was started before looks for another engine. */
export const DEFAULT_PLACEMENT_TIMEOUT_MS = 30_000;
/** Delay before a generation that every engine refused is placed again. */
export const PLACEMENT_RETRY_MS = 250;
/** Longest such delay, also when a refusal asks for more. */
export const MAX_PLACEMENT_RETRY_MS = 2_000;
/** Consecutive unanswered status queries after which an engine is abandoned. */
export const MAX_UNANSWERED_STATUS_QUERIES = 2;
