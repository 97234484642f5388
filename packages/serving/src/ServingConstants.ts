/**
 * Limits of the serving process that neither the platform's settings nor the configuration define,
 * each with the reason for its value.
 */

/** Time limit for opening a connection: many round trips in a region. */
export const CONNECT_TIMEOUT_MS = 300;
/** Idle connections are closed this long before the server would close them. */
export const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Idle timeout when the server states none: below the common default of five seconds. */
export const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Longest idle time of a connection: network devices in between can drop its state after that. */
export const MAX_IDLE_MS = 30_000;
/** The final response is sent this long before the route's timeout or the caller's deadline. */
export const RESPONSE_MARGIN_MS = 30;
/**
 * Responses of plain calls up to this size are buffered until complete, so that a retry is
 * possible; larger ones are streamed to the caller.
 */
export const MAX_BUFFERED_RESPONSE_BYTES = 262_144;
/**
 * The same while the room for slow readers is scarce: responses of usual size can still be repeated.
 */
export const MAX_SCARCE_RESPONSE_BYTES = 16_384;
/** Longest response that is forwarded; a larger one is broken off. */
export const MAX_FORWARDED_RESPONSE_BYTES = 268_435_456;
/** Longest single event of a stream, which is kept until it is complete. */
export const MAX_EVENT_BYTES = 1_048_576;
/** Longest response to a control request. */
export const MAX_CONTROL_RESPONSE_BYTES = 1_048_576;
/** Time limit for control requests to engines: the longest copy on a busy link. */
export const CONTROL_TIMEOUT_MS = 4_000;
/** Retry-After of refusals without a better estimate. */
export const DEFAULT_RETRY_AFTER_MS = 500;
/** Retry-After before the configuration is loaded: loading usually takes less. */
export const STARTING_RETRY_AFTER_MS = 300;
/**
 * Smallest Retry-After while draining: the load balancer sends new connections to another daemon.
 */
export const DRAINING_RETRY_AFTER_MS = 50;
/** A request is refused once this many servers have rejected it without running it. */
export const MAX_REFUSED_SENDS = 2;

/** All connections and the port of a process that ends close within this time of each other. */
export const PROCESS_EXIT_MS = 20;
