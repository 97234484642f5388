/** Interval at which a watcher compares the progress of its watch with the head key. */
export const HEAD_PROBE_INTERVAL_MS = 2_000;

/** Time that a watch may lag behind the head key before it is replaced. */
export const MAX_WATCH_LAG_MS = 1_000;

/**
 * Interval of a watcher's full read, which finds documents that were not written by `laburnumctl`.
 */
export const FULL_READ_INTERVAL_MS = 10 * 60_000;

/** Backoff after the first failed call to the store, before jitter. */
export const STORE_BACKOFF_MIN_MS = 500;

/** Maximum backoff after failed calls to the store. */
export const STORE_BACKOFF_MAX_MS = 8_000;

/**
 * Age of the configuration at which a follower reads the store itself, because no parent confirms
 * it.
 */
export const STORE_FALLBACK_AGE_MS = 6_000;

/**
 * Time after its start that a daemon waits for the member list and for peers before it reads the
 * store.
 */
export const PEER_START_GRACE_MS = 1_000;

/** Interval at which a parent sends its followers its revision and age. */
export const HEARTBEAT_INTERVAL_MS = 2_000;

/** Time without a message after which a follower abandons a parent. */
export const PARENT_TIMEOUT_MS = 5_000;

/** Time for which a failed parent is not selected again. */
export const PARENT_BACKOFF_MS = 10_000;

/** Interval of the timer that drives the synchronisation. */
export const TICK_INTERVAL_MS = 250;

/** Interval at which revision and age are reported as metrics. */
export const METRICS_INTERVAL_MS = 10_000;

/** Maximum total length of the documents in one message to a follower. */
export const MAX_BATCH_BYTES = 512 * 1024;
