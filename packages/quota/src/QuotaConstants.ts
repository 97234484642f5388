/** Interval at which a router asks a home for shares. */
export const SHARE_INTERVAL_MS = 1_000;

/** Time for which a share is valid, counted by the router from before it asked. */
export const SHARE_TTL_MS = 3_000;

/** Time over which a team may spend its rate in one go. */
export const BURST_WINDOW_MS = 1_000;

/** Requests that a router may always save up, as long as the team's limit for a second allows. */
export const MIN_REQUEST_BURST = 8;

/** Requests that a router may run without a share, or with one of less than that. */
export const MIN_RUNNING_REQUESTS = 2;

/** The same while the team runs less than half of what it may. */
export const MIN_RUNNING_REQUESTS_AT_LOW_LOAD = 3;

/** Time in which use beyond the contract is paid back by smaller shares. */
export const PAYBACK_WINDOW_MS = 5_000;

/** Time for which requests that a silent router last reported as running still count. */
export const SILENT_ROUTER_RETENTION_MS = 15_000;

/** Time without demand after which a router forgets a team. */
export const IDLE_TEAM_TIMEOUT_MS = 30_000;
