/** Exit code of a successful command. */
export const EXIT_OK = 0;
/** Exit code of a failed command: the store or the daemons do not respond, or nothing was found. */
export const EXIT_FAILED = 1;
/** Exit code for invalid arguments, settings, contracts or stops. */
export const EXIT_INVALID = 2;
/** Exit code of a change that conflicts with another operator's change. */
export const EXIT_CONFLICT = 3;

/** Maximum number of daemons that are queried concurrently. */
export const INSPECT_CONCURRENCY = 32;

/** Default time between the start and the deadline of a planned stop. */
export const DEFAULT_STOP_MS = 30 * 60_000;
