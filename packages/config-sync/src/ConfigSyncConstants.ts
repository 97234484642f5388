/** Interval at which a watcher compares its revision with the store's head. */
export const HEAD_PROBE_INTERVAL_MS = 2_000;

/** Time that a watch may lag behind the head before it is taken for silent. */
export const WATCH_LAG_BOUND_MS = 1_000;

/** Interval of a watcher's full read, which finds content written past the tool. */
export const FULL_READ_INTERVAL_MS = 10 * 60_000;

/** Shortest wait after a failed call to the store. */
export const STORE_BACKOFF_MIN_MS = 500;

/** Longest wait after failed calls to the store. */
export const STORE_BACKOFF_MAX_MS = 8_000;

/** Age without news of any parent after which a follower asks the store itself. */
export const FALLBACK_AGE_MS = 6_000;

/** Time that a daemon gives peers, and the list of members, before it asks the store first. */
export const START_GRACE_MS = 1_000;

/** Interval at which a parent tells its followers its revision and age. */
export const HEARTBEAT_INTERVAL_MS = 2_000;

/** Silence after which a follower gives a parent up. */
export const PARENT_SILENCE_BOUND_MS = 5_000;

/** Time for which a parent that failed is not chosen again. */
export const PARENT_AVOIDANCE_MS = 10_000;

/** Interval of the daemon's own timer. */
export const TICK_INTERVAL_MS = 250;

/** Interval at which revision and age go out as metrics. */
export const METRICS_INTERVAL_MS = 10_000;

/** Largest text of the documents in one message to a follower. */
export const BATCH_BYTES = 512 * 1024;
