/** Interval at which a router asks a home for shares. */
export const SHARE_INTERVAL_MS = 1_000;

/** Time for which a share is valid, counted by the router from before it asked. */
export const SHARE_TTL_MS = 3_000;

/** Part of each limit that is kept for routers that hold no share yet. */
export const NEWCOMER_FRACTION = 0.1;

/** Time over which a team may spend its rate in one go. */
export const BURST_MS = 1_000;

/** Time in which use beyond the contract is paid back by smaller shares. */
export const PAYBACK_MS = 5_000;

/** Time for which requests that a silent router last reported as running still count. */
export const RUNNING_MEMORY_MS = 15_000;

/** Time without demand after which a router forgets a team. */
export const IDLE_TEAM_MS = 30_000;
