/** Interval at which a router asks quota homes for shares. */
export const SHARE_INTERVAL_MS = 1_000;

/** Time for which a share is valid; the router counts it from before it sent the call. */
export const SHARE_TTL_MS = 3_000;

/** Window whose whole rate a team may use in one burst. */
export const BURST_WINDOW_MS = 1_000;

/** Smallest burst of requests at a router, unless the team's limit for one second is lower. */
export const MIN_REQUEST_BURST = 8;

/** Requests that a router may run even if it has no share, or a smaller one. */
export const MIN_RUNNING_REQUESTS = 2;

/** The same while the team runs less than half of its concurrency limit. */
export const MIN_RUNNING_REQUESTS_AT_LOW_LOAD = 3;

/** Time in which use beyond the contract is compensated by smaller shares. */
export const PAYBACK_WINDOW_MS = 5_000;

/** Time for which the requests last reported by a silent router still count as running. */
export const SILENT_ROUTER_RETENTION_MS = 15_000;

/** Time without requests after which a router discards a team's state. */
export const IDLE_TEAM_TIMEOUT_MS = 30_000;
