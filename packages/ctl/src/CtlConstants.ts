/** Exit code of a command that did what it was asked. */
export const EXIT_OK = 0;
/** Exit code of a command that failed: the store or the daemons do not answer, or nothing is found. */
export const EXIT_FAILED = 1;
/** Exit code for wrong arguments, settings, contracts or stops. */
export const EXIT_INVALID = 2;
/** Exit code of a change that came after another operator's change. */
export const EXIT_CONFLICT = 3;

/** Daemons that are asked at the same time. */
export const INSPECT_CONCURRENCY = 32;

/** Time until the deadline of a planned stop that names none. */
export const DEFAULT_STOP_MS = 30 * 60_000;
