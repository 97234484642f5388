/** Invariant 701: tokens are judged only while an attempt runs. */
export const NO_ATTEMPT_INVARIANT = 701;
/** Invariant 702: the continuation point of a generation is not negative. */
export const NEGATIVE_INDEX_INVARIANT = 702;

/** Failures in a row without a new token after which a generation is given up. */
export const DEFAULT_MAX_FAILURES_WITHOUT_PROGRESS = 6;
/** How long a generation that has begun looks for another engine. */
export const DEFAULT_PLACEMENT_TIMEOUT_MS = 30_000;
/** Pause before another try to place a generation that was refused everywhere. */
export const PLACEMENT_RETRY_MS = 250;
/** Longest such pause. */
export const MAX_PLACEMENT_RETRY_MS = 2_000;
/** Unanswered questions in a row after which an engine is given up. */
export const MAX_UNANSWERED_STATUS_QUERIES = 2;
