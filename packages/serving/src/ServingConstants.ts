/**
 * Bounds of the serving process. Those that the platform's settings or the configuration name come
 * from there; these are the rest, each with what it follows from.
 */

/** A connection that is not open by then counts as unreachable: many round trips of one region. */
export const CONNECT_TIMEOUT_MS = 300;
/** Idle connections are dropped this long before the server would close them. */
export const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Idle time of a connection whose server names none: below the common default of five seconds. */
export const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Longest idle time of a connection; something in between may forget it after that. */
export const MAX_IDLE_MS = 30_000;
/** The final answer leaves this long before the route's timeout or the caller's deadline. */
export const RESPONSE_MARGIN_MS = 30;
/** Part of a plain answer that is held back until the answer is whole; larger ones are passed on. */
export const MAX_BUFFERED_RESPONSE_BYTES = 262_144;
/** An order to an engine is answered by then, or given up: the longest copy on a busy link. */
export const CONTROL_TIMEOUT_MS = 4_000;
/** A caller that is told to come back with no better estimate does so after this. */
export const DEFAULT_RETRY_AFTER_MS = 500;
/** A daemon that does not know the configuration usually does after this. */
export const STARTING_RETRY_AFTER_MS = 300;
/** Another daemon takes the call: the balancer sends new connections elsewhere. */
export const DRAINING_RETRY_AFTER_MS = 50;
/** Servers that refused a request without running it are replaced at most this often. */
export const MAX_REFUSED_SENDS = 2;
