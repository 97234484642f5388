/** Largest request body of a plain call. */
export const MAX_REQUEST_BODY_BYTES = 1024 * 1024;

/** Largest answer body of a plain call. */
export const MAX_ANSWER_BODY_BYTES = 8 * 1024 * 1024;

/** Longest wait for a connection to a server. */
export const CONNECT_TIMEOUT_MS = 1_000;
