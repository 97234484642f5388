/** Key prefix of member registrations in the platform's key-value store. */
export const MEMBER_PREFIX = '/laburnum/members/';

/** Time to live of a member's lease. */
export const LEASE_TTL_MS = 30_000;

/** Interval between keepalives, before jitter. */
export const KEEPALIVE_INTERVAL_MS = 10_000;

/** Largest fraction of the keepalive interval by which jitter shortens it. */
export const KEEPALIVE_JITTER_RATIO = 0.2;

/** Fraction of a lease's TTL that is not relied on, to allow for clocks that run at different rates. */
export const LEASE_SAFETY_RATIO = 0.1;

/** Upper bound of the backoff after the first failure; it doubles with each further failure. */
export const RETRY_INITIAL_MS = 500;

/** Cap on the upper bound of the backoff. */
export const RETRY_MAX_MS = 10_000;

/** Time for which a member that did not answer is ranked last. */
export const SUSPECT_DURATION_MS = 10_000;

/** Time without an answer after which the store is considered to have been unavailable. */
export const STORE_OUTAGE_THRESHOLD_MS = 15_000;

/** Time after a store outage in which members may register again before they are dropped. */
export const REJOIN_GRACE_MS = 15_000;

/** Longest delay, chosen at random, before an ended watch is reopened. */
export const WATCH_REOPEN_MAX_DELAY_MS = 250;
