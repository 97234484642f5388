/** Prefix of registered members in the platform's key-value service. */
export const MEMBER_PREFIX = '/laburnum/members/';

/** Term of a member's lease. */
export const LEASE_TTL_MS = 30_000;

/** Time between keepalives, before jitter. */
export const KEEPALIVE_INTERVAL_MS = 10_000;

/** Share of the keepalive interval by which it may be shortened. */
export const KEEPALIVE_JITTER_RATIO = 0.2;

/** Share of the lease's term that is never relied on, for clocks that run at other rates. */
export const LEASE_SAFETY_RATIO = 0.1;

/** First bound of the wait after a failure; it doubles with each further failure. */
export const RETRY_INITIAL_MS = 500;

/** Highest bound of the wait after failures. */
export const RETRY_MAX_MS = 10_000;

/** How long a suspected member is ranked last. */
export const SUSPECT_DURATION_MS = 10_000;

/** Without an answer for this long, the store counts as having been away. */
export const STORE_OUTAGE_THRESHOLD_MS = 15_000;

/** After an outage, members have this long to register anew before they are dropped. */
export const REJOIN_GRACE_MS = 15_000;

/** Longest wait before a watch that ended is opened again. */
export const WATCH_REOPEN_MAX_DELAY_MS = 250;
